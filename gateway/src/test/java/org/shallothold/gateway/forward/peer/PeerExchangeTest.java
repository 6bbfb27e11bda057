package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.publish.PublishedChanges;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.connection.Transport;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PartSuspicion;
import org.shallothold.wire.proto.Role;
import org.shallothold.wire.proto.SendPermitAnswer;
import org.shallothold.wire.proto.SendPermitRequest;
import org.shallothold.wire.proto.StateDifference;
import org.shallothold.wire.proto.WorkChanges;

/** Tests the exchange of state between gateways that are connected over loopback. */
class PeerExchangeTest {

  private final EventLoopGroup group = Transport.group("test", 1);
  private final EventLoop eventLoop = group.next();
  private final StructuredLog log = StructuredLog.start(System.out, "test");

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  /**
   * A gateway that knows one configuration item, or none if its revision is 0, and records what it
   * receives.
   */
  private static final class Gateway implements PeerExchange.StateHandler {

    private final long revision;
    private long era;
    private long version;
    private final BlockingQueue<String> receivedItems = new LinkedBlockingQueue<>();
    private final BlockingQueue<FleetNews> updates = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> changes = new LinkedBlockingQueue<>();
    private final BlockingQueue<SendPermitAnswer> answers = new LinkedBlockingQueue<>();
    // Changes and permit requests, in the order in which they arrived.
    private final BlockingQueue<String> ordered = new LinkedBlockingQueue<>();
    private final Set<CrashEvidence> knownEvidence = ConcurrentHashMap.newKeySet();

    Gateway(long revision) {
      this.revision = revision;
    }

    private Gateway(long era, long revision, long version) {
      this(revision);
      this.era = era;
      this.version = version;
    }

    @Override
    public void describeEvidence(WorkChanges.Builder workChanges) {
      knownEvidence.forEach(workChanges::setCrashEvidence);
    }

    @Override
    public void describeRepeatedEvidence(WorkChanges.Builder changes) {}

    @Override
    public Optional<CrashEvidence> evidenceReceived(String peer, CrashEvidence evidence) {
      return knownEvidence.add(evidence) ? Optional.of(evidence) : Optional.empty();
    }

    @Override
    public void describe(FleetNews.Builder update) {
      update.addOpenWork(OpenWork.newBuilder().setServerId("engine-1").setRequests(3));
    }

    @Override
    public void updateReceived(FleetNews update) {
      updates.add(update);
    }

    @Override
    public void describeChanges(WorkChanges.Builder workChanges) {
      workChanges.addOpenWork(OpenWork.newBuilder().setServerId("engine-2").setRequests(1));
    }

    @Override
    public void changesReceived(String peer, WorkChanges workChanges) {
      ordered.add("changes");
      changes.add(peer + " at " + workChanges.getOpenWork(0).getServerId());
    }

    @Override
    public void peerLost(String peer) {}

    @Override
    public PublishedPosition asOf(PublishedTopic topic) {
      return PublishedPosition.of(era, topic == PublishedTopic.CONFIGURATION ? revision : 0);
    }

    @Override
    public PublishedPosition changedAt(PublishedTopic topic) {
      return asOf(topic);
    }

    @Override
    public long configurationVersion() {
      return version;
    }

    @Override
    public List<PublishedItem> items(PublishedTopic topic) {
      byte[] value = "value".getBytes(StandardCharsets.UTF_8);
      return List.of(PublishedItem.of("item", value, revision));
    }

    @Override
    public void itemsReceived(
        PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf, String peer) {
      receivedItems.add(
          topic + " " + items.getFirst().key() + " " + asOf.revision() + " from " + peer);
    }

    @Override
    public PublishedChanges changes(PublishedTopic topic, PublishedPosition after) {
      return new PublishedChanges(items(topic), Map.of());
    }

