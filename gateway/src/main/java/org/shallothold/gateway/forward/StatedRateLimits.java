package org.shallothold.gateway.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.rate.Coordinators;
import org.shallothold.core.rate.HeldRequestAdmission;
import org.shallothold.core.rate.KnownGateways;
import org.shallothold.core.rate.PermitHolder;
import org.shallothold.core.rate.PermitIssuer;
import org.shallothold.core.rate.PermitTerms;
import org.shallothold.core.rate.RampUp;
import org.shallothold.core.rate.RateObservation;
import org.shallothold.core.rate.StatedRates;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.proto.ColdState;
import org.shallothold.wire.proto.RampUpState;
import org.shallothold.wire.proto.SendPermitAnswer;
import org.shallothold.wire.proto.SendPermitRequest;
import org.shallothold.wire.proto.StatedRate;

/**
 * Keeps what all gateways together send to a server within the rate that the server states, and the
 * one that it tolerates while it is cold. Each such server has a coordinator among the gateways,
 * which issues a permit for each request; a gateway sends a request only with a permit. Servers
 * without such a rate cause no work. Owned by the event loop.
 */
final class StatedRateLimits {

  // Gateways learn of a change of the live gateways within this time, also over several hops. Until
  // then the former coordinator of a server may still issue permits.
  private static final long SETTLE_MILLIS = 3_000;

  private final StatedRates rates;
  private final ColdStarts coldStarts;
  private final RampUps rampUps;
  private final Function<String, @Nullable TrackedServer> listedServers;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private final PermitIssuer issuer = PermitIssuer.create();
  private final KnownGateways knownGateways = KnownGateways.create();
  private final PermitHolder holder = PermitHolder.create();
  private final Map<String, Optional<String>> coordinatorsByServer = new HashMap<>();
  private final Map<String, Usage> usageByServer = new HashMap<>();
  private AnswerListener answerListener = (serverId, requestNumber) -> {};
  private Gateways gateways = Gateways.single();

  /** Called when the coordinator of a server has answered. */
  interface AnswerListener {

    /**
     * Called after the answer for a request was recorded.
     *
     * @param requestNumber number that this gateway gave the request
     */
    void answered(String serverId, long requestNumber);
  }

  /** Whether a request may be sent to a server. */
  enum Admission {
    /** It may be sent now. */
    ADMITTED,
    /** The coordinator was asked and will answer soon. */
    AWAITS_ANSWER,
    /** There is no permit for it. */
    DENIED
  }

  /** Counts of one server since they were last logged. */
  private static final class Usage {
    private int sends;
    private int held;
    private int issued;
  }

  StatedRateLimits(RoutingState state, StructuredLog log, ForwardMetrics metrics) {
    this.rates = state.statedRates();
    this.coldStarts = state.coldStarts();
    this.rampUps = state.rampUps();
    this.listedServers = state::server;
    this.log = log;
    this.metrics = metrics;
  }

  void setAnswerListener(AnswerListener listener) {
    answerListener = listener;
  }

  /** Sets the other gateways, before the first request arrives. */
  void setGateways(Gateways connected) {
    gateways = connected;
    gatewaysChanged();
  }

  /** Determines the coordinators again after the live gateways changed. */
  void gatewaysChanged() {
    coordinatorsByServer.clear();
    knownGateways.changed(gateways.live(), gateways.leaving(), MonotonicClock.millis());
    issuer.gatewaysChanged(this::isCoordinator, MonotonicClock.millis() + SETTLE_MILLIS);
  }

  /** Drops the permits for a server that became cold, which were issued at a higher rate. */
  void becameCold(String serverId) {
    holder.drop(serverId);
  }

  /** Returns whether the server needs no permit or there is one for it. */
  boolean admits(TrackedServer server) {
    ServerEntry entry = server.entry();
    return !isLimited(entry)
        || holder.hasPermit(entry.id(), entry.startedMillis(), MonotonicClock.millis());
  }

  private boolean isLimited(ServerEntry server) {
    long nowMillis = MonotonicClock.millis();
    return requestsPerSecond(server.id(), server.startedMillis(), nowMillis)
            < RateObservation.NO_LIMIT
        || rampUps.active(server.id(), nowMillis) != null;
  }

