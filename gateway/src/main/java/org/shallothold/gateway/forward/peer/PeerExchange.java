package org.shallothold.gateway.forward.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.publish.PublishedChanges;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.gateway.forward.MonotonicClock;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.PublishedItems;
import org.shallothold.wire.proto.PublishedRemoval;
import org.shallothold.wire.proto.PublishedRequest;
import org.shallothold.wire.proto.Role;
import org.shallothold.wire.proto.SendPermitAnswer;
import org.shallothold.wire.proto.SendPermitRequest;
import org.shallothold.wire.proto.WorkChanges;

/**
 * Exchanges state with the other gateways. Each gateway connects to every other gateway whose
 * address it learns, sends changes of its work at backend servers at once and its whole state
 * periodically, and requests published items from a peer that knows a newer revision. All of it is
 * soft state: receivers drop what is not repeated. Not thread-safe; used on the event loop only.
 */
public final class PeerExchange {

  private static final long UPDATE_INTERVAL_MILLIS = 600;
  // A changed configuration or server list is announced after at most this time instead of with the
  // next periodic update.
  private static final long MAINTENANCE_INTERVAL_MILLIS = 150;
  // Changes within this time share a message. Short compared to the prefill of a prompt, during
  // which another gateway must not send the same engine a second prompt unknowingly.
  private static final long CHANGES_DELAY_MILLIS = 4;
  // A peer without an update for this long no longer counts as a gateway.
  private static final long PEER_TIMEOUT_MILLIS = 4_000;
  // An address is dropped after this long without an update from its gateway, and after half of it
  // if it is known from other gateways only.
  private static final long ADDRESS_TIMEOUT_MILLIS = 20_000;
  // With more gateways, each connects only to a subset chosen by hash. Addresses and published
  // items then reach the others over several hops.
  private static final int MAX_OUTGOING_CONNECTIONS = 24;
  // A gateway without news for this long no longer counts as live. News of gateways that are not
  // connected takes a few update intervals.
  private static final long LIVE_TIMEOUT_MILLIS = 5_000;
  // A connection that was opened on demand, beyond the subset, is kept for this long after its use.
  private static final long EXTRA_CONNECTION_MILLIS = 10_000;
  private static final long MIN_REQUEST_INTERVAL_MILLIS = 250;
  // A version that this gateway can't use although a peer does is not fetched again and again.
  private static final long VERSION_REQUEST_INTERVAL_MILLIS = 2_000;
  // The platform itself is expected to deliver a change within this time; an earlier request to a
  // peer would only duplicate that.
  private static final long PLATFORM_GRACE_MILLIS = 300;
  private static final ConnectionLimits CONNECTION_LIMITS =
      new ConnectionLimits(16 * 1024 * 1024, 1_000, 2_500, 500);

  /** Supplies the state of this gateway and applies that of its peers. Called on the event loop. */
  public interface StateHandler {

    /** Adds this gateway's state to an update for its peers. */
    void describe(FleetNews.Builder update);

    /** Applies an update from a peer, which replaces the peer's earlier state. */
    void updateReceived(FleetNews update);

    /**
     * Adds the servers whose open work changed since the last update or change message. Nothing is
     * sent if there are none.
     */
    void describeChanges(WorkChanges.Builder changes);

    /**
     * Applies the changes of a peer's open work since its last update or change message. Not called
     * before the first update of that peer.
     *
     * @param peer process id of the peer
     */
    void changesReceived(String peer, WorkChanges changes);

    /**
     * Called when no update of a peer arrived for some seconds.
     *
     * @param peer process id of the peer
     */
    void peerLost(String peer);

    /** Returns the position up to which every change of a topic is known. */
    PublishedPosition asOf(PublishedTopic topic);

    /** Returns the position of the latest known change of a topic. */
    PublishedPosition changedAt(PublishedTopic topic);

    /** Returns the version of the configuration in force; 0 if there is none. */
    long configurationVersion();

    /** Returns all items of a topic as the platform lists them. */
    List<PublishedItem> items(PublishedTopic topic);

    /** Returns the changes of a topic after a position of the current era. */
    PublishedChanges changes(PublishedTopic topic, PublishedPosition after);

    /**
     * Applies all items of a topic as a peer knows them.
     *
     * @param asOf position up to which the peer knows every change
     * @param peer process id of the peer
     */
    void itemsReceived(
        PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf, String peer);

    /**
     * Applies the changes of a topic after a position that this gateway knows.
     *
     * @param asOf position up to which the peer knows every change; newer than this gateway's
     * @param peer process id of the peer
     */
    void changesReceived(
        PublishedTopic topic, PublishedChanges changes, PublishedPosition asOf, String peer);

