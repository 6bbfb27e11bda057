package org.shallothold.gateway.forward.peer;

import com.google.protobuf.ByteString;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import java.net.InetSocketAddress;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.gateway.forward.MonotonicClock;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.DecisionLog;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.PublishedItems;
import org.shallothold.wire.proto.PublishedRequest;
import org.shallothold.wire.proto.Role;
import org.shallothold.wire.proto.WorkChanges;

/**
 * Exchange of news between gateways: each dials every other that it hears of, tells at once where
 * it sends work, repeats all of it now and then, and asks a peer that knows more of what the
 * platform publishes. All of it is soft state. Owned by the event loop.
 */
public final class PeerExchange {

  private static final long NEWS_MILLIS = 600;
  // News of a changed configuration or list of servers don't wait for the next round.
  private static final long TICK_MILLIS = 150;
  // Changes that come together share a message. Short beside the time that an engine reads a
  // prompt,
  // in which another gateway must not send it the next one unknowingly.
  private static final long CHANGES_MILLIS = 4;
  // A peer that is silent for this long is not counted any more.
  private static final long SILENCE_MILLIS = 4_000;
  // Addresses of gateways that are gone are tried for this long.
  private static final long FORGET_MILLIS = 20_000;
  // With more gateways than this each keeps to the nearest by hash; news then spreads in steps.
  private static final int MAX_DIALED = 24;
  private static final long REQUEST_PAUSE_MILLIS = 250;
  // The platform's own news is expected to arrive within this time; asking peers earlier would
  // only repeat it.
  private static final long PLATFORM_HEAD_START_MILLIS = 300;
  private static final ConnectionLimits LIMITS =
      new ConnectionLimits(16 * 1024 * 1024, 1_000, 2_500, 500);

  /** What the gateway tells and takes. Called on the event loop. */
  public interface Source {

    /** Adds this gateway's open work to its news. */
    void describe(FleetNews.Builder news);

    /** Takes a peer's news. */
    void received(FleetNews news);

    /** Adds the servers whose open work changed since the last news or changes. */
    void describeChanges(WorkChanges.Builder changes);

    /** Takes what changed at a peer's servers since its last news or changes. */
    void received(String peer, WorkChanges changes);

    /** Takes that a peer is silent. */
    void lost(String peer);

    /** Returns the revision up to which a topic is known. */
    long asOf(PublishedTopic topic);

    /** Returns the revision of the latest change of a topic that is known. */
    long changedAt(PublishedTopic topic);

    /** Returns the items of a topic. */
    List<PublishedItem> items(PublishedTopic topic);

    /** Takes all items of a topic as a peer knows them. */
    void learned(PublishedTopic topic, List<PublishedItem> items, long asOf, String peer);

    /** Returns whether this gateway is leaving. */
    boolean isLeaving();
  }

  private final EventLoopGroup group;
  private final EventLoop eventLoop;
  private final String processId;
  private final String ownAddress;
  private final Set<String> seeds = new HashSet<>();
  private final Source source;
  private final DecisionLog log;

  private final Map<String, Dialed> dialed = new TreeMap<>();
  private final Map<String, Long> heardOfMillis = new HashMap<>();
  private final Map<String, Heard> heard = new TreeMap<>();
  private final Map<PublishedTopic, Long> behindSinceMillis = new HashMap<>();
  private long lastRequestMillis;
  private boolean changesScheduled;
  private long newsMillis = Long.MIN_VALUE / 2;
  private long toldChangedAt;

  private static final class Dialed {
    private @Nullable PeerClient client;
    private @Nullable PeerConnection connection;
  }

  private static final class Heard {
    private long millis;
    private boolean leaving;
  }

  private PeerExchange(
      EventLoop eventLoop,
      String processId,
      InetSocketAddress own,
      List<InetSocketAddress> seedAddresses,
      Source source,
      DecisionLog log) {
    this.group = eventLoop.parent();
    this.eventLoop = eventLoop;
    this.processId = processId;
    this.ownAddress = text(own);
    this.source = source;
    this.log = log;
    seedAddresses.stream().map(PeerExchange::text).forEach(seeds::add);
    seeds.remove(ownAddress);
  }

  /**
   * Starts to listen and to dial.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public static PeerExchange start(
      EventLoop eventLoop,
      String processId,
      InetSocketAddress own,
      List<InetSocketAddress> seeds,
      Source source,
      DecisionLog log) {
    PeerExchange exchange = new PeerExchange(eventLoop, processId, own, seeds, source, log);
    PeerServer.bind(exchange.group, own, LIMITS, exchange::hello, exchange.listener(null), null);
    eventLoop.execute(exchange::dialMissing);
    eventLoop.scheduleAtFixedRate(exchange::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
    return exchange;
  }

  /** Returns the age of the news of the peer that was heard longest ago; 0 without peers. */
  public long newsAgeMillis() {
    long now = MonotonicClock.millis();
    return heard.values().stream().mapToLong(peer -> now - peer.millis).max().orElse(0);
  }

