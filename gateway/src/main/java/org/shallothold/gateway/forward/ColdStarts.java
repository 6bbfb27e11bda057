package org.shallothold.gateway.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.function.BooleanSupplier;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.rate.ColdFigure;
import org.shallothold.core.rate.ColdReport;
import org.shallothold.core.rate.ColdServers;
import org.shallothold.core.rate.ColdSource;
import org.shallothold.core.rate.RateObservation;
import org.shallothold.core.route.ColdStart;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.proto.ColdState;
import org.shallothold.wire.proto.ColdTime;

/**
 * The backend servers that are cold, with the rate that they tolerate by the configuration. Without
 * cold servers it causes no work. Owned by the event loop.
 */
final class ColdStarts {

  // The rest of the tolerated rate covers permits that are used later than they were issued.
  private static final double USABLE_FRACTION = 0.95;
  // The requests that gateways sent before they learned that a running server is cold count too.
  private static final long HOLD_MILLIS = 500;
  // While its end moves on, a server's cold time is logged once in this time.
  private static final long LOG_INTERVAL_MILLIS = 1_000;
  // Several times the number of servers of a large fleet.
  private static final int MAX_KNOWN_SERVERS = 20_000;

  private final ColdServers servers = ColdServers.create();
  private final Function<String, ColdStart> coldStartByService;
  private final Function<String, @Nullable TrackedServer> listedServers;
  private final RampUps rampUps;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private final Map<String, Phase> phases = new HashMap<>();
  // By server id, also of servers that aren't listed: a server that is listed again did not start.
  private final Map<String, Long> knownInstances = boundedMap();
  private final Map<String, EvacuationEnd> evacuationEnds = new HashMap<>();
  // By server id, the last odd figure that was logged, so that each is logged once.
  private final Map<String, String> loggedFigures = boundedMap();
  private BooleanSupplier traffic = () -> true;
  private Consumer<String> beginListener = serverId -> {};
  private Consumer<String> changeListener = serverId -> {};

  /** Counts of one server during its cold time, and when it was logged. */
  private static final class Phase {
    private long loggedMillis;
    private int sends;
    private int held;
    private int issued;
  }

  private record EvacuationEnd(PublishedPosition position, long millis) {}

  /**
   * Creates an instance without cold servers.
   *
   * @param coldStartByService returns what the servers of a service tolerate after their start
   * @param listedServers returns a server by its id, or null if it isn't listed
   * @param rampUps is told of servers that start or become cold
   */
  ColdStarts(
      Function<String, ColdStart> coldStartByService,
      Function<String, @Nullable TrackedServer> listedServers,
      RampUps rampUps,
      StructuredLog log,
      ForwardMetrics metrics) {
    this.coldStartByService = coldStartByService;
    this.listedServers = listedServers;
    this.rampUps = rampUps;
    this.log = log;
    this.metrics = metrics;
  }

  /** Sets what tells whether there was traffic; servers that start before it aren't cold. */
  void setTrafficIndicator(BooleanSupplier indicator) {
    traffic = indicator;
  }

  /** Sets the listener that is called with a server's id when it becomes cold. */
  void setBeginListener(Consumer<String> listener) {
    beginListener = listener;
  }

  /** Sets the listener that is called with a server's id when its cold time begins or moves. */
  void setChangeListener(Consumer<String> listener) {
    changeListener = listener;
  }

  // Sources

  /**
   * Records that a server that was not listed before, or another instance of it, is listed.
   *
   * @param firstList whether it is in the first list that this gateway got
   */
  void listed(ServerEntry server, boolean firstList) {
    long nowMillis = MonotonicClock.millis();
    Long formerInstance = knownInstances.put(server.id(), server.startedMillis());
    boolean started =
        !firstList
            && (formerInstance == null || formerInstance != server.startedMillis())
            && traffic.getAsBoolean();
    long durationMillis = coldStart(server).durationMillis();
    if (started) {
      ColdServers.Change change =
          servers.recordStart(server.id(), server.startedMillis(), durationMillis, nowMillis);
      applied(server.id(), change, ColdSource.START.logName(), nowMillis);
      rampUps.began(server.id(), server.startedMillis(), RampUps.Reason.START);
    }
    EvacuationEnd evacuationEnd = evacuationEnds.get(server.failureDomain());
    if (evacuationEnd != null) {
      recordEvacuationEnd(server, evacuationEnd, nowMillis);
    }
  }