    /** Returns whether this gateway is leaving. */
    boolean isLeaving();

    /** Adds the evidence about crashes that a peer needs which may know nothing. */
    void describeEvidence(WorkChanges.Builder changes);

    /** Adds recent evidence for peers that may have missed it; once in a while. */
    void describeRepeatedEvidence(WorkChanges.Builder changes);

    /**
     * Applies evidence about crashes from a peer.
     *
     * @param peer process id of the peer
     * @return what this gateway did not know yet, for other peers
     */
    Optional<CrashEvidence> evidenceReceived(String peer, CrashEvidence evidence);

    /** Called when the set of {@link PeerExchange#liveGateways} changed. */
    void gatewaysChanged();

    /** Returns the answer to a gateway that asks for a permit. */
    SendPermitAnswer answer(String peer, SendPermitRequest request);

    /** Called when the answer to a {@link PeerExchange#sendPermitRequest} arrives. */
    void answerReceived(SendPermitAnswer answer);
  }

  /**
   * Who a gateway is and where its peers are.
   *
   * @param processId id of the gateway's process
   * @param failureDomain failure domain of the gateway's VM
   * @param listenAddress address on which the gateway accepts peers, and which it sends to them
   * @param seeds addresses of gateways to connect to first; the others are learned from them
   */
  public record Settings(
      String processId,
      String failureDomain,
      InetSocketAddress listenAddress,
      List<InetSocketAddress> seeds) {}

  private final EventLoopGroup group;
  private final EventLoop eventLoop;
  private final String processId;
  private final String failureDomain;
  private final PeerTraffic traffic;
  private final String ownAddress;
  private final Set<String> seeds = new HashSet<>();
  private final StateHandler handler;
  private final StructuredLog log;

  private final Map<String, OutgoingPeer> outgoingPeers = new TreeMap<>();
  // By address, the time at which any gateway last heard of the gateway there.
  private final Map<String, Long> addressSeenMillis = new HashMap<>();
  // Addresses of gateways that said that they are leaving, with the time of their last update.
  private final Map<String, Long> leavingSeenMillis = new HashMap<>();
  private final Map<String, Long> extraAddressUsedMillis = new HashMap<>();
  private Set<String> liveGateways = Set.of();
  private final Map<String, PeerStatus> peers = new TreeMap<>();
  private final Map<PublishedTopic, Behind> behind = new EnumMap<>(PublishedTopic.class);
  private long lastRequestMillis;
  private long requestedVersion;
  private long versionRequestedMillis = Long.MIN_VALUE / 2;
  private boolean changesScheduled;
  private long updateSentMillis = Long.MIN_VALUE / 2;
  private Map<PublishedTopic, PublishedPosition> announcedPositions = Map.of();

  private final SentState sentState = new SentState();
  private final Map<PeerConnection, ReceivedState> receivedStates = new HashMap<>();
  private final EvidenceLedger evidenceLedger = new EvidenceLedger();
  private final EvidenceRelay evidenceRelay;

  private static final class PeerStatus {
    private long updateReceivedMillis;
    private boolean leaving;
  }

  /**
   * What a peer was the first to know more of.
   *
   * @param version version of the configuration at the peer; 0 for other topics
   * @param sinceMillis time at which the peer told it
   */
  private record Behind(PublishedPosition position, long version, long sinceMillis) {}

  private PeerExchange(
      EventLoop eventLoop,
      Settings settings,
      StateHandler handler,
      PeerTraffic traffic,
      StructuredLog log) {
    this.group = eventLoop.parent();
    this.eventLoop = eventLoop;
    this.processId = settings.processId();
    this.failureDomain = settings.failureDomain();
    this.ownAddress = hostAndPort(settings.listenAddress());
    this.evidenceRelay =
        new EvidenceRelay(new SecondSources.Gateway(ownAddress, settings.failureDomain()));
    this.handler = handler;
    this.traffic = traffic;
    this.log = log;
    settings.seeds().stream().map(PeerExchange::hostAndPort).forEach(seeds::add);
    seeds.remove(ownAddress);
  }

