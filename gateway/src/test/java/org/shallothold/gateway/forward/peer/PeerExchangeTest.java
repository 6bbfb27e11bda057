package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.LinkedBlockingQueue;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.DecisionLog;
import org.shallothold.wire.connection.Transport;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.WorkChanges;

/** News between gateways on loopback. */
class PeerExchangeTest {

  private final EventLoopGroup group = Transport.group("test", 1);
  private final EventLoop eventLoop = group.next();
  private final DecisionLog log = DecisionLog.start(System.out, "test");

  @AfterEach
  void stop() {
    group.shutdownGracefully();
  }

  /** A gateway that holds one configuration item, or none, and remembers what it is told. */
  private static final class Gateway implements PeerExchange.Source {

    private final long revision;
    private final BlockingQueue<String> learned = new LinkedBlockingQueue<>();
    private final BlockingQueue<FleetNews> news = new LinkedBlockingQueue<>();
    private final BlockingQueue<String> changes = new LinkedBlockingQueue<>();

    Gateway(long revision) {
      this.revision = revision;
    }

    @Override
    public void describe(FleetNews.Builder builder) {
      builder.addOpenWork(OpenWork.newBuilder().setServerId("engine-1").setRequests(3));
    }

    @Override
    public void received(FleetNews received) {
      news.add(received);
    }

    @Override
    public void describeChanges(WorkChanges.Builder builder) {
      builder.addOpenWork(OpenWork.newBuilder().setServerId("engine-2").setRequests(1));
    }

    @Override
    public void received(String peer, WorkChanges received) {
      changes.add(peer + " at " + received.getOpenWork(0).getServerId());
    }

    @Override
    public void lost(String peer) {}

    @Override
    public long asOf(PublishedTopic topic) {
      return topic == PublishedTopic.CONFIGURATION ? revision : 0;
    }

    @Override
    public long changedAt(PublishedTopic topic) {
      return asOf(topic);
    }

    @Override
    public List<PublishedItem> items(PublishedTopic topic) {
      byte[] value = "value".getBytes(StandardCharsets.UTF_8);
      return List.of(new PublishedItem("item", value, revision));
    }

    @Override
    public void learned(PublishedTopic topic, List<PublishedItem> items, long asOf, String peer) {
      learned.add(topic + " " + items.getFirst().key() + " " + asOf + " from " + peer);
    }

    @Override
    public boolean isLeaving() {
      return false;
    }
  }

  private static InetSocketAddress freeAddress() throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      return new InetSocketAddress(InetAddress.getLoopbackAddress(), socket.getLocalPort());
    }
  }

  private PeerExchange start(
      String name, InetSocketAddress own, Gateway gateway, InetSocketAddress... seeds) {
    return PeerExchange.start(eventLoop, name, own, List.of(seeds), gateway, log);
  }

  private int gateways(PeerExchange exchange) {
    CompletableFuture<Integer> count = new CompletableFuture<>();
    eventLoop.execute(() -> count.complete(exchange.gateways()));
    return count.join();
  }

  /** Guards against a gateway that stays without a configuration while the platform is away. */
  @Test
  void gatewayWithoutConfigurationLearnsItFromAPeer() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(7));
    Gateway behind = new Gateway(0);
    start("second", freeAddress(), behind, first);
    assertEquals("CONFIGURATION item 7 from first", behind.learned.take());
  }

  /** Guards against an older peer bringing a gateway back to what was in force before. */
  @Test
  void gatewayThatKnowsMoreLearnsNothing() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    start("first", first, new Gateway(7));
    Gateway ahead = new Gateway(9);
    start("second", freeAddress(), ahead, first);
    ahead.news.take();
    ahead.news.take();
    assertTrue(ahead.learned.isEmpty());
  }

  /** Guards against gateways that only know the seeds and not each other. */
  @Test
  void gatewaysFindEachOtherThroughASeed() throws IOException, InterruptedException {
    InetSocketAddress seed = freeAddress();
    start("seed", seed, new Gateway(1));
    PeerExchange second = start("second", freeAddress(), new Gateway(1), seed);
    Gateway third = new Gateway(1);
    start("third", freeAddress(), third, seed);
    while (gateways(second) < 3) {
      third.news.take();
    }
    assertEquals(3, gateways(second));
  }

  @Test
  void openWorkReachesPeers() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    Gateway gateway = new Gateway(1);
    start("first", first, gateway);
    start("second", freeAddress(), new Gateway(1), first);
    FleetNews news = gateway.news.take();
    assertEquals("second", news.getProcessId());
    assertEquals(3, news.getOpenWork(0).getRequests());
  }

  /** Guards against two gateways that fill the same engine between two rounds of news. */
  @Test
  void changesReachPeersBeforeTheNextNews() throws IOException, InterruptedException {
    InetSocketAddress first = freeAddress();
    Gateway told = new Gateway(1);
    start("first", first, told);
    PeerExchange second = start("second", freeAddress(), new Gateway(1), first);
    told.news.take();
    eventLoop.execute(second::announceChanges);
    eventLoop.execute(second::announceChanges);
    assertEquals("second at engine-2", told.changes.take());
    assertTrue(told.changes.isEmpty());
  }
}