  /**
   * Records the figure of a server's entry if the entry wasn't read before.
   *
   * @param firstList whether it is in the first list that this gateway got
   * @param figure decodes the figure
   */
  void entryRead(
      ServerEntry server,
      PublishedPosition position,
      boolean firstList,
      Supplier<ColdFigure> figure) {
    if (!servers.isNewEntry(server.id(), position)) {
      return;
    }
    ColdFigure decoded = figure.get();
    long remainingMillis = remainingMillis(server.id(), decoded);
    if (decoded instanceof ColdFigure.Absent || decoded instanceof ColdFigure.Unusable) {
      servers.recordEntryWithoutFigure(server.id(), position);
      return;
    }
    long nowMillis = MonotonicClock.millis();
    ColdServers.Change change =
        servers.recordEntry(
            server.id(), server.startedMillis(), position, remainingMillis, nowMillis);
    applied(server.id(), change, ColdSource.ENTRY.logName(), nowMillis);
    if (change == ColdServers.Change.BEGUN && !firstList) {
      rampUps.began(server.id(), server.startedMillis(), RampUps.Reason.COLD);
    }
  }

  /** Records the figure of a server's response. */
  void responseRead(ServerEntry server, ColdFigure figure) {
    if (figure instanceof ColdFigure.Absent) {
      return;
    }
    long nowMillis = MonotonicClock.millis();
    ColdServers.Change change =
        servers.recordResponse(
            server.id(), server.startedMillis(), remainingMillis(server.id(), figure), nowMillis);
    applied(server.id(), change, ColdSource.RESPONSE.logName(), nowMillis);
    if (change == ColdServers.Change.BEGUN) {
      rampUps.began(server.id(), server.startedMillis(), RampUps.Reason.COLD);
    }
  }

  /** Returns the time of a usable figure, else 0; logs one that is not usable as it is. */
  private long remainingMillis(String serverId, ColdFigure figure) {
    return switch (figure) {
      case ColdFigure.Stated stated -> stated.millis();
      case ColdFigure.OutOfRange outOfRange -> {
        logOddFigure(serverId, outOfRange.text(), outOfRange.millis());
        yield outOfRange.millis();
      }
      case ColdFigure.Unusable unusable -> {
        logOddFigure(serverId, unusable.text(), 0);
        yield 0;
      }
      case ColdFigure.Absent absent -> 0;
    };
  }

  private void logOddFigure(String serverId, String text, long usedMillis) {
    if (!text.equals(loggedFigures.put(serverId, text))) {
      log.add(
          LogLine.of("server_cold_figure_odd")
              .with("server", serverId)
              .with("figure", text)
              .with("used_millis", usedMillis));
    }
  }

  /**
   * Records that the evacuation of a failure domain ended: its servers had no requests for a time.
   *
   * @param position position up to which the end is known
   * @param domainServers the listed servers of the domain
   */
  void evacuationEnded(
      String domain, PublishedPosition position, Collection<TrackedServer> domainServers) {
    long nowMillis = MonotonicClock.millis();
    EvacuationEnd end = new EvacuationEnd(position, nowMillis);
    evacuationEnds.put(domain, end);
    domainServers.forEach(server -> recordEvacuationEnd(server.entry(), end, nowMillis));
  }

  private void recordEvacuationEnd(ServerEntry server, EvacuationEnd end, long nowMillis) {
    ColdServers.Change change =
        servers.recordEvacuationEnd(
            server.id(),
            server.startedMillis(),
            end.position(),
            end.millis() + coldStart(server).durationMillis() - nowMillis,
            nowMillis);
    applied(server.id(), change, ColdSource.EVACUATION_END.logName(), nowMillis);
    if (change == ColdServers.Change.BEGUN) {
      rampUps.began(server.id(), server.startedMillis(), RampUps.Reason.COLD);
    }
  }