  /**
   * Starts to listen for peers and to connect to them.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public static PeerExchange start(
      EventLoop eventLoop,
      Settings settings,
      StateHandler handler,
      PeerTraffic traffic,
      StructuredLog log) {
    PeerExchange exchange = new PeerExchange(eventLoop, settings, handler, traffic, log);
    PeerServer.bind(
        exchange.group,
        settings.listenAddress(),
        CONNECTION_LIMITS,
        exchange::hello,
        exchange.listener(null),
        null);
    eventLoop.execute(exchange::updateConnections);
    eventLoop.scheduleAtFixedRate(
        exchange::maintain,
        MAINTENANCE_INTERVAL_MILLIS,
        MAINTENANCE_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
    return exchange;
  }

  /**
   * Returns the time since the last update of the peer whose last update is the oldest, in
   * milliseconds; 0 without peers.
   */
  public long oldestUpdateAgeMillis() {
    long now = MonotonicClock.millis();
    return peers.values().stream()
        .mapToLong(peer -> now - peer.updateReceivedMillis)
        .max()
        .orElse(0);
  }

  /** Returns the number of gateways, this one and the peers with a recent update. */
  public int gatewayCount() {
    return 1 + peers.size();
  }

  /** Returns the address on which this gateway accepts peers. */
  public String ownAddress() {
    return ownAddress;
  }

  /**
   * Returns the addresses of the live gateways that are not leaving, this one included. Gateways to
   * which this one is not connected count too. Empty if all are leaving.
   */
  public Set<String> liveGateways() {
    return liveGateways;
  }

  /** Returns the addresses of the gateways that lately announced that they leave. */
  public Set<String> leavingGateways() {
    return Set.copyOf(leavingSeenMillis.keySet());
  }

  /**
   * Returns the fraction of gateways that this one reaches, itself included, among those to which
   * it was connected lately or should be. Below 1 after peers failed, or if this gateway is cut off
   * from them.
   */
  public double reachableFraction() {
    long now = MonotonicClock.millis();
    long connected = outgoingPeers.values().stream().filter(OutgoingPeer::isConnected).count();
    long lost =
        outgoingPeers.entrySet().stream()
            .filter(entry -> !entry.getValue().isConnected())
            .filter(entry -> !leavingSeenMillis.containsKey(entry.getKey()))
            .filter(entry -> now - entry.getValue().disconnectedMillis() <= ADDRESS_TIMEOUT_MILLIS)
            .count();
    return (1.0 + connected) / (1.0 + connected + lost);
  }

  /**
   * Asks the gateway at an address for a permit. Without a connection one is opened for later
   * requests.
   *
   * @return whether the request was sent
   */
  public boolean sendPermitRequest(String address, SendPermitRequest request) {
    extraAddressUsedMillis.put(address, MonotonicClock.millis());
    OutgoingPeer peer = outgoingPeers.get(address);
    if (peer == null) {
      connect(address);
      return false;
    }
    if (changesScheduled && request.getTrialPartIdsCount() > 0) {
      // The coordinator needs the end of a server that led to the question to answer it.
      sendChanges();
    }
    PeerConnection connection = peer.connection().orElse(null);
    return connection != null
        && send(
            connection,
            Envelope.newBuilder().setSendPermitRequest(request).build(),
            PeerTraffic.Cause.PERMIT);
  }