  private double requestsPerSecond(String serverId, long instanceStartMillis, long nowMillis) {
    return Math.min(
        rates.requestsPerSecond(serverId, instanceStartMillis),
        coldStarts.requestsPerSecond(serverId, nowMillis));
  }

  /**
   * Returns the rate at which all gateways together may send to a server now, in requests per
   * second; {@link RateObservation#NO_LIMIT} if there is no limit.
   */
  double requestsPerSecond(TrackedServer server) {
    ServerEntry entry = server.entry();
    return requestsPerSecond(entry.id(), entry.startedMillis(), MonotonicClock.millis());
  }

  /**
   * Returns the time until the limit of a server ends, in milliseconds; {@link
   * HeldRequestAdmission#UNKNOWN_END} if it isn't known.
   */
  long limitEndsInMillis(TrackedServer server) {
    ServerEntry entry = server.entry();
    boolean statesRate =
        rates.requestsPerSecond(entry.id(), entry.startedMillis()) < RateObservation.NO_LIMIT;
    return statesRate
        ? HeldRequestAdmission.UNKNOWN_END
        : coldStarts.remainingMillis(entry.id(), MonotonicClock.millis());
  }

  private PermitTerms terms(String serverId, long nowMillis) {
    double coldRequestsPerSecond = coldStarts.requestsPerSecond(serverId, nowMillis);
    boolean starting =
        coldRequestsPerSecond < RateObservation.NO_LIMIT
            || rampUps.active(serverId, nowMillis) != null;
    return starting
        ? PermitTerms.forStartingServer(coldRequestsPerSecond, gateways.live().size())
        : PermitTerms.forStatedRate();
  }

  /**
   * Returns whether a request may be sent to a server. Asks the server's coordinator if it was not
   * asked lately for this request.
   *
   * @param requestNumber number that this gateway gave the request
   */
  Admission admit(TrackedServer server, long requestNumber) {
    ServerEntry entry = server.entry();
    if (!isLimited(entry)) {
      return Admission.ADMITTED;
    }
    long nowMillis = MonotonicClock.millis();
    return switch (holder.state(entry.id(), entry.startedMillis(), requestNumber, nowMillis)) {
      case ADMITTED -> Admission.ADMITTED;
      case AWAITS_ANSWER -> Admission.AWAITS_ANSWER;
      case DENIED -> Admission.DENIED;
      case SHOULD_ASK -> ask(entry, requestNumber, nowMillis);
    };
  }

  private Admission ask(ServerEntry server, long requestNumber, long nowMillis) {
    holder.recordQuestion(server.id(), server.startedMillis(), requestNumber, nowMillis);
    Optional<String> coordinator = coordinator(server.id());
    if (coordinator.isEmpty()) {
      return Admission.DENIED;
    }
    if (coordinator.get().equals(gateways.ownAddress())) {
      boolean granted = tryIssue(server.id(), server.startedMillis(), nowMillis);
      holder.recordAnswer(
          server.id(),
          server.startedMillis(),
          requestNumber,
          granted,
          nowMillis,
          terms(server.id(), nowMillis),
          nowMillis);
      return granted ? Admission.ADMITTED : Admission.DENIED;
    }
    boolean sent = gateways.send(coordinator.get(), question(server, requestNumber, nowMillis));
    return sent ? Admission.AWAITS_ANSWER : Admission.DENIED;
  }

  private SendPermitRequest question(ServerEntry server, long requestNumber, long nowMillis) {
    SendPermitRequest.Builder question =
        SendPermitRequest.newBuilder()
            .setServerId(server.id())
            .setRequestNumber(requestNumber)
            .setAskedMillis(nowMillis);
    RateObservation observation = rates.latest(server.id(), server.startedMillis());
    if (observation != null) {
      question.setStatedRate(toProto(observation, nowMillis));
    }
    ColdState cold = coldStarts.toCoordinator(server.id(), nowMillis);
    if (cold != null) {
      // The coordinator may know another instance than the sender lists.
      question.setCold(cold.toBuilder().setInstanceStart(server.startedMillis()));
    }
    RampUpState rampUp = rampUps.toProto(server.id(), nowMillis);
    if (rampUp != null) {
      question.setRampUp(rampUp);
    }
    return question.build();
  }