    @Override
    public void changesReceived(
        PublishedTopic topic, PublishedChanges changes, PublishedPosition asOf, String peer) {
      itemsReceived(topic, changes.items(), asOf, peer);
    }

    @Override
    public boolean isLeaving() {
      return false;
    }

    @Override
    public void gatewaysChanged() {}

    @Override
    public SendPermitAnswer answer(String peer, SendPermitRequest request) {
      ordered.add("permit request");
      return SendPermitAnswer.newBuilder()
          .setServerId(request.getServerId())
          .setRequestNumber(request.getRequestNumber())
          .setGranted(true)
          .build();
    }

    @Override
    public void answerReceived(SendPermitAnswer answer) {
      answers.add(answer);
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private PeerExchange start(
      String name, InetSocketAddress listenAddress, Gateway gateway, InetSocketAddress... seeds) {
    return PeerExchange.start(
        eventLoop,
        new PeerExchange.Settings(name, "north", listenAddress, List.of(seeds)),
        gateway,
        (cause, content, distance, bytes) -> {},
        log);
  }

  private int gatewayCount(PeerExchange exchange) {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    eventLoop.execute(() -> count.complete(exchange.gatewayCount()));
    return count.join();
  }

  /**
   * Guards against a gateway that stays without a configuration because the platform is
   * unreachable, although a peer has one.
   */
  @Test
  void gatewayWithoutConfigurationGetsItFromPeer() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(7));
    Gateway behind = new Gateway(0);
    start("second", freeAddress(), behind, first);
    assertEquals("CONFIGURATION item 7 from first", behind.receivedItems.take());
  }