  /**
   * Schedules a message to the peers about changed work at backend servers. Calls within a few
   * milliseconds share one message.
   */
  public void announceChanges() {
    if (!changesScheduled) {
      changesScheduled = true;
      eventLoop.schedule(this::sendChanges, CHANGES_DELAY_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sendChanges() {
    changesScheduled = false;
    WorkChanges.Builder changes = WorkChanges.newBuilder();
    handler.describeChanges(changes);
    if (changes.hasCrashEvidence()) {
      evidenceLedger.recordChange();
    }
    if (changes.hasCrashEvidence() || changes.getOpenWorkCount() > 0) {
      sentState.changesSent(changes.build(), MonotonicClock.millis());
      sendChangesTo(outgoingPeers.values(), changes.build(), PeerTraffic.Cause.CHANGE);
    }
    outgoingPeers.values().forEach(this::sendEvidenceOfOthers);
  }

  private void sendEvidenceOfOthers(OutgoingPeer peer) {
    peer.takeEvidence()
        .forEach(
            (hops, evidence) ->
                sendChangesTo(
                    List.of(peer),
                    WorkChanges.newBuilder().setCrashEvidence(evidence).setHops(hops).build(),
                    PeerTraffic.Cause.RELAY));
  }

  private void sendChangesTo(
      Collection<OutgoingPeer> receivers, WorkChanges changes, PeerTraffic.Cause cause) {
    if (!changes.hasCrashEvidence() || changes.getHops() >= EvidenceRelay.MAX_HOPS) {
      sendMessageTo(receivers, changes, cause);
      return;
    }
    // The receivers need not pass evidence on to each other.
    List<Integer> informed = writableAddressHashes();
    boolean areTold = sentState.isConnectedTo(informed);
    Map<Boolean, List<OutgoingPeer>> receiversByKnowledge =
        receivers.stream()
            .collect(
                Collectors.partitioningBy(peer -> areTold && peer.hasUpdate(sentState.number())));
    receiversByKnowledge.forEach(
        (knowsInformed, peers) ->
            sendMessageTo(
                peers,
                knowsInformed
                    ? changes.toBuilder().setSentToConnected(true).build()
                    : changes.toBuilder().addAllSentTo(informed).build(),
                cause));
  }

  private void sendMessageTo(
      Collection<OutgoingPeer> receivers, WorkChanges changes, PeerTraffic.Cause cause) {
    ChangesMessage message = ChangesMessage.of(changes);
    for (OutgoingPeer peer : receivers) {
      Optional<PeerConnection> connection = peer.writableConnection();
      if (connection.isPresent()) {
        send(connection.get(), message.forPeer(connection.get().remoteHello()), cause);
      } else {
        peer.recordMissed(changes);
      }
    }
  }

  /** Returns hashes of the addresses of the peers that can be sent something now, in order. */
  private List<Integer> writableAddressHashes() {
    return outgoingPeers.values().stream()
        .filter(peer -> peer.writableConnection().isPresent())
        .map(peer -> peer.gateway().addressHash())
        .toList();
  }

  private void maintain() {
    long now = MonotonicClock.millis();
    peers.entrySet().removeIf(entry -> reportIfTimedOut(entry, now));
    addressSeenMillis.values().removeIf(millis -> now - millis > ADDRESS_TIMEOUT_MILLIS);
    leavingSeenMillis.values().removeIf(millis -> now - millis > ADDRESS_TIMEOUT_MILLIS);
    extraAddressUsedMillis.values().removeIf(millis -> now - millis > EXTRA_CONNECTION_MILLIS);
    updateConnections();
    updateLiveGateways(now);
    Map<PublishedTopic, PublishedPosition> changePositions = changePositions();
    boolean announces = !changePositions.equals(announcedPositions);
    if (announces || now - updateSentMillis >= UPDATE_INTERVAL_MILLIS) {
      announcedPositions = changePositions;
      updateSentMillis = now;
      sendUpdate(announces ? PeerTraffic.Cause.ANNOUNCEMENT : PeerTraffic.Cause.PERIODIC);
    }
    repeatEvidence();
  }

  private void updateLiveGateways(long now) {
    Set<String> live = new TreeSet<>();
    if (!handler.isLeaving()) {
      live.add(ownAddress);
    }
    addressSeenMillis.forEach(
        (address, seenMillis) -> {
          if (now - seenMillis <= LIVE_TIMEOUT_MILLIS && !leavingSeenMillis.containsKey(address)) {
            live.add(address);
          }
        });
    if (!live.equals(liveGateways)) {
      liveGateways = Set.copyOf(live);
      log.add(LogLine.of("live_gateways_changed").with("gateways", live.size()));
      handler.gatewaysChanged();
    }
  }

  /** Returns the positions of the latest published changes that are known. */
  private Map<PublishedTopic, PublishedPosition> changePositions() {
    Map<PublishedTopic, PublishedPosition> positions = new EnumMap<>(PublishedTopic.class);
    for (PublishedTopic topic : PublishedTopic.values()) {
      positions.put(topic, handler.changedAt(topic));
    }
    return positions;
  }

  private void sendUpdate(PeerTraffic.Cause cause) {
    PublishedPosition configuration = handler.changedAt(PublishedTopic.CONFIGURATION);
    PublishedPosition servers = handler.changedAt(PublishedTopic.SERVERS);
    FleetNews.Builder update =
        FleetNews.newBuilder()
            .setProcessId(processId)
            .setAddress(ownAddress)
            .setConfigurationChangedAt(configuration.revision())
            .setConfigurationEra(configuration.era())
            .setConfigurationVersion(handler.configurationVersion())
            .setServersChangedAt(servers.revision())
            .setServersEra(servers.era())
            .setLeaving(handler.isLeaving())
            .addAllConnectedTo(writableAddressHashes());
    handler.describe(update);
    long now = MonotonicClock.millis();
    SentState.Update next = sentState.next(update.build(), knownAddressAges(now), now);
    UpdateMessage message = UpdateMessage.of(next);
    for (OutgoingPeer peer : outgoingPeers.values()) {
      PeerConnection connection = peer.writableConnection().orElse(null);
      if (connection != null) {
        boolean canComplete =
            ChangesMessage.isUnderstoodBy(connection.remoteHello())
                && peer.hasUpdate(next.number() - 1);
        send(connection, message.forPeer(canComplete), cause);
        peer.recordUpdate(next.number());
      }
    }
  }

  /** Returns the time since each known address was last heard of, in milliseconds. */
  private Map<String, Long> knownAddressAges(long now) {
    Map<String, Long> ages = new TreeMap<>();
    addressSeenMillis.forEach(
        (address, seenMillis) -> {
          if (!leavingSeenMillis.containsKey(address)) {
            ages.put(address, now - seenMillis);
          }
        });
    return ages;
  }

  private boolean send(PeerConnection connection, Envelope envelope, PeerTraffic.Cause cause) {
    return send(connection, SizedEnvelope.of(envelope), cause);
  }

  private boolean send(PeerConnection connection, SizedEnvelope message, PeerTraffic.Cause cause) {
    boolean sent = connection.send(message.envelope());
    if (sent) {
      message.size().count(traffic, cause, distance(connection));
    }
    return sent;
  }

  private PeerTraffic.Distance distance(PeerConnection connection) {
    Hello hello = connection.remoteHello();
    return PeerTraffic.Distance.between(
        failureDomain, hello == null ? "" : hello.getFailureDomain());
  }

  /** Reports a peer as lost if its last update is too old; returns whether it is. */
  private boolean reportIfTimedOut(Map.Entry<String, PeerStatus> entry, long now) {
    boolean timedOut = now - entry.getValue().updateReceivedMillis > PEER_TIMEOUT_MILLIS;
    if (timedOut) {
      handler.peerLost(entry.getKey());
      log.add(
          LogLine.of("peer_lost")
              .with("peer", entry.getKey())
              .with("silent_millis", now - entry.getValue().updateReceivedMillis)
              .with("leaving", entry.getValue().leaving));
    }
    return timedOut;
  }

  /** Connects to the wanted addresses that have no connection and closes all others. */
  private void updateConnections() {
    Set<String> wanted = new HashSet<>(seeds);
    wanted.addAll(addressSeenMillis.keySet());
    wanted.remove(ownAddress);
    Set<String> chosen =
        wanted.size() <= MAX_OUTGOING_CONNECTIONS
            ? wanted
            : new HashSet<>(
                wanted.stream()
                    .sorted(Comparator.comparingInt(address -> (ownAddress + address).hashCode()))
                    .limit(MAX_OUTGOING_CONNECTIONS)
                    .toList());
    chosen.addAll(extraAddressUsedMillis.keySet());
    for (String address : List.copyOf(outgoingPeers.keySet())) {
      if (!chosen.contains(address)) {
        OutgoingPeer gone = outgoingPeers.remove(address);
        if (gone != null) {
          gone.close();
        }
      }
    }
    chosen.stream().filter(address -> !outgoingPeers.containsKey(address)).forEach(this::connect);
  }

  private void connect(String address) {
    int colon = address.lastIndexOf(':');
    OutgoingPeer peer = new OutgoingPeer(address);
    outgoingPeers.put(address, peer);
    peer.setClient(
        PeerClient.start(
            group,
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            CONNECTION_LIMITS,
            this::hello,
            listener(peer),
            null));
  }

  private Hello hello() {
    return Hello.newBuilder()
        .setProcessId(processId)
        .setRole(Role.ROLE_GATEWAY)
        .setFailureDomain(failureDomain)
        .build();
  }

  private PeerListener listener(@Nullable OutgoingPeer peer) {
    return new PeerListener() {
      @Override
      public void connected(PeerConnection connection, Hello hello) {
        eventLoop.execute(
            () -> {
              if (peer != null) {
                peer.connected(connection);
              }
              sendEvidence(connection);
            });
      }

      @Override
      public void received(PeerConnection connection, Envelope envelope) {
        eventLoop.execute(() -> handle(connection, envelope));
      }

      @Override
      public void disconnected(PeerConnection connection) {
        eventLoop.execute(
            () -> {
              receivedStates.remove(connection);
              if (peer != null) {
                peer.disconnected(connection);
              }
            });
      }
    };
  }

  private void handle(PeerConnection connection, Envelope envelope) {
    switch (envelope.getMessageCase()) {
      case FLEET_NEWS -> handleUpdate(connection, envelope.getFleetNews());
      case WORK_CHANGES -> handleChanges(connection, envelope.getWorkChanges());
      case PUBLISHED_REQUEST -> sendItems(connection, envelope.getPublishedRequest());
      case PUBLISHED_ITEMS -> handleItems(connection, envelope.getPublishedItems());
      case SEND_PERMIT_REQUEST -> handlePermitRequest(connection, envelope.getSendPermitRequest());
      case SEND_PERMIT_ANSWER -> handler.answerReceived(envelope.getSendPermitAnswer());
      default ->
          log.add(
              LogLine.of("peer_message_ignored").with("kind", envelope.getMessageCase().name()));
    }
  }

  private void handleUpdate(PeerConnection connection, FleetNews received) {
    Optional<FleetNews> complete =
        receivedStates
            .computeIfAbsent(connection, key -> new ReceivedState())
            .complete(received, MonotonicClock.millis());
    if (complete.isPresent()) {
      applyUpdate(connection, complete.get());
    } else if (connection.isOpen()) {
      // The peer sends its whole state on a new connection.
      log.add(LogLine.of("peer_difference_unusable").with("number", received.getNumber()));
      connection.close();
    }
  }

  private void applyUpdate(PeerConnection connection, FleetNews update) {
    long now = MonotonicClock.millis();
    PeerStatus known = peers.get(update.getProcessId());
    if (known == null) {
      known = new PeerStatus();
      peers.put(update.getProcessId(), known);
      log.add(
          LogLine.of("peer_heard")
              .with("peer", update.getProcessId())
              .with("address", update.getAddress()));
    }
    known.updateReceivedMillis = now;
    known.leaving = update.getLeaving();
    addressSeenMillis.put(update.getAddress(), now);
    if (update.getLeaving()) {
      leavingSeenMillis.put(update.getAddress(), now);
    } else {
      leavingSeenMillis.remove(update.getAddress());
    }
    learnAddresses(update, now);
    handler.updateReceived(update);
    if (update.hasCrashEvidence()) {
      // Older builds repeat it in their updates. It is not passed on.
      handler.evidenceReceived(update.getProcessId(), update.getCrashEvidence());
    }
    PublishedPosition configuration =
        PublishedPosition.of(update.getConfigurationEra(), update.getConfigurationChangedAt());
    requestIfBehind(
        connection,
        PublishedTopic.CONFIGURATION,
        configuration,
        update.getConfigurationVersion(),
        now);
    PublishedPosition servers =
        PublishedPosition.of(update.getServersEra(), update.getServersChangedAt());
    requestIfBehind(connection, PublishedTopic.SERVERS, servers, 0, now);
  }

  private boolean isReached(PublishedTopic topic, Behind known) {
    return !known.position().isAfter(handler.asOf(topic))
        && known.version() <= handler.configurationVersion();
  }

  /** Returns whether a peer's version is higher and was not requested lately. */
  private boolean wantsVersion(long peerVersion, long now) {
    return peerVersion > handler.configurationVersion()
        && (peerVersion != requestedVersion
            || now - versionRequestedMillis >= VERSION_REQUEST_INTERVAL_MILLIS);
  }

  /**
   * Learns addresses of other gateways from an update. Their ages are passed on too: without them
   * the gateways would keep the address of one that is gone alive by telling it to each other.
   */
  private void learnAddresses(FleetNews update, long now) {
    boolean hasAges = update.getKnownAddressAgeMillisCount() == update.getKnownAddressesCount();
    for (int i = 0; i < update.getKnownAddressesCount(); i++) {
      String address = update.getKnownAddresses(i);
      if (address.equals(ownAddress)) {
        continue;
      }
      if (hasAges) {
        long ageMillis = Math.max(0, update.getKnownAddressAgeMillis(i));
        if (ageMillis <= ADDRESS_TIMEOUT_MILLIS) {
          addressSeenMillis.merge(address, now - ageMillis, Math::max);
        }
      } else {
        addressSeenMillis.putIfAbsent(address, now - ADDRESS_TIMEOUT_MILLIS / 2);
      }
    }
  }

  private void handlePermitRequest(PeerConnection connection, SendPermitRequest request) {
    Hello hello = connection.remoteHello();
    if (hello != null) {
      send(
          connection,
          Envelope.newBuilder()
              .setSendPermitAnswer(handler.answer(hello.getProcessId(), request))
              .build(),
          PeerTraffic.Cause.PERMIT);
    }
  }

  private void handleChanges(PeerConnection connection, WorkChanges received) {
    Hello hello = connection.remoteHello();
    if (hello == null) {
      return;
    }
    WorkChanges changes = CompactForm.expand(received);
    ReceivedState state = receivedStates.get(connection);
    if (state != null) {
      state.changesReceived(changes, MonotonicClock.millis());
    }
    if (changes.hasCrashEvidence()) {
      Set<Integer> informed =
          changes.getSentToConnected() && state != null
              ? Set.copyOf(state.connectedTo())
              : Set.copyOf(changes.getSentToList());
      handleEvidence(hello, changes.getCrashEvidence(), informed, changes.getHops());
    }
    if (peers.containsKey(hello.getProcessId())) {
      handler.changesReceived(hello.getProcessId(), changes);
    }
  }

  /** Applies evidence and passes on what is new. */
  private void handleEvidence(
      Hello source, CrashEvidence evidence, Set<Integer> informed, int hops) {
    CrashEvidence learned = handler.evidenceReceived(source.getProcessId(), evidence).orElse(null);
    if (learned == null) {
      return;
    }
    evidenceLedger.recordChange();
    Map<String, OutgoingPeer> others = new TreeMap<>(outgoingPeers);
    others.values().removeIf(peer -> !peer.isConnected() || peer.isProcess(source.getProcessId()));
    evidenceRelay
        .receivers(
            others.values().stream().map(OutgoingPeer::gateway).toList(),
            informed,
            hops,
            source.getFailureDomain())
        .forEach(
            (address, hopsHere) -> {
              OutgoingPeer receiver = others.get(address);
              if (receiver != null) {
                receiver.addEvidence(learned, hopsHere);
              }
            });
    announceChanges();
  }

  /**
   * Sends evidence again: all of it to peers that missed some, and now and then recent evidence.
   */
  private void repeatEvidence() {
    outgoingPeers.values().stream()
        .filter(OutgoingPeer::hasMissedEvidence)
        .forEach(
            peer ->
                peer.writableConnection()
                    .ifPresent(
                        connection -> {
                          peer.recordAllEvidence();
                          sendEvidence(connection);
                        }));
    WorkChanges.Builder changes = WorkChanges.newBuilder().setHops(EvidenceRelay.MAX_HOPS);
    handler.describeRepeatedEvidence(changes);
    if (changes.hasCrashEvidence()) {
      List<OutgoingPeer> connected =
          outgoingPeers.values().stream().filter(OutgoingPeer::isConnected).toList();
      Set<SecondSources.Gateway> receivers =
          Set.copyOf(
              evidenceRelay.receiversOfRepeats(
                  connected.stream().map(OutgoingPeer::gateway).toList()));
      sendChangesTo(
          connected.stream().filter(peer -> receivers.contains(peer.gateway())).toList(),
          changes.build(),
          PeerTraffic.Cause.PERIODIC);
    }
  }

  /** Tells a peer that may have just started what is known, before its requests do harm. */
  private void sendEvidence(PeerConnection connection) {
    Hello hello = connection.remoteHello();
    if (hello == null || evidenceLedger.hasAll(hello.getProcessId(), MonotonicClock.millis())) {
      return;
    }
    WorkChanges.Builder evidence = WorkChanges.newBuilder().setHops(EvidenceRelay.MAX_HOPS);
    handler.describeEvidence(evidence);
    if (evidence.hasCrashEvidence()) {
      send(
          connection,
          ChangesMessage.of(evidence.build()).forPeer(hello),
          PeerTraffic.Cause.CONNECTION);
      evidenceLedger.recordSent(hello.getProcessId(), connection, MonotonicClock.millis());
    }
  }

  /**
   * Requests a topic from a peer that knows a newer position, or an item in a higher version,
   * unless the platform is expected to deliver it.
   *
   * @param peerVersion version of the configuration at the peer; 0 for other topics
   */
  private void requestIfBehind(
      PeerConnection connection,
      PublishedTopic topic,
      PublishedPosition peerPosition,
      long peerVersion,
      long now) {
    PublishedPosition ownPosition = handler.asOf(topic);
    boolean hasHigherVersion = wantsVersion(peerVersion, now);
    // Not cleared by peers that know no more either: they may be most of them.
    behind.computeIfPresent(topic, (key, known) -> isReached(key, known) ? null : known);
    if (!peerPosition.isAfter(ownPosition) && !hasHigherVersion) {
      return;
    }
    long sinceMillis =
        behind
            .computeIfAbsent(topic, key -> new Behind(peerPosition, peerVersion, now))
            .sinceMillis();
    boolean nothingKnown = !ownPosition.isKnown();
    // The changes after this gateway's own position may lack the item in the higher version.
    PublishedPosition knownPosition = hasHigherVersion ? PublishedPosition.NONE : ownPosition;
    if ((nothingKnown || now - sinceMillis >= PLATFORM_GRACE_MILLIS)
        && now - lastRequestMillis >= MIN_REQUEST_INTERVAL_MILLIS) {
      lastRequestMillis = now;
      if (hasHigherVersion) {
        requestedVersion = peerVersion;
        versionRequestedMillis = now;
      }
      send(
          connection,
          Envelope.newBuilder()
              .setPublishedRequest(
                  PublishedRequest.newBuilder()
                      .setTopic(toProto(topic))
                      .setAsOf(knownPosition.revision())
                      .setEra(knownPosition.era())
                      .setAcceptsChanges(true))
              .build(),
          PeerTraffic.Cause.PUBLISHED);
    }
  }

  private void sendItems(PeerConnection connection, PublishedRequest request) {
    PublishedTopic topic = fromProto(request.getTopic());
    if (topic == null) {
      return;
    }
    PublishedPosition asOf = handler.asOf(topic);
    PublishedPosition known = PublishedPosition.of(request.getEra(), request.getAsOf());
    if (!asOf.isAfter(known)) {
      return;
    }
    PublishedItems.Builder items =
        PublishedItems.newBuilder()
            .setTopic(request.getTopic())
            .setAsOf(asOf.revision())
            .setEra(asOf.era());
    // The changes since a position of another era would lack what that era lost.
    if (request.getAcceptsChanges() && request.getAsOf() > 0 && known.era() == asOf.era()) {
      PublishedChanges changes = handler.changes(topic, known);
      items.setChangesSince(known.revision());
      changes.items().forEach(item -> items.addItems(toProto(item, asOf.era())));
      changes
          .removals()
          .forEach(
              (key, position) ->
                  items.addRemovals(
                      PublishedRemoval.newBuilder().setKey(key).setRevision(position.revision())));
    } else {
      handler.items(topic).forEach(item -> items.addItems(toProto(item, asOf.era())));
    }
    send(
        connection,
        Envelope.newBuilder().setPublishedItems(items).build(),
        PeerTraffic.Cause.PUBLISHED);
  }

  private void handleItems(PeerConnection connection, PublishedItems items) {
    PublishedTopic topic = fromProto(items.getTopic());
    Hello hello = connection.remoteHello();
    if (topic == null || hello == null) {
      return;
    }
    PublishedPosition asOf = PublishedPosition.of(items.getEra(), items.getAsOf());
    List<PublishedItem> decoded =
        items.getItemsList().stream().map(item -> fromProto(item, items.getEra())).toList();
    if (!items.hasChangesSince()) {
      handler.itemsReceived(topic, decoded, asOf, hello.getProcessId());
      return;
    }
    PublishedPosition since = PublishedPosition.of(items.getEra(), items.getChangesSince());
    PublishedPosition ownPosition = handler.asOf(topic);
    if (since.era() == ownPosition.era()
        && !since.isAfter(ownPosition)
        && asOf.isAfter(ownPosition)) {
      Map<String, PublishedPosition> removals = new TreeMap<>();
      items
          .getRemovalsList()
          .forEach(
              removal ->
                  removals.put(
                      removal.getKey(),
                      PublishedPosition.of(items.getEra(), removal.getRevision())));
      handler.changesReceived(
          topic, new PublishedChanges(decoded, removals), asOf, hello.getProcessId());
    }
  }

  private static org.shallothold.wire.proto.PublishedItem toProto(PublishedItem item, long era) {
    org.shallothold.wire.proto.PublishedItem.Builder encoded =
        org.shallothold.wire.proto.PublishedItem.newBuilder()
            .setKey(item.key())
            .setValue(ByteString.copyFrom(item.value()))
            .setRevision(item.revision());
    if (item.position().era() != era) {
      encoded.setEra(item.position().era());
    }
    return encoded.build();
  }

  private static PublishedItem fromProto(
      org.shallothold.wire.proto.PublishedItem item, long messageEra) {
    return new PublishedItem(
        item.getKey(),
        item.getValue().toByteArray(),
        PublishedPosition.of(item.hasEra() ? item.getEra() : messageEra, item.getRevision()));
  }

  private static org.shallothold.wire.proto.PublishedTopic toProto(PublishedTopic topic) {
    return switch (topic) {
      case CONFIGURATION -> org.shallothold.wire.proto.PublishedTopic.PUBLISHED_TOPIC_CONFIGURATION;
      case SERVERS -> org.shallothold.wire.proto.PublishedTopic.PUBLISHED_TOPIC_SERVERS;
    };
  }

  private static @Nullable PublishedTopic fromProto(
      org.shallothold.wire.proto.PublishedTopic topic) {
    return switch (topic) {
      case PUBLISHED_TOPIC_CONFIGURATION -> PublishedTopic.CONFIGURATION;
      case PUBLISHED_TOPIC_SERVERS -> PublishedTopic.SERVERS;
      case PUBLISHED_TOPIC_UNSPECIFIED, UNRECOGNIZED -> null;
    };
  }

  private static String hostAndPort(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
