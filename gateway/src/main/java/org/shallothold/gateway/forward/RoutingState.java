package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.net.InetSocketAddress;
import java.util.Arrays;
import java.util.Collection;
import java.util.EnumMap;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.publish.PlatformContact;
import org.shallothold.core.publish.PublishedChanges;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.publish.PublishedState;
import org.shallothold.core.publish.Restore;
import org.shallothold.core.publish.RestoreRules;
import org.shallothold.core.rate.RateObservation;
import org.shallothold.core.rate.RateStatement;
import org.shallothold.core.rate.StatedRates;
import org.shallothold.core.route.ColdStart;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.route.RoutedService;
import org.shallothold.gateway.forward.backend.BackendPool;
import org.shallothold.gateway.forward.backend.ForeignBytes;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.ReadScheduler;

/**
 * The configuration in force and the listed backend servers, as read from the platform or received
 * from peers. It never returns to an older configuration version. Owned by the event loop.
 */
final class RoutingState implements PublishedSource.Listener {

  // Several times the number of servers that leave while a list of servers can be out of date.
  private static final int MAX_LEAVING_INSTANCES = 10_000;
  private static final String PLATFORM = "platform";

  private final EventLoop eventLoop;
  private final PublishedDecoder decoder;
  private final HeaderTranslation translation;
  private final StructuredLog log;
  private final ForwardMetrics metrics;