  /** Guards against a peer with an older configuration replacing the newer one of a gateway. */
  @Test
  void gatewayWithNewerRevisionReceivesNoItems() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(7));
    Gateway ahead = new Gateway(9);
    start("second", freeAddress(), ahead, first);
    ahead.updates.take();
    ahead.updates.take();
    assertTrue(ahead.receivedItems.isEmpty());
  }

  /** Guards against old revisions of a gateway that is cut off, which outweigh a new era. */
  @Test
  void gatewayOfAnEarlierEraGetsTheItemsOfTheNewOne() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(2, 7, 1));
    Gateway behind = new Gateway(1, 90, 1);
    start("second", freeAddress(), behind, first);
    assertEquals("CONFIGURATION item 7 from first", behind.receivedItems.take());
  }

  /** Guards against a gateway that serves the older configuration of a restored platform. */
  @Test
  void gatewayWithALowerVersionGetsTheHigherOneOfAnEarlierEra()
      throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(1, 7, 5));
    Gateway restored = new Gateway(2, 90, 4);
    start("second", freeAddress(), restored, first);
    assertEquals("CONFIGURATION item 7 from first", restored.receivedItems.take());
  }

  /** Guards against one gateway with the higher version that is not asked beside many others. */
  @Test
  void higherVersionIsFetchedAlthoughMostPeersLackIt() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(1, 7, 5));
    InetSocketAddress[] peers = new InetSocketAddress[7];
    peers[0] = first;
    for (int i = 1; i < peers.length; i++) {
      peers[i] = freeAddress();
      start("restored-" + i, peers[i], new Gateway(2, 90, 4));
      Thread.sleep(90);
    }
    Gateway restored = new Gateway(2, 90, 4);
    start("last", freeAddress(), restored, peers);
    assertEquals(
        "CONFIGURATION item 7 from first", restored.receivedItems.poll(6, TimeUnit.SECONDS));
  }

  /** Guards against gateways that stay connected to the seeds only and never to each other. */
  @Test
  void gatewaysDiscoverEachOtherThroughSeed() throws IOException, InterruptedException {
    InetSocketAddress seed = freeAddress();
    start("seed", seed, new Gateway(1));
    PeerExchange second = start("second", freeAddress(), new Gateway(1), seed);
    Gateway third = new Gateway(1);
    start("third", freeAddress(), third, seed);
    while (gatewayCount(second) < 3) {
      third.updates.take();
    }
    assertEquals(3, gatewayCount(second));
  }

  @Test
  void openWorkReachesPeers() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    Gateway gateway = new Gateway(1);
    start("first", first, gateway);
    start("second", freeAddress(), new Gateway(1), first);
    FleetNews update = gateway.updates.take();
    assertEquals("second", update.getProcessId());
    assertEquals(3, update.getOpenWork(0).getRequests());
  }

  /**
   * Guards against two gateways that both send prompts to the same engine because changes of its
   * work wait for the next periodic update. Two announcements in a row share one message.
   */
  @Test
  void changesReachPeersBeforeNextUpdate() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    Gateway receiver = new Gateway(1);
    start("first", first, receiver);
    PeerExchange second = start("second", freeAddress(), new Gateway(1), first);
    receiver.updates.take();
    eventLoop.execute(second::announceChanges);
    eventLoop.execute(second::announceChanges);
    assertEquals("second at engine-2", receiver.changes.take());
    assertTrue(receiver.changes.isEmpty());
  }

  /** Accepts connections as a gateway of some build, and records what it receives. */
  private final class ScriptedPeer implements PeerListener {

    private final BlockingQueue<Envelope> received = new LinkedBlockingQueue<>();
    private final BlockingQueue<PeerConnection> connections = new LinkedBlockingQueue<>();
    private final InetSocketAddress address = freeAddress();

    /**
     * Starts to listen.
     *
     * @param failureDomain failure domain in its hello; empty for an older build
     */
    ScriptedPeer(String name, String failureDomain) throws IOException {
      PeerServer.bind(
          group,
          address,
          new ConnectionLimits(1024 * 1024, 1_000, 2_500, 500),
          () ->
              Hello.newBuilder()
                  .setProcessId(name)
                  .setRole(Role.ROLE_GATEWAY)
                  .setFailureDomain(failureDomain)
                  .build(),
          this,
          null);
    }

    @Override
    public void connected(PeerConnection connection, Hello hello) {
      connections.add(connection);
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
      received.add(envelope);
    }

    @Override
    public void disconnected(PeerConnection connection) {}

    private FleetNews nextUpdate() throws InterruptedException {
      Envelope envelope = received.take();
      while (!envelope.hasFleetNews()) {
        envelope = received.take();
      }
      return envelope.getFleetNews();
    }

    private WorkChanges nextEvidence() throws InterruptedException {
      Envelope envelope = received.take();
      while (!envelope.getWorkChanges().hasCrashEvidence()
          && !envelope.getWorkChanges().hasCompactEvidence()) {
        envelope = received.take();
      }
      return envelope.getWorkChanges();
    }
  }

  private static CrashEvidence evidence(long partId) {
    return CrashEvidence.newBuilder()
        .addSuspicions(PartSuspicion.newBuilder().setPartId(partId).setServerId("engine-1"))
        .build();
  }

  @Nested
  class Builds {

    /** Guards against older gateways that lose the state of newer ones during a rolling restart. */
    @Test
    void olderPeerGetsWholeStates() throws IOException, InterruptedException {
      ScriptedPeer older = new ScriptedPeer("older", "");
      start("first", freeAddress(), new Gateway(1), older.address);
      for (int i = 0; i < 3; i++) {
        FleetNews update = older.nextUpdate();
        assertEquals("first", update.getProcessId());
        assertEquals(1, update.getOpenWorkCount());
        assertFalse(update.hasDifference());
      }
    }

    /** Guards against older gateways that can't read crash evidence. */
    @Test
    void olderPeerGetsEvidenceInItsForm() throws IOException, InterruptedException {
      ScriptedPeer older = new ScriptedPeer("older", "");
      Gateway gateway = new Gateway(1);
      gateway.knownEvidence.add(evidence(5));
      start("first", freeAddress(), gateway, older.address);
      assertEquals(evidence(5), older.nextEvidence().getCrashEvidence());
    }

    /** Guards against work that is told in full each time although nothing changed. */
    @Test
    void peerGetsOneWholeStateAndThenDifferences() throws IOException, InterruptedException {
      ScriptedPeer peer = new ScriptedPeer("peer", "south");
      start("first", freeAddress(), new Gateway(1), peer.address);
      assertEquals(1, peer.nextUpdate().getOpenWorkCount());
      FleetNews difference = peer.nextUpdate();
      assertTrue(difference.hasDifference());
      assertEquals(0, difference.getOpenWorkCount());
    }

    /** Guards against a peer that keeps an old state after its connection was lost. */
    @Test
    void peerGetsTheWholeStateAfterAReconnect() throws IOException, InterruptedException {
      ScriptedPeer peer = new ScriptedPeer("peer", "south");
      start("first", freeAddress(), new Gateway(1), peer.address);
      peer.nextUpdate();
      assertTrue(peer.nextUpdate().hasDifference());
      peer.connections.take().close();
      peer.connections.take();
      FleetNews update = peer.nextUpdate();
      while (update.hasDifference()) {
        update = peer.nextUpdate();
      }
      assertEquals(1, update.getOpenWorkCount());
    }
  }

  @Nested
  class EvidenceOfPeers {

    private PeerConnection connect(String name, InetSocketAddress address) {
      CompletableFuture<PeerConnection> opened = new CompletableFuture<>();
      PeerClient.start(
          group,
          address,
          new ConnectionLimits(1024 * 1024, 1_000, 2_500, 500),
          () ->
              Hello.newBuilder()
                  .setProcessId(name)
                  .setRole(Role.ROLE_GATEWAY)
                  .setFailureDomain("east")
                  .build(),
          new PeerListener() {
            @Override
            public void connected(PeerConnection connection, Hello hello) {
              opened.complete(connection);
            }

            @Override
            public void received(PeerConnection connection, Envelope envelope) {}

            @Override
            public void disconnected(PeerConnection connection) {}
          },
          null);
      return opened.join();
    }

    /**
     * Guards against a gateway that learns nothing of an end since it is cut off from its source.
     */
    @Test
    void newEvidenceIsPassedOnOnceToWhoMayNotHaveIt() throws IOException, InterruptedException {
      ScriptedPeer peer = new ScriptedPeer("peer", "south");
      InetSocketAddress address = freeAddress();
      start("first", address, new Gateway(1), peer.address);
      peer.nextUpdate();
      PeerConnection source = connect("source", address);
      WorkChanges known = WorkChanges.newBuilder().setCrashEvidence(evidence(5)).build();
      source.send(Envelope.newBuilder().setWorkChanges(known).build());
      source.send(Envelope.newBuilder().setWorkChanges(known).build());
      source.send(
          Envelope.newBuilder()
              .setWorkChanges(WorkChanges.newBuilder().setCrashEvidence(evidence(6)))
              .build());
      WorkChanges passedOn = CompactForm.expand(peer.nextEvidence());
      // Both parts may share a message.
      int parts = passedOn.getCrashEvidence().getSuspicionsCount();
      while (parts < 2) {
        parts += CompactForm.expand(peer.nextEvidence()).getCrashEvidence().getSuspicionsCount();
      }
      assertEquals(2, parts);
      assertEquals(1, passedOn.getHops());
    }
  }

  /** Guards against a gateway that goes on with an incomplete state of a peer. */
  @Test
  void differenceWithoutWholeStateEndsTheConnection() throws IOException, InterruptedException {
    InetSocketAddress address = freeAddress();
    start("first", address, new Gateway(1));
    FleetNews difference =
        FleetNews.newBuilder()
            .setNumber(7)
            .setDifference(StateDifference.getDefaultInstance())
            .build();
    BlockingQueue<String> events = new LinkedBlockingQueue<>();
    PeerClient.start(
        group,
        address,
        new ConnectionLimits(1024 * 1024, 1_000, 2_500, 500),
        () -> Hello.newBuilder().setProcessId("peer").setRole(Role.ROLE_GATEWAY).build(),
        new PeerListener() {
          @Override
          public void connected(PeerConnection connection, Hello hello) {
            connection.send(Envelope.newBuilder().setFleetNews(difference).build());
          }

          @Override
          public void received(PeerConnection connection, Envelope envelope) {}

          @Override
          public void disconnected(PeerConnection connection) {
            events.add("disconnected");
          }
        },
        null);
    assertEquals("disconnected", events.take());
  }

  /** Guards against permits that are asked for and never come. */
  @Test
  void permitIsAnsweredByTheGatewayAtTheAddress() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(1));
    Gateway asking = new Gateway(1);
    PeerExchange second = start("second", freeAddress(), asking, first);
    asking.updates.take();
    String address = first.getHostString() + ":" + first.getPort();
    eventLoop.execute(
        () ->
            second.sendPermitRequest(
                address,
                SendPermitRequest.newBuilder()
                    .setServerId("engine-1")
                    .setRequestNumber(7)
                    .build()));
    SendPermitAnswer answer = asking.answers.take();
    assertEquals(7, answer.getRequestNumber());
    assertTrue(answer.getGranted());
  }

  /**
   * Guards against a trial of a prompt part that its coordinator allows because the question
   * arrives before the end of the server that led to it.
   */
  @Test
  void changesArriveBeforeTheQuestionForATrial() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    Gateway coordinator = new Gateway(1);
    start("first", first, coordinator);
    PeerExchange second = start("second", freeAddress(), new Gateway(1), first);
    coordinator.updates.take();
    String address = first.getHostString() + ":" + first.getPort();
    eventLoop.execute(
        () -> {
          second.announceChanges();
          second.sendPermitRequest(
              address,
              SendPermitRequest.newBuilder().addTrialPartIds(5).setRequestNumber(7).build());
        });
    assertEquals("changes", coordinator.ordered.take());
    assertEquals("permit request", coordinator.ordered.take());
  }

  /**
   * Guards against gateways that keep the address of one that is gone alive by telling it to each
   * other: an address that no gateway heard of for 20 s is not learned again.
   */
  @Test
  void addressThatNobodyHeardOfLatelyIsNotLearned() throws IOException, InterruptedException {
    FleetNews outdated =
        FleetNews.newBuilder()
            .setProcessId("first")
            .setAddress("127.0.0.1:9")
            .addKnownAddresses("127.0.0.1:10")
            .addKnownAddressAgeMillis(25_000)
            .addKnownAddresses("127.0.0.1:11")
            .addKnownAddressAgeMillis(3_000)
            .build();
    Gateway receiver = new Gateway(1);
    InetSocketAddress address = freeAddress();
    PeerExchange exchange = start("second", address, receiver);
    PeerClient.start(
        group,
        address,
        new ConnectionLimits(1024 * 1024, 1_000, 2_500, 500),
        () -> Hello.newBuilder().setProcessId("first").setRole(Role.ROLE_GATEWAY).build(),
        new PeerListener() {
          @Override
          public void connected(PeerConnection connection, Hello hello) {
            connection.send(Envelope.newBuilder().setFleetNews(outdated).build());
          }

          @Override
          public void received(PeerConnection connection, Envelope envelope) {}

          @Override
          public void disconnected(PeerConnection connection) {}
        },
        null);
    receiver.updates.take();
    CompletableFuture<Set<String>> live = new CompletableFuture<>();
    eventLoop.schedule(() -> live.complete(exchange.liveGateways()), 500, TimeUnit.MILLISECONDS);
    assertEquals(Set.of(exchange.ownAddress(), "127.0.0.1:9", "127.0.0.1:11"), live.join());
  }
}