  /** Returns the gateways heard of lately, with this one. */
  public int gateways() {
    return 1 + heard.size();
  }

  /** Tells the peers shortly what changed at servers; several changes share a message. */
  public void announceChanges() {
    if (!changesScheduled) {
      changesScheduled = true;
      eventLoop.schedule(this::sendChanges, CHANGES_MILLIS, TimeUnit.MILLISECONDS);
    }
  }

  private void sendChanges() {
    changesScheduled = false;
    WorkChanges.Builder changes = WorkChanges.newBuilder();
    source.describeChanges(changes);
    if (changes.getOpenWorkCount() > 0) {
      sendToAll(Envelope.newBuilder().setWorkChanges(changes).build());
    }
  }

  private void tick() {
    long now = MonotonicClock.millis();
    heard.entrySet().removeIf(entry -> silent(entry, now));
    heardOfMillis.values().removeIf(millis -> now - millis > FORGET_MILLIS);
    dialMissing();
    long changedAt = publishedChangedAt();
    if (changedAt != toldChangedAt || now - newsMillis >= NEWS_MILLIS) {
      toldChangedAt = changedAt;
      newsMillis = now;
      sendNews();
    }
  }

  /** Returns the revision of the latest published change that is known. */
  private long publishedChangedAt() {
    return Math.max(
        source.changedAt(PublishedTopic.CONFIGURATION), source.changedAt(PublishedTopic.SERVERS));
  }

  private void sendNews() {
    FleetNews.Builder news =
        FleetNews.newBuilder()
            .setProcessId(processId)
            .setAddress(ownAddress)
            .addAllKnownAddresses(heardOfMillis.keySet())
            .setConfigurationChangedAt(source.changedAt(PublishedTopic.CONFIGURATION))
            .setServersChangedAt(source.changedAt(PublishedTopic.SERVERS))
            .setLeaving(source.isLeaving());
    source.describe(news);
    sendToAll(Envelope.newBuilder().setFleetNews(news).build());
  }

  private void sendToAll(Envelope envelope) {
    dialed.values().stream()
        .map(peer -> peer.connection)
        .filter(connection -> connection != null && connection.isWritable())
        .forEach(connection -> send(connection, envelope));
  }

  private static void send(@Nullable PeerConnection connection, Envelope envelope) {
    if (connection != null) {
      connection.send(envelope);
    }
  }

  private boolean silent(Map.Entry<String, Heard> entry, long now) {
    boolean silent = now - entry.getValue().millis > SILENCE_MILLIS;
    if (silent) {
      source.lost(entry.getKey());
      log.add(
          LogLine.of("peer_lost")
              .with("peer", entry.getKey())
              .with("silent_millis", now - entry.getValue().millis)
              .with("leaving", entry.getValue().leaving));
    }
    return silent;
  }

  private void dialMissing() {
    Set<String> wanted = new HashSet<>(seeds);
    wanted.addAll(heardOfMillis.keySet());
    wanted.remove(ownAddress);
    Set<String> chosen =
        wanted.size() <= MAX_DIALED
            ? wanted
            : new HashSet<>(
                wanted.stream()
                    .sorted(Comparator.comparingInt(address -> (ownAddress + address).hashCode()))
                    .limit(MAX_DIALED)
                    .toList());
    for (String address : List.copyOf(dialed.keySet())) {
      if (!chosen.contains(address)) {
        Dialed gone = dialed.remove(address);
        if (gone != null && gone.client != null) {
          gone.client.close();
        }
      }
    }
    chosen.stream().filter(address -> !dialed.containsKey(address)).forEach(this::dial);
  }

  private void dial(String address) {
    int colon = address.lastIndexOf(':');
    Dialed peer = new Dialed();
    dialed.put(address, peer);
    peer.client =
        PeerClient.start(
            group,
            new InetSocketAddress(
                address.substring(0, colon), Integer.parseInt(address.substring(colon + 1))),
            LIMITS,
            this::hello,
            listener(peer),
            null);
  }

  private Hello hello() {
    return Hello.newBuilder().setProcessId(processId).setRole(Role.ROLE_GATEWAY).build();
  }

  private PeerListener listener(@Nullable Dialed peer) {
    return new PeerListener() {
      @Override
      public void connected(PeerConnection connection, Hello hello) {
        if (peer != null) {
          eventLoop.execute(() -> peer.connection = connection);
        }
      }

      @Override
      public void received(PeerConnection connection, Envelope envelope) {
        eventLoop.execute(() -> take(connection, envelope));
      }

      @Override
      public void disconnected(PeerConnection connection) {
        if (peer != null) {
          eventLoop.execute(() -> forget(peer, connection));
        }
      }
    };
  }

  private static void forget(Dialed peer, PeerConnection connection) {
    if (peer.connection == connection) {
      peer.connection = null;
    }
  }