  /** Records what a peer reported. */
  void reported(String serverId, ColdState state, String peer) {
    long nowMillis = MonotonicClock.millis();
    applied(serverId, servers.recordReport(serverId, fromProto(state), nowMillis), peer, nowMillis);
  }

  private void applied(String serverId, ColdServers.Change change, String source, long nowMillis) {
    if (change == ColdServers.Change.NONE) {
      return;
    }
    if (change == ColdServers.Change.BEGUN) {
      phases.put(serverId, new Phase());
      metrics.coldPhases.labelValues(service(serverId)).inc();
      beginListener.accept(serverId);
    }
    Phase phase = phases.computeIfAbsent(serverId, id -> new Phase());
    ColdServers.ColdTime time = servers.coldTime(serverId, nowMillis);
    if (time != null && nowMillis - phase.loggedMillis >= LOG_INTERVAL_MILLIS) {
      phase.loggedMillis = nowMillis;
      log.add(
          LogLine.of("server_cold")
              .with("server", serverId)
              .with("instance", time.instanceStartMillis())
              .with("since_millis", nowMillis - time.sinceMillis())
              .with("remaining_millis", time.untilMillis() - nowMillis)
              .with(
                  "requests_per_second",
                  RateObservation.toText(toleratedRequestsPerSecond(serverId)))
              .with("source", source));
    }
    changeListener.accept(serverId);
  }

  // Limits

  /**
   * Returns the rate at which all gateways together may send to a server because it is cold, in
   * requests per second; {@link RateObservation#NO_LIMIT} if there is no such limit.
   */
  double requestsPerSecond(String serverId, long nowMillis) {
    if (servers.isEmpty() || !servers.isCold(serverId, nowMillis)) {
      return RateObservation.NO_LIMIT;
    }
    double tolerated = toleratedRequestsPerSecond(serverId);
    return tolerated > 0 ? USABLE_FRACTION * tolerated : RateObservation.NO_LIMIT;
  }

  /** Returns the rate that a server tolerates while it is cold; 0 if that isn't limited. */
  private double toleratedRequestsPerSecond(String serverId) {
    TrackedServer server = listedServers.apply(serverId);
    double configured = server == null ? 0 : coldStart(server.entry()).requestsPerSecond();
    return configured > 0 ? configured : servers.reportedRequestsPerSecond(serverId);
  }

  /** Returns the time for which a server is cold and limited, in milliseconds; 0 if it isn't. */
  long remainingMillis(String serverId, long nowMillis) {
    ColdServers.ColdTime time =
        requestsPerSecond(serverId, nowMillis) == RateObservation.NO_LIMIT
            ? null
            : servers.coldTime(serverId, nowMillis);
    return time == null ? 0 : time.untilMillis() - nowMillis;
  }

  /**
   * Returns whether no permits are issued yet for a server that became cold while it may have had
   * requests.
   */
  boolean isHeldBack(String serverId, long nowMillis) {
    ColdServers.ColdTime time = servers.isEmpty() ? null : servers.coldTime(serverId, nowMillis);
    return time != null
        && nowMillis - time.sinceMillis() < HOLD_MILLIS
        && time.firstSource() != ColdSource.START
        && time.firstSource() != ColdSource.EVACUATION_END;
  }

  private ColdStart coldStart(ServerEntry server) {
    return coldStartByService.apply(server.service());
  }

  private String service(String serverId) {
    TrackedServer server = listedServers.apply(serverId);
    return server == null ? "" : server.entry().service();
  }

  // Counts and views

  /** Records that a request is sent to a server. */
  void recordSend(String serverId) {
    Phase phase = phases.get(serverId);
    if (phase != null) {
      phase.sends++;
      metrics.coldSends.labelValues(service(serverId)).inc();
    }
  }

  /** Records that a request was sent elsewhere, waits or is refused because a server is cold. */
  void recordHeld(String serverId) {
    Phase phase = phases.get(serverId);
    if (phase != null) {
      phase.held++;
      metrics.requestsHeldForCold.labelValues(service(serverId)).inc();
    }
  }