  /** Adds to a log line what limits the requests to a server, and returns the line. */
  LogLine describe(LogLine line, ServerEntry server) {
    double statedRate = rates.requestsPerSecond(server.id(), server.startedMillis());
    line.with("stated_rate", RateObservation.toText(statedRate));
    long nowMillis = MonotonicClock.millis();
    RampUp rampUp = rampUps.active(server.id(), nowMillis);
    if (rampUp != null) {
      line.with("ramp_up_window", rampUp.window())
          .with("ramp_up_age_millis", rampUp.ageMillis(nowMillis));
    }
    long coldMillis = coldStarts.remainingMillis(server.id(), nowMillis);
    if (coldMillis > 0) {
      line.with("cold_millis", coldMillis)
          .with(
              "cold_rate",
              RateObservation.toText(coldStarts.requestsPerSecond(server.id(), nowMillis)));
    }
    return line;
  }

  /** Records that a request was held: it was sent elsewhere, waits or is refused. */
  void recordHeld(TrackedServer server) {
    ServerEntry entry = server.entry();
    usage(entry.id()).held++;
    if (rates.requestsPerSecond(entry.id(), entry.startedMillis()) < RateObservation.NO_LIMIT) {
      metrics.requestsHeldForRate.labelValues(entry.service()).inc();
    }
    coldStarts.recordHeld(entry.id());
    if (rampUps.active(entry.id(), MonotonicClock.millis()) != null) {
      metrics.requestsHeldForRampUp.labelValues(entry.service()).inc();
    }
  }

  /** Uses up a permit for a request that is being sent. */
  void recordSend(TrackedServer server) {
    ServerEntry entry = server.entry();
    if (!isLimited(entry)) {
      return;
    }
    usage(entry.id()).sends++;
    if (rates.requestsPerSecond(entry.id(), entry.startedMillis()) < RateObservation.NO_LIMIT) {
      metrics.rateLimitedSends.labelValues(entry.service()).inc();
    }
    coldStarts.recordSend(entry.id());
    if (!holder.tryUse(entry.id(), entry.startedMillis(), MonotonicClock.millis())) {
      log.add(LogLine.of("sent_without_permit").with("server", entry.id()));
    }
  }

  /**
   * Returns the answer to another gateway that asks for a permit. What it stated of the server was
   * recorded before. It gets none unless this gateway is the coordinator: the gateways know of
   * different gateways then, and learn of the difference.
   */
  SendPermitAnswer answer(SendPermitRequest request) {
    long instance = instanceStartMillis(request);
    boolean coordinates = isCoordinator(request.getServerId());
    if (!coordinates) {
      metrics.misdirectedPermitRequests.inc();
    }
    boolean granted =
        coordinates && tryIssue(request.getServerId(), instance, MonotonicClock.millis());
    return SendPermitAnswer.newBuilder()
        .setServerId(request.getServerId())
        .setInstanceStart(instance)
        .setRequestNumber(request.getRequestNumber())
        .setAskedMillis(request.getAskedMillis())
        .setGranted(granted)
        .build();
  }

  private static long instanceStartMillis(SendPermitRequest request) {
    if (request.hasStatedRate()) {
      return request.getStatedRate().getInstanceStart();
    }
    return request.hasCold()
        ? request.getCold().getInstanceStart()
        : request.getRampUp().getInstanceStart();
  }

  /** Records a coordinator's answer. */
  void answerReceived(SendPermitAnswer answer) {
    long nowMillis = MonotonicClock.millis();
    holder.recordAnswer(
        answer.getServerId(),
        answer.getInstanceStart(),
        answer.getRequestNumber(),
        answer.getGranted(),
        answer.getAskedMillis(),
        terms(answer.getServerId(), nowMillis),
        nowMillis);
    answerListener.answered(answer.getServerId(), answer.getRequestNumber());
  }