  private void take(PeerConnection connection, Envelope envelope) {
    switch (envelope.getMessageCase()) {
      case FLEET_NEWS -> takeNews(connection, envelope.getFleetNews());
      case WORK_CHANGES -> takeChanges(connection, envelope.getWorkChanges());
      case PUBLISHED_REQUEST -> answer(connection, envelope.getPublishedRequest());
      case PUBLISHED_ITEMS -> learn(connection, envelope.getPublishedItems());
      default ->
          log.add(
              LogLine.of("peer_message_ignored").with("kind", envelope.getMessageCase().name()));
    }
  }

  private void takeNews(PeerConnection connection, FleetNews news) {
    long now = MonotonicClock.millis();
    Heard known = heard.get(news.getProcessId());
    if (known == null) {
      known = new Heard();
      heard.put(news.getProcessId(), known);
      log.add(
          LogLine.of("peer_heard")
              .with("peer", news.getProcessId())
              .with("address", news.getAddress()));
    }
    known.millis = now;
    known.leaving = news.getLeaving();
    heardOfMillis.put(news.getAddress(), now);
    news.getKnownAddressesList().stream()
        .filter(address -> !address.equals(ownAddress))
        .forEach(address -> heardOfMillis.putIfAbsent(address, now - FORGET_MILLIS / 2));
    source.received(news);
    compare(connection, PublishedTopic.CONFIGURATION, news.getConfigurationChangedAt(), now);
    compare(connection, PublishedTopic.SERVERS, news.getServersChangedAt(), now);
  }

  private void takeChanges(PeerConnection connection, WorkChanges changes) {
    Hello hello = connection.remoteHello();
    if (hello != null && heard.containsKey(hello.getProcessId())) {
      source.received(hello.getProcessId(), changes);
    }
  }

  private void compare(PeerConnection connection, PublishedTopic topic, long theirs, long now) {
    long ours = source.asOf(topic);
    if (theirs <= ours) {
      behindSinceMillis.remove(topic);
      return;
    }
    long since = behindSinceMillis.computeIfAbsent(topic, key -> now);
    boolean hurry = ours == 0;
    if ((hurry || now - since >= PLATFORM_HEAD_START_MILLIS)
        && now - lastRequestMillis >= REQUEST_PAUSE_MILLIS) {
      lastRequestMillis = now;
      connection.send(
          Envelope.newBuilder()
              .setPublishedRequest(
                  PublishedRequest.newBuilder().setTopic(wire(topic)).setAsOf(ours))
              .build());
    }
  }

  private void answer(PeerConnection connection, PublishedRequest request) {
    PublishedTopic topic = topic(request.getTopic());
    if (topic == null || source.asOf(topic) <= request.getAsOf()) {
      return;
    }
    PublishedItems.Builder items =
        PublishedItems.newBuilder().setTopic(request.getTopic()).setAsOf(source.asOf(topic));
    source.items(topic).forEach(item -> items.addItems(wire(item)));
    connection.send(Envelope.newBuilder().setPublishedItems(items).build());
  }

  private void learn(PeerConnection connection, PublishedItems items) {
    PublishedTopic topic = topic(items.getTopic());
    Hello hello = connection.remoteHello();
    if (topic == null || hello == null || items.getAsOf() <= source.asOf(topic)) {
      return;
    }
    List<PublishedItem> decoded =
        items.getItemsList().stream()
            .map(
                item ->
                    new PublishedItem(
                        item.getKey(), item.getValue().toByteArray(), item.getRevision()))
            .toList();
    source.learned(topic, decoded, items.getAsOf(), hello.getProcessId());
  }

  private static org.shallothold.wire.proto.PublishedItem wire(PublishedItem item) {
    return org.shallothold.wire.proto.PublishedItem.newBuilder()
        .setKey(item.key())
        .setValue(ByteString.copyFrom(item.value()))
        .setRevision(item.revision())
        .build();
  }

  private static org.shallothold.wire.proto.PublishedTopic wire(PublishedTopic topic) {
    return switch (topic) {
      case CONFIGURATION -> org.shallothold.wire.proto.PublishedTopic.PUBLISHED_TOPIC_CONFIGURATION;
      case SERVERS -> org.shallothold.wire.proto.PublishedTopic.PUBLISHED_TOPIC_SERVERS;
    };
  }

  private static @Nullable PublishedTopic topic(org.shallothold.wire.proto.PublishedTopic topic) {
    return switch (topic) {
      case PUBLISHED_TOPIC_CONFIGURATION -> PublishedTopic.CONFIGURATION;
      case PUBLISHED_TOPIC_SERVERS -> PublishedTopic.SERVERS;
      case PUBLISHED_TOPIC_UNSPECIFIED, UNRECOGNIZED -> null;
    };
  }

  private static String text(InetSocketAddress address) {
    return address.getHostString() + ":" + address.getPort();
  }
}