  /** Records that this gateway issued a permit for a server. */
  void recordIssued(String serverId) {
    Phase phase = phases.get(serverId);
    if (phase != null) {
      phase.issued++;
    }
  }

  /** Logs the servers whose cold time ended. */
  void maintain() {
    long nowMillis = MonotonicClock.millis();
    evacuationEnds.values().removeIf(end -> nowMillis - end.millis() > ColdFigure.MAX_MILLIS);
    servers
        .removeEnded(nowMillis)
        .forEach(
            (serverId, time) -> {
              Phase phase = phases.remove(serverId);
              log.add(
                  LogLine.of("server_cold_ended")
                      .with("server", serverId)
                      .with("duration_millis", time.untilMillis() - time.sinceMillis())
                      .with("first_source", time.firstSource().logName())
                      .with("last_source", time.lastSource().logName())
                      .with(
                          "requests_per_second",
                          RateObservation.toText(toleratedRequestsPerSecond(serverId)))
                      .with("sends", phase == null ? 0 : phase.sends)
                      .with("held", phase == null ? 0 : phase.held)
                      .with("issued", phase == null ? 0 : phase.issued));
            });
  }

  // Messages

  /** Returns what to tell peers about a server; null if it isn't cold. */
  @Nullable ColdState toProto(String serverId, long nowMillis) {
    return servers.isEmpty()
        ? null
        : toProto(servers.report(serverId, toleratedRequestsPerSecond(serverId), nowMillis));
  }

  /** Returns what to tell a server's coordinator; null if the server isn't cold. */
  @Nullable ColdState toCoordinator(String serverId, long nowMillis) {
    return servers.isEmpty()
        ? null
        : toProto(
            servers.reportToCoordinator(serverId, toleratedRequestsPerSecond(serverId), nowMillis));
  }

  private static @Nullable ColdState toProto(@Nullable ColdReport report) {
    return report == null
        ? null
        : ColdState.newBuilder()
            .setInstanceStart(report.instanceStartMillis())
            .setRequestsPerSecond(report.requestsPerSecond())
            .addAllTimes(report.times().stream().map(ColdStarts::toProto).toList())
            .build();
  }

  private static ColdTime toProto(ColdReport.Time time) {
    return ColdTime.newBuilder()
        .setSource(
            switch (time.source()) {
              case ENTRY -> org.shallothold.wire.proto.ColdSource.COLD_SOURCE_ENTRY;
              case RESPONSE -> org.shallothold.wire.proto.ColdSource.COLD_SOURCE_RESPONSE;
              case START -> org.shallothold.wire.proto.ColdSource.COLD_SOURCE_START;
              case EVACUATION_END ->
                  org.shallothold.wire.proto.ColdSource.COLD_SOURCE_EVACUATION_END;
            })
        .setRemainingMillis(time.remainingMillis())
        .setDistance(time.distance())
        .setRevision(time.position().revision())
        .setEra(time.position().era())
        .build();
  }

  private static ColdReport fromProto(ColdState state) {
    return new ColdReport(
        state.getInstanceStart(),
        state.getRequestsPerSecond(),
        state.getTimesList().stream().map(ColdStarts::fromProto).toList());
  }

  private static ColdReport.Time fromProto(ColdTime time) {
    ColdSource source =
        switch (time.getSource()) {
          case COLD_SOURCE_ENTRY -> ColdSource.ENTRY;
          case COLD_SOURCE_START -> ColdSource.START;
          case COLD_SOURCE_EVACUATION_END -> ColdSource.EVACUATION_END;
          // Another source of a newer gateway counts like the server's own statement.
          case COLD_SOURCE_RESPONSE, COLD_SOURCE_UNSPECIFIED, UNRECOGNIZED -> ColdSource.RESPONSE;
        };
    return new ColdReport.Time(
        source,
        time.getRemainingMillis(),
        time.getDistance(),
        PublishedPosition.of(time.getEra(), time.getRevision()));
  }

  private static <V> Map<String, V> boundedMap() {
    return new LinkedHashMap<>() {
      @Override
      protected boolean removeEldestEntry(Map.Entry<String, V> eldest) {
        return size() > MAX_KNOWN_SERVERS;
      }
    };
  }
}
