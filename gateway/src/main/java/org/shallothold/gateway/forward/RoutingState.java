package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Collection;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.publish.PlatformContact;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedState;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.route.RoutedService;
import org.shallothold.gateway.forward.backend.BackendPool;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * The configuration in force and the backend servers, as read from the platform or learned from
 * peers. It never goes back to an older version. Owned by the event loop.
 */
final class RoutingState implements PublishedSource.Listener {

  // Several times as many servers as leave while a list can be out of date.
  private static final int MAX_LEAVING_LIVES = 10_000;

  private final EventLoop eventLoop;
  private final PublishedDecoder decoder;
  private final HeaderTranslation translation;
  private final StructuredLog log;

  private final Map<PublishedTopic, PublishedState> published = new EnumMap<>(PublishedTopic.class);
  private final Map<PublishedTopic, PlatformContact> contacts = new EnumMap<>(PublishedTopic.class);
  private final Map<String, TrackedServer> servers = new HashMap<>();
  private final Map<String, Set<TrackedServer>> serversByService = new HashMap<>();
  private final Map<String, BackendPool> pools = new HashMap<>();
  // Lives in which a server said that it leaves, by its id. Kept also while the server isn't
  // listed: an older list, or one that the platform restores after an outage, may name it again.
  private final Map<String, Long> leavingLives =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_LEAVING_LIVES;
        }
      };
  private @Nullable RouteConfiguration configuration;
  private long configurationRevision;

  RoutingState(
      EventLoop eventLoop,
      PublishedDecoder decoder,
      HeaderTranslation translation,
      StructuredLog log) {
    this.eventLoop = eventLoop;
    this.decoder = decoder;
    this.translation = translation;
    this.log = log;
    for (PublishedTopic topic : PublishedTopic.values()) {
      published.put(topic, PublishedState.empty());
      contacts.put(topic, PlatformContact.create());
    }
  }

  /** Returns the configuration in force, or empty if none is known yet. */
  Optional<RouteConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Returns the servers of a service. */
  Collection<TrackedServer> servers(String service) {
    return serversByService.getOrDefault(service, Set.of());
  }

  /** Returns a server by its id, or null if it isn't listed. */
  @Nullable TrackedServer server(String id) {
    return servers.get(id);
  }

  /** Returns all servers. */
  Collection<TrackedServer> allServers() {
    return servers.values();
  }

  /** Returns whether a configuration and a list of servers, even an empty one, were ever read. */
  boolean isKnown() {
    return configuration != null && asOf(PublishedTopic.SERVERS) > 0;
  }

  /** Returns whether there is a configuration and servers for requests. */
  boolean isServing() {
    return configuration != null && !servers.isEmpty();
  }

  /** Returns the connections to a server. */
  BackendPool pool(ServerEntry server) {
    return pools.computeIfAbsent(
        server.id(),
        id ->
            BackendPool.of(
                eventLoop, new InetSocketAddress(server.host(), server.port()), translation));
  }

  /** Returns the open connections to backend servers. */
  int connections() {
    return pools.values().stream().mapToInt(BackendPool::size).sum();
  }

  /** Returns the revision up to which a topic is known. */
  long asOf(PublishedTopic topic) {
    return state(topic).completeRevision();
  }

  /** Returns the revision of the latest change of a topic that is known. */
  long changedAt(PublishedTopic topic) {
    return state(topic).lastChangeRevision();
  }

  /** Returns all items of a topic. */
  List<PublishedItem> items(PublishedTopic topic) {
    return state(topic).items();
  }

  /** Returns the milliseconds since a topic was last read from the platform. */
  long readAgeMillis(PublishedTopic topic) {
    return Clock.millis() - contact(topic).lastAnswerMillis();
  }

  /** Returns whether the platform's last answer for a topic was a failure. */
  boolean isOutOfContact(PublishedTopic topic) {
    return contact(topic).isLost();
  }

  @Override
  public void itemsRead(PublishedTopic topic, List<PublishedItem> items, long asOf) {
    boolean afterOutage = regained(topic);
    state(topic).replaceAll(items, asOf, afterOutage, Clock.millis());
    apply(topic, "platform");
  }

  @Override
  public void itemsChanged(
      PublishedTopic topic,
      List<PublishedItem> changed,
      List<PublishedSource.Removal> removed,
      long asOf) {
    boolean afterOutage = regained(topic);
    PublishedState state = state(topic);
    changed.forEach(state::put);
    removed.forEach(
        removal -> state.remove(removal.key(), removal.revision(), afterOutage, Clock.millis()));
    state.advanceCompleteRevision(asOf);
    if (!changed.isEmpty() || !removed.isEmpty()) {
      apply(topic, "platform");
    }
  }

  @Override
  public void readFailed(PublishedTopic topic, String reason) {
    if (contact(topic).recordFailure()) {
      log.add(
          LogLine.of("platform_contact_lost").with("topic", topic.name()).with("reason", reason));
    }
  }

  /** Takes all items of a topic as a peer knows them. */
  void learned(PublishedTopic topic, List<PublishedItem> items, long asOf, String peer) {
    if (asOf <= asOf(topic)) {
      return;
    }
    state(topic).replaceAll(items, asOf, false, Clock.millis());
    apply(topic, peer);
  }

  /**
   * Notes that a server said that it leaves.
   *
   * @param life start of the server's life that leaves
   * @param source who heard it
   */
  void leaving(String id, long life, String source) {
    Long before = leavingLives.put(id, life);
    TrackedServer server = servers.get(id);
    if (server == null || server.entry().startedMillis() != life) {
      return;
    }
    server.markLeaving();
    if (before == null || before != life) {
      log.add(LogLine.of("server_says_leaving").with("server", id).with("source", source));
    }
  }

  /** Returns the life of a server in which it said that it leaves, or null if it didn't. */
  @Nullable Long leavingLife(String id) {
    return leavingLives.get(id);
  }

  /** Drops servers that did not come back after an outage, and idle connections. */
  void maintain() {
    for (PublishedTopic topic : PublishedTopic.values()) {
      boolean dropped =
          !contact(topic).isLost() && !state(topic).dropExpired(Clock.millis()).isEmpty();
      if (dropped) {
        apply(topic, "grace period over");
      }
    }
    pools.values().forEach(BackendPool::closeExpired);
  }

  /** Notes an answer; returns whether an item that it shows missing may come back. */
  private boolean regained(PublishedTopic topic) {
    PlatformContact contact = contact(topic);
    long now = Clock.millis();
    boolean first = !contact.hasAnswered();
    long away = first ? 0 : now - contact.lastAnswerMillis();
    if (contact.recordAnswer(now)) {
      log.add(
          LogLine.of("platform_contact_regained")
              .with("topic", topic.name())
              .with("first", first)
              .with("away_millis", away));
    }
    return contact.mayHaveLapsed(now);
  }

  private void apply(PublishedTopic topic, String source) {
    switch (topic) {
      case CONFIGURATION -> applyConfiguration(source);
      case SERVERS -> applyServers(source);
    }
  }

  private void applyConfiguration(String source) {
    for (PublishedItem item : state(PublishedTopic.CONFIGURATION).items()) {
      if (item.revision() <= configurationRevision) {
        continue;
      }
      configurationRevision = item.revision();
      decoder.configuration(item).ifPresent(decoded -> adopt(decoded, source));
    }
  }

  private void adopt(RouteConfiguration decoded, String source) {
    RouteConfiguration former = configuration;
    if (former != null && decoded.version() <= former.version()) {
      return;
    }
    configuration = decoded;
    log.add(
        LogLine.of("configuration_in_force")
            .with("version", decoded.version())
            .with("former", former == null ? 0 : former.version())
            .with("source", source)
            .with("routes", decoded.routes().size()));
    applyCacheSizes();
  }

  private void applyServers(String source) {
    Set<String> listed = new HashSet<>();
    for (PublishedItem item : state(PublishedTopic.SERVERS).items()) {
      decoder
          .server(item)
          .ifPresent(
              entry -> {
                listed.add(entry.id());
                put(entry, source);
              });
    }
    for (String id : List.copyOf(servers.keySet())) {
      if (!listed.contains(id)) {
        drop(id, source);
      }
    }
    serversByService.clear();
    servers
        .values()
        .forEach(
            server ->
                serversByService
                    .computeIfAbsent(server.entry().service(), name -> new HashSet<>())
                    .add(server));
    applyCacheSizes();
  }

  /** Sets the engines' memory, which the configuration tells and may come after the servers. */
  private void applyCacheSizes() {
    servers
        .values()
        .forEach(server -> server.setCacheCapacityTokens(cacheTokens(server.entry().service())));
  }

  private void put(ServerEntry entry, String source) {
    TrackedServer known = servers.get(entry.id());
    if (known != null && known.entry().equals(entry)) {
      return;
    }
    log.add(
        LogLine.of("server_listed")
            .with("server", entry.id())
            .with("service", entry.service())
            .with("leaving", entry.leaving())
            .with("source", source));
    if (known == null) {
      TrackedServer added = TrackedServer.of(entry);
      servers.put(entry.id(), added);
      applyLeaving(added);
      return;
    }
    boolean moved =
        !known.entry().host().equals(entry.host())
            || known.entry().port() != entry.port()
            || known.entry().startedMillis() != entry.startedMillis();
    known.updateEntry(entry);
    applyLeaving(known);
    if (moved) {
      closePool(entry.id());
    }
  }

  private void applyLeaving(TrackedServer server) {
    Long life = leavingLives.get(server.entry().id());
    if (life != null && life == server.entry().startedMillis()) {
      server.markLeaving();
    }
  }

  private void drop(String id, String source) {
    servers.remove(id);
    closePool(id);
    log.add(LogLine.of("server_gone").with("server", id).with("source", source));
  }

  private void closePool(String id) {
    BackendPool pool = pools.remove(id);
    if (pool != null) {
      pool.close();
    }
  }

  private long cacheTokens(String service) {
    return configuration()
        .flatMap(known -> known.service(service))
        .map(RoutedService::cacheCapacityTokens)
        .orElse(0L);
  }

  private PublishedState state(PublishedTopic topic) {
    return Objects.requireNonNull(published.get(topic));
  }

  private PlatformContact contact(PublishedTopic topic) {
    return Objects.requireNonNull(contacts.get(topic));
  }
}