  /**
   * Issues a permit. Gateways that this one does not reach may have a coordinator of their own,
   * which issues the rest of the rate.
   */
  private boolean tryIssue(String serverId, long instanceStartMillis, long nowMillis) {
    if (coldStarts.isHeldBack(serverId, nowMillis)) {
      return false;
    }
    RampUp rampUp = rampUps.active(serverId, nowMillis);
    if (rampUp != null
        && !rampUp.hasRoom(
            openRequests(serverId, nowMillis), gateways.reachableFraction(), nowMillis)) {
      return false;
    }
    double requestsPerSecond = requestsPerSecond(serverId, instanceStartMillis, nowMillis);
    double share = gateways.reachableFraction();
    boolean cold = coldStarts.requestsPerSecond(serverId, nowMillis) < RateObservation.NO_LIMIT;
    boolean issued =
        cold
            ? issuer.tryIssueWithin(
                serverId,
                instanceStartMillis,
                requestsPerSecond * Math.min(share, knownGateways.liveFraction(nowMillis)),
                nowMillis)
            : issuer.tryIssue(serverId, instanceStartMillis, requestsPerSecond * share, nowMillis);
    if (issued) {
      usage(serverId).issued++;
      coldStarts.recordIssued(serverId);
      if (rampUp != null) {
        rampUp.recordIssued(nowMillis);
      }
    }
    return issued;
  }

  private int openRequests(String serverId, long nowMillis) {
    TrackedServer server = listedServers.apply(serverId);
    return server == null ? 0 : server.openRequests(nowMillis);
  }

  private boolean isCoordinator(String serverId) {
    return coordinator(serverId).filter(gateways.ownAddress()::equals).isPresent();
  }

  private Optional<String> coordinator(String serverId) {
    return coordinatorsByServer.computeIfAbsent(
        serverId, id -> Coordinators.coordinator(id, gateways.live()));
  }

  /**
   * Logs, for each of the listed servers that has a limit, what was sent, held and issued since the
   * last call, and drops the permits for all others.
   */
  void logUsage(Collection<TrackedServer> servers) {
    long nowMillis = MonotonicClock.millis();
    Set<String> limitedServers = new HashSet<>();
    for (TrackedServer server : servers) {
      ServerEntry entry = server.entry();
      if (isLimited(entry)) {
        limitedServers.add(entry.id());
      }
      RateObservation observation = rates.latest(entry.id(), entry.startedMillis());
      if (observation == null || !observation.isLimited()) {
        continue;
      }
      Usage usage = usage(entry.id());
      log.add(
          LogLine.of("server_rate_use")
              .with("server", entry.id())
              .with("requests_per_second", RateObservation.toText(observation.requestsPerSecond()))
              .with("observed_age_millis", nowMillis - observation.observedMillis())
              .with("coordinator", coordinator(entry.id()).orElse("none"))
              .with("coordinates", isCoordinator(entry.id()))
              .with("reachable_percent", Math.round(gateways.reachableFraction() * 100))
              .with("sends", usage.sends)
              .with("held", usage.held)
              .with("issued", usage.issued));
    }
    usageByServer.clear();
    coordinatorsByServer.clear();
    holder.retain(limitedServers::contains);
    issuer.retain(limitedServers::contains);
  }

  /** Returns the number of permits that this gateway holds. */
  int permits() {
    return holder.permits(MonotonicClock.millis());
  }

  private Usage usage(String serverId) {
    return usageByServer.computeIfAbsent(serverId, id -> new Usage());
  }

  /** Returns the message for an observation. */
  static StatedRate toProto(RateObservation observation, long nowMillis) {
    StatedRate.Builder rate =
        StatedRate.newBuilder()
            .setInstanceStart(observation.instanceStartMillis())
            .setAgeMillis(Math.max(0, nowMillis - observation.observedMillis()));
    if (observation.isLimited()) {
      rate.setRequestsPerSecond(observation.requestsPerSecond());
    }
    return rate.build();
  }

  /** Returns the observation of a message from a peer. */
  static RateObservation fromProto(StatedRate rate, long nowMillis) {
    return new RateObservation(
        rate.getInstanceStart(),
        rate.hasRequestsPerSecond() ? rate.getRequestsPerSecond() : RateObservation.NO_LIMIT,
        nowMillis - Math.max(0, rate.getAgeMillis()));
  }
}