  private final Map<PublishedTopic, PublishedState> publishedStates =
      new EnumMap<>(PublishedTopic.class);
  private final Map<PublishedTopic, PlatformContact> contacts = new EnumMap<>(PublishedTopic.class);
  private final Map<String, TrackedServer> servers = new HashMap<>();
  private final Map<String, Set<TrackedServer>> serversByService = new HashMap<>();
  private final Map<String, BackendPool> pools = new HashMap<>();
  private final ReadScheduler serverReads;
  // By server id, the start time of the instance that announced that it leaves. Kept also while the
  // server isn't listed: an older list, or one that the platform restores after an outage, may
  // contain it again.
  private final Map<String, Long> leavingInstances =
      new LinkedHashMap<>() {
        @Override
        protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
          return size() > MAX_LEAVING_INSTANCES;
        }
      };
  // By server id, the backoff that the server requested last. Kept also while the server isn't
  // listed, like the instances that leave.
  private final Map<String, Backoff> backoffs = new HashMap<>();
  private final StatedRates statedRates = StatedRates.create();
  // By server id, the last unusable rate that was logged, so that each is logged once.
  private final Map<String, String> unusableRates = new HashMap<>();
  private Consumer<String> rateChangeListener = serverId -> {};
  private @Nullable RouteConfiguration configuration;
  // By key, the positions of the items of the configuration's topic that were decoded last.
  private final Map<String, PublishedPosition> decodedPositions = new HashMap<>();
  private byte[] activeValue = new byte[0];
  private Set<String> evacuatedDomains = Set.of();
  private final RampUps rampUps;
  private final ColdStarts coldStarts;
  private boolean firstListApplied;
  // Topics whose latest news came from a peer and not from the platform.
  private final Set<PublishedTopic> learnedTopics = EnumSet.noneOf(PublishedTopic.class);

  /**
   * A server's request for no further requests from this gateway.
   *
   * @param instanceStartMillis start time of the instance that requested it, by the server's clock
   * @param untilMillis time at which it ends
   */
  private record Backoff(long instanceStartMillis, long untilMillis) {}

  RoutingState(
      EventLoop eventLoop,
      PublishedDecoder decoder,
      HeaderTranslation translation,
      StructuredLog log,
      ForwardMetrics metrics,
      long itemLifetimeMillis) {
    this.metrics = metrics;
    this.eventLoop = eventLoop;
    this.decoder = decoder;
    this.translation = translation;
    this.log = log;
    this.serverReads = ReadScheduler.create("server", eventLoop);
    this.rampUps = new RampUps(this::server, this::coldStart, log, metrics);
    this.coldStarts = new ColdStarts(this::coldStart, this::server, rampUps, log, metrics);
    for (PublishedTopic topic : PublishedTopic.values()) {
      publishedStates.put(topic, PublishedState.of(restoreRules(topic, itemLifetimeMillis)));
      contacts.put(topic, PlatformContact.create());
    }
  }

  private RestoreRules restoreRules(PublishedTopic topic, long itemLifetimeMillis) {
    // By then a server that has left has lapsed, also if it lapsed and registered again meanwhile.
    long outdatedMillis = itemLifetimeMillis + PublishedState.REPUBLISH_GRACE_MILLIS;
    return switch (topic) {
      case CONFIGURATION -> new RestoreRules(outdatedMillis, outdatedMillis, decoder::version);
      case SERVERS ->
          RestoreRules.withoutVersions(PublishedState.REPUBLISH_GRACE_MILLIS, outdatedMillis);
    };
  }

  /** Returns the configuration in force, or empty if none is known yet. */
  Optional<RouteConfiguration> configuration() {
    return Optional.ofNullable(configuration);
  }

  /** Returns the listed servers of a service; empty if there are none. */
  Collection<TrackedServer> servers(String service) {
    return serversByService.getOrDefault(service, Set.of());
  }

  /** Returns a server by its id, or null if it isn't listed. */
  @Nullable TrackedServer server(String id) {
    return servers.get(id);
  }

  /** Returns all listed servers. */
  Collection<TrackedServer> allServers() {
    return servers.values();
  }

  /** Returns the failure domains that the operators evacuate. */
  Set<String> evacuatedDomains() {
    return evacuatedDomains;
  }

  /** Returns whether a configuration and a list of servers, which may be empty, were received. */
  boolean isLoaded() {
    return configuration != null && asOf(PublishedTopic.SERVERS).isKnown();
  }

  /** Returns whether there is a configuration and at least one server. */
  boolean canServe() {
    return configuration != null && !servers.isEmpty();
  }

  /** Returns the scheduler of the reads from servers' connections. */
  ReadScheduler serverReads() {
    return serverReads;
  }

  /** Returns the connection pool of a server, created at its first use. */
  BackendPool pool(ServerEntry server) {
    return pools.computeIfAbsent(server.id(), id -> createPool(server));
  }

  /** Checks whether a server accepts connections; it need not be listed any more. */
  void checkReachable(ServerEntry server, Consumer<BackendPool.Reachability> listener) {
    TrackedServer listed = servers.get(server.id());
    boolean hasPool =
        listed != null
            && listed.entry().host().equals(server.host())
            && listed.entry().port() == server.port();
    if (hasPool) {
      pool(server).checkReachable(listener);
      return;
    }
    BackendPool pool = createPool(server);
    pool.checkReachable(
        reachability -> {
          pool.close();
          listener.accept(reachability);
        });
  }

  private BackendPool createPool(ServerEntry server) {
    return BackendPool.of(
        eventLoop,
        new BackendPool.Server(server.id(), new InetSocketAddress(server.host(), server.port())),
        serverReads,
        translation,
        foreignBytes -> recordForeignBytes(server, foreignBytes));
  }

  private void recordForeignBytes(ServerEntry server, ForeignBytes foreignBytes) {
    String place = foreignBytes.place().label();
    metrics.foreignBytes.labelValues(server.service(), place).inc();
    if (!foreignBytes.place().isDuringRequest()) {
      metrics.additionalBytes.labelValues(server.service()).inc();
    }
    log.add(
        LogLine.of(foreignBytes.place().isDuringRequest() ? "foreign_response" : "additional_bytes")
            .with("request", foreignBytes.request())
            .with("server", server.id())
            .with("service", server.service())
            .with("place", place)
            .with("bytes", foreignBytes.length())
            .with("named_request", foreignBytes.namedRequest())
            .with("last_request", foreignBytes.lastRequest())
            .with("connection_age_millis", foreignBytes.connectionAgeMillis())
            .with("since_last_response_millis", foreignBytes.idleMillis()));
  }

  /** Returns the number of connections to backend servers that are open or being opened. */
  int connections() {
    return pools.values().stream().mapToInt(BackendPool::size).sum();
  }

  /** Returns the position up to which a topic is known. */
  PublishedPosition asOf(PublishedTopic topic) {
    return publishedState(topic).complete();
  }

  /** Returns the position of the latest known change of a topic. */
  PublishedPosition changedAt(PublishedTopic topic) {
    return publishedState(topic).lastChange();
  }

  /** Returns the items of a topic as the platform lists them, ordered by key, for peers. */
  List<PublishedItem> listing(PublishedTopic topic) {
    return publishedState(topic).listing();
  }

  /** Returns the changes of a topic after a position of the current era. */
  PublishedChanges changesAfter(PublishedTopic topic, PublishedPosition position) {
    return publishedState(topic).changesAfter(position);
  }

  /** Returns the milliseconds since a topic was last read from the platform. */
  long readAgeMillis(PublishedTopic topic) {
    return MonotonicClock.millis() - contact(topic).lastAnswerMillis();
  }

  /**
   * Returns whether the last read of a topic from the platform failed, or none has succeeded yet.
   */
  boolean isPlatformUnreachable(PublishedTopic topic) {
    return contact(topic).isLost();
  }

  @Override
  public void itemsRead(PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf) {
    boolean afterOutage = recordContact(topic);
    recordOlderAnswer(topic, items, asOf);
    long graceStartMillis =
        isNewEra(topic, asOf) ? MonotonicClock.millis() : contact(topic).regainedMillis();
    replaceAll(topic, items, asOf, afterOutage, graceStartMillis, PLATFORM);
    logLowerVersions(items);
    apply(topic, PLATFORM);
  }

  /** Logs configurations that aren't taken since their version is lower, or is none. */
  private void logLowerVersions(List<PublishedItem> items) {
    long inForce = configuration().map(RouteConfiguration::version).orElse(Long.MIN_VALUE);
    items.stream()
        .filter(item -> decoder.version(item) != RestoreRules.NO_VERSION)
        .filter(item -> decoder.version(item) < inForce)
        .forEach(
            item ->
                log.add(
                    LogLine.of("configuration_not_taken")
                        .with("version", decoder.version(item))
                        .with("in_force", inForce)
                        .with("era", item.position().era())
                        .with("revision", item.revision())));
  }

  private boolean isNewEra(PublishedTopic topic, PublishedPosition asOf) {
    return asOf(topic).isKnown() && asOf.era() > asOf(topic).era();
  }

  private void replaceAll(
      PublishedTopic topic,
      List<PublishedItem> items,
      PublishedPosition asOf,
      boolean afterOutage,
      long graceStartMillis,
      String source) {
    boolean newEra = isNewEra(topic, asOf);
    publishedState(topic).replaceAll(items, asOf, afterOutage, graceStartMillis);
    if (newEra) {
      publishedState(topic).lastRestore().ifPresent(restore -> logRestore(topic, restore, source));
    }
  }

  private void logRestore(PublishedTopic topic, Restore restore, String source) {
    metrics.platformRestores.labelValues(topic.label()).inc();
    log.add(
        LogLine.of("platform_restored")
            .with("topic", topic.name())
            .with("source", source)
            .with("era", restore.to().era())
            .with("former_era", restore.from().era())
            .with("as_of", restore.to().revision())
            .with("former_as_of", restore.from().revision())
            .with("missing", restore.missing())
            .with("outdated", restore.outdated())
            .with("changed", restore.changed()));
  }

  @Override
  public void itemsChanged(
      PublishedTopic topic,
      List<PublishedItem> changed,
      List<PublishedSource.Removal> removed,
      PublishedPosition asOf) {
    boolean afterOutage = recordContact(topic);
    recordOlderAnswer(topic, changed, asOf);
    logLowerVersions(changed);
    PublishedState state = publishedState(topic);
    if (asOf.era() < state.complete().era()) {
      // A peer has told of a later era, which the source reads when it next gets an answer.
      if (state.takeHigherVersions(changed)) {
        apply(topic, PLATFORM);
      }
      return;
    }
    changed.forEach(state::put);
    removed.forEach(
        removal ->
            state.remove(
                removal.key(), removal.position(), afterOutage, contact(topic).regainedMillis()));
    state.advance(asOf);
    if (!changed.isEmpty() || !removed.isEmpty()) {
      apply(topic, PLATFORM);
    }
  }

  /** Counts an answer of the platform that ends before what is known, and logs its items. */
  private void recordOlderAnswer(
      PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf) {
    if (!asOf(topic).isAfter(asOf)) {
      return;
    }
    metrics.olderPlatformAnswers.labelValues(topic.label()).inc();
    if (!items.isEmpty()) {
      log.add(
          LogLine.of("platform_answer_older")
              .with("topic", topic.name())
              .with("as_of", asOf.revision())
              .with("era", asOf.era())
              .with("known_as_of", asOf(topic).revision())
              .with("known_era", asOf(topic).era())
              .with("items", items.size()));
    }
  }

  @Override
  public void readFailed(PublishedTopic topic, String reason) {
    if (contact(topic).recordFailure()) {
      log.add(
          LogLine.of("platform_contact_lost").with("topic", topic.name()).with("reason", reason));
    }
  }

  /**
   * Applies a peer's copy of a topic; if it isn't newer than this gateway's, only higher versions
   * are taken from it.
   *
   * @param asOf position up to which the copy is complete
   * @param peer process id of the peer
   */
  void learned(
      PublishedTopic topic, List<PublishedItem> items, PublishedPosition asOf, String peer) {
    if (!asOf.isAfter(asOf(topic))) {
      if (publishedState(topic).takeHigherVersions(items)) {
        apply(topic, peer);
      }
      return;
    }
    learnedTopics.add(topic);
    replaceAll(topic, items, asOf, false, MonotonicClock.millis(), peer);
    apply(topic, peer);
  }

  /**
   * Applies a peer's changes of a topic; ignored if this gateway's copy is as new.
   *
   * @param changes changes after a position up to which this gateway's copy is complete
   * @param asOf position up to which the peer's copy is complete
   * @param peer process id of the peer
   */
  void learned(
      PublishedTopic topic, PublishedChanges changes, PublishedPosition asOf, String peer) {
    if (publishedState(topic).apply(changes, asOf)) {
      apply(topic, peer);
    }
  }

  /**
   * Records that an instance of a server announced that it leaves. It gets no further requests.
   *
   * @param instanceStartMillis start time of the instance, by the server's clock
   * @param source where the announcement came from, for the log
   */
  void recordLeaving(String id, long instanceStartMillis, String source) {
    Long previous = leavingInstances.put(id, instanceStartMillis);
    TrackedServer server = servers.get(id);
    if (server == null || server.entry().startedMillis() != instanceStartMillis) {
      return;
    }
    server.markLeaving();
    if (previous == null || previous != instanceStartMillis) {
      log.add(LogLine.of("server_says_leaving").with("server", id).with("source", source));
    }
  }

  /**
   * Returns the start time of the instance of a server that announced that it leaves; null if none
   * did.
   */
  @Nullable Long leavingInstance(String id) {
    return leavingInstances.get(id);
  }

  /** Records that a server requested no further requests from this gateway until the given time. */
  void recordBackoff(TrackedServer server, long untilMillis) {
    server.recordClosedUntil(untilMillis);
    backoffs.merge(
        server.entry().id(),
        new Backoff(server.entry().startedMillis(), untilMillis),
        (known, added) ->
            known.instanceStartMillis() == added.instanceStartMillis()
                    && known.untilMillis() > added.untilMillis()
                ? known
                : added);
  }

  /**
   * Records what a response of a server states about the server's rate limit. A response without a
   * limit ends an earlier one only if its request was sent after the limit was last stated:
   * responses on different connections overtake each other.
   *
   * @param requestSentMillis time at which the request was sent
   */
  void recordRateStatement(ServerEntry server, RateStatement statement, long requestSentMillis) {
    switch (statement) {
      case RateStatement.Limited limited ->
          recordRate(
              server.id(),
              new RateObservation(
                  server.startedMillis(), limited.requestsPerSecond(), MonotonicClock.millis()),
              "server response");
      case RateStatement.Unlimited unlimited ->
          recordRate(
              server.id(),
              new RateObservation(
                  server.startedMillis(), RateObservation.NO_LIMIT, requestSentMillis),
              "server response");
      case RateStatement.Unusable unusable -> {
        if (!unusable.text().equals(unusableRates.put(server.id(), unusable.text()))) {
          log.add(
              LogLine.of("server_rate_unusable")
                  .with("server", server.id())
                  .with("rate", unusable.text())
                  .with("kept", RateObservation.toText(statedRate(server))));
        }
      }
    }
  }

  /**
   * Records an observation of a server's rate limit; ignored if a later one is known.
   *
   * @param source where the observation came from, for the log
   */
  void recordRate(String serverId, RateObservation observation, String source) {
    double formerRate = statedRates.requestsPerSecond(serverId, observation.instanceStartMillis());
    if (!statedRates.record(serverId, observation)) {
      return;
    }
    log.add(
        LogLine.of("server_rate_stated")
            .with("server", serverId)
            .with("instance", observation.instanceStartMillis())
            .with("requests_per_second", RateObservation.toText(observation.requestsPerSecond()))
            .with("former", RateObservation.toText(formerRate))
            .with("age_millis", MonotonicClock.millis() - observation.observedMillis())
            .with("source", source));
    rateChangeListener.accept(serverId);
  }

  /** Returns the windows of the servers that started or recovered. */
  RampUps rampUps() {
    return rampUps;
  }

  /**
   * Records that a server could not be reached. One that was unreachable for a time ramps up again,
   * unless half of the servers are unreachable, which rather is a fault of this gateway's network.
   */
  void recordUnreachable(TrackedServer server) {
    long nowMillis = MonotonicClock.millis();
    server.recordUnreachable(nowMillis);
    if (!server.isRepeatedlyUnreachable()) {
      return;
    }
    Collection<TrackedServer> sameService = servers(server.entry().service());
    long unreachable = sameService.stream().filter(each -> each.isSuspended(nowMillis)).count();
    if (2 * unreachable < sameService.size()) {
      rampUps.began(
          server.entry().id(), server.entry().startedMillis(), RampUps.Reason.UNREACHABLE);
    }
  }

  /** Returns the servers that are cold. */
  ColdStarts coldStarts() {
    return coldStarts;
  }

  /** Returns the known rate limits of all servers. */
  StatedRates statedRates() {
    return statedRates;
  }

  /** Sets the listener that is called with a server's id when its rate limit changed. */
  void setRateChangeListener(Consumer<String> listener) {
    rateChangeListener = listener;
  }

  /**
   * Returns the rate limit of a server for all gateways together, in requests per second; {@link
   * RateObservation#NO_LIMIT} if there is none.
   */
  double statedRate(ServerEntry server) {
    return statedRates.requestsPerSecond(server.id(), server.startedMillis());
  }

  /** Drops items that did not come back after an outage, and closes expired idle connections. */
  void maintain() {
    dropExpiredItems();
    long nowMillis = MonotonicClock.millis();
    backoffs.values().removeIf(backoff -> backoff.untilMillis() <= nowMillis);
    pools.values().forEach(BackendPool::closeExpired);
    coldStarts.maintain();
    rampUps.maintain();
  }

  private void dropExpiredItems() {
    for (PublishedTopic topic : PublishedTopic.values()) {
      boolean expired =
          (!contact(topic).isLost() || learnedTopics.contains(topic))
              && !publishedState(topic).dropExpired(MonotonicClock.millis()).isEmpty();
      if (expired) {
        apply(topic, "grace period over");
      }
    }
  }

  /**
   * Records a successful read from the platform.
   *
   * @return whether items that are missing from it may come back, since an outage ended shortly
   *     before
   */
  private boolean recordContact(PublishedTopic topic) {
    PlatformContact contact = contact(topic);
    learnedTopics.remove(topic);
    long nowMillis = MonotonicClock.millis();
    boolean first = !contact.hasAnswered();
    long awayMillis = first ? 0 : nowMillis - contact.lastAnswerMillis();
    if (contact.recordAnswer(nowMillis)) {
      // Items that are still missing after the grace period must not be used any longer.
      eventLoop.schedule(
          this::dropExpiredItems, PublishedState.REPUBLISH_GRACE_MILLIS, TimeUnit.MILLISECONDS);
      log.add(
          LogLine.of("platform_contact_regained")
              .with("topic", topic.name())
              .with("first", first)
              .with("away_millis", awayMillis));
    }
    return contact.mayHaveLapsed(nowMillis);
  }

  private void apply(PublishedTopic topic, String source) {
    switch (topic) {
      case CONFIGURATION -> {
        applyConfiguration(source);
        applyEvacuations(source);
      }
      case SERVERS -> applyServers(source);
    }
  }

  private void applyConfiguration(String source) {
    for (PublishedItem item : publishedState(PublishedTopic.CONFIGURATION).items()) {
      if (!item.position().equals(decodedPositions.put(item.key(), item.position()))) {
        decoder.configuration(item).ifPresent(decoded -> activate(decoded, item, source));
      }
    }
  }

  private void applyEvacuations(String source) {
    Set<String> evacuated =
        publishedState(PublishedTopic.CONFIGURATION).items().stream()
            .flatMap(item -> decoder.evacuatedDomain(item).stream())
            .collect(Collectors.toUnmodifiableSet());
    Set<String> former = evacuatedDomains;
    if (evacuated.equals(former)) {
      return;
    }
    evacuatedDomains = evacuated;
    servers.values().forEach(this::applyEvacuation);
    evacuated.stream()
        .filter(domain -> !former.contains(domain))
        .forEach(domain -> logEvacuation("evacuation_begun", domain, source));
    former.stream()
        .filter(domain -> !evacuated.contains(domain))
        .forEach(
            domain -> {
              logEvacuation("evacuation_ended", domain, source);
              coldStarts.evacuationEnded(
                  domain,
                  asOf(PublishedTopic.CONFIGURATION),
                  servers.values().stream().filter(isIn(domain)).toList());
            });
  }

  private void logEvacuation(String event, String domain, String source) {
    log.add(
        LogLine.of(event)
            .with("failure_domain", domain)
            .with("servers", servers.values().stream().filter(isIn(domain)).count())
            .with("revision", changedAt(PublishedTopic.CONFIGURATION).revision())
            .with("source", source));
  }

  private static Predicate<TrackedServer> isIn(String domain) {
    return server -> server.entry().failureDomain().equals(domain);
  }

  private void applyEvacuation(TrackedServer server) {
    server.setEvacuated(evacuatedDomains.contains(server.entry().failureDomain()));
  }

  private void activate(RouteConfiguration decoded, PublishedItem item, String source) {
    RouteConfiguration previousConfiguration = configuration;
    if (previousConfiguration != null && !replaces(decoded, item, previousConfiguration)) {
      return;
    }
    configuration = decoded;
    activeValue = item.value();
    log.add(
        LogLine.of("configuration_in_force")
            .with("version", decoded.version())
            .with("former", previousConfiguration == null ? 0 : previousConfiguration.version())
            .with("source", source)
            .with("routes", decoded.routes().size()));
    applyCacheCapacities();
  }

  /** Returns whether a configuration is newer: a later write, unless its version is lower. */
  private boolean replaces(
      RouteConfiguration decoded, PublishedItem item, RouteConfiguration previous) {
    return decoded.version() == previous.version()
        ? !Arrays.equals(item.value(), activeValue)
        : decoded.version() > previous.version();
  }

  private void applyServers(String source) {
    Set<String> listed = new HashSet<>();
    for (PublishedItem item : publishedState(PublishedTopic.SERVERS).items()) {
      decoder
          .server(item)
          .ifPresent(
              entry -> {
                listed.add(entry.id());
                putServer(entry, source);
                coldStarts.entryRead(
                    entry, item.position(), !firstListApplied, () -> decoder.coldFigure(item));
              });
    }
    for (String id : List.copyOf(servers.keySet())) {
      if (!listed.contains(id)) {
        removeServer(id, source);
      }
    }
    firstListApplied = true;
    serversByService.clear();
    servers
        .values()
        .forEach(
            server ->
                serversByService
                    .computeIfAbsent(server.entry().service(), name -> new HashSet<>())
                    .add(server));
    applyCacheCapacities();
  }

  /**
   * Sets the cache capacity of each engine from the configuration, which may arrive after the list
   * of servers.
   */
  private void applyCacheCapacities() {
    servers
        .values()
        .forEach(server -> server.setCacheCapacityTokens(cacheTokens(server.entry().service())));
  }

  private void putServer(ServerEntry entry, String source) {
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
      applyEvacuation(added);
      applyBackoff(added);
      coldStarts.listed(entry, !firstListApplied);
      return;
    }
    if (known.entry().startedMillis() != entry.startedMillis()) {
      coldStarts.listed(entry, !firstListApplied);
    }
    boolean moved =
        !known.entry().host().equals(entry.host())
            || known.entry().port() != entry.port()
            || known.entry().startedMillis() != entry.startedMillis();
    known.updateEntry(entry);
    applyLeaving(known);
    applyEvacuation(known);
    if (moved) {
      closePool(entry.id());
    }
  }

  private void applyLeaving(TrackedServer server) {
    Long leavingInstance = leavingInstances.get(server.entry().id());
    if (leavingInstance != null && leavingInstance == server.entry().startedMillis()) {
      server.markLeaving();
    }
  }

  private void applyBackoff(TrackedServer server) {
    Backoff backoff = backoffs.get(server.entry().id());
    if (backoff != null && backoff.instanceStartMillis() == server.entry().startedMillis()) {
      server.recordClosedUntil(backoff.untilMillis());
    }
  }

  private void removeServer(String id, String source) {
    servers.remove(id);
    unusableRates.remove(id);
    closePool(id);
    log.add(LogLine.of("server_gone").with("server", id).with("source", source));
  }

  private void closePool(String id) {
    BackendPool pool = pools.remove(id);
    if (pool != null) {
      pool.close();
    }
  }

  private ColdStart coldStart(String service) {
    return configuration()
        .flatMap(known -> known.service(service))
        .map(RoutedService::coldStart)
        .orElse(ColdStart.NONE);
  }

  private long cacheTokens(String service) {
    return configuration()
        .flatMap(known -> known.service(service))
        .map(RoutedService::cacheCapacityTokens)
        .orElse(0L);
  }

  private PublishedState publishedState(PublishedTopic topic) {
    return Objects.requireNonNull(publishedStates.get(topic));
  }

  private PlatformContact contact(PublishedTopic topic) {
    return Objects.requireNonNull(contacts.get(topic));
  }
}
