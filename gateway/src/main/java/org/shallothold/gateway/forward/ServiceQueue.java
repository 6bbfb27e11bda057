package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.shallothold.core.crash.TrialAdmission;
import org.shallothold.core.placement.AdmissionDecision;
import org.shallothold.core.placement.DispatchQueue;
import org.shallothold.core.placement.EngineAdmission;
import org.shallothold.core.placement.EngineEstimate;
import org.shallothold.core.placement.EngineEstimator;
import org.shallothold.core.placement.EnginePlacementPolicy;
import org.shallothold.core.placement.EngineTimings;
import org.shallothold.core.placement.FleetDemand;
import org.shallothold.core.placement.Placement;
import org.shallothold.core.placement.PlacementPolicy;
import org.shallothold.core.placement.PlainAdmission;
import org.shallothold.core.placement.PlainPlacementPolicy;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.rate.HeldRequestAdmission;
import org.shallothold.core.route.Rank;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.runtime.logging.LogLine;

/**
 * Chooses a server for each request for one service and sends it there. Requests for model engines
 * may wait in the queue until an engine has room, and those for plain services until a server has a
 * free slot or may get more requests by its stated rate. Owned by the event loop.
 */
final class ServiceQueue {

  private static final long DISPATCH_INTERVAL_MILLIS = 20;
  // Longer than the prefill of any prompt. A logged longest pause of this length means that no
  // bound is known.
  private static final double MAX_PREFILL_MILLIS = 60_000;
  // Requests further back in the queue are left for a later round, so that each round stays short.
  // Those that wait for the trial of a prompt part don't count.
  private static final int MAX_REQUESTS_PER_DISPATCH = 48;

  // Refused callers come back within the last quarter of their retry time.
  private static final double MIN_RETRY_FRACTION = 0.75;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final String service;
  private final PlacementPolicy policy;
  private final RoutingState state;
  private final EventLoop eventLoop;
  private final IntSupplier gatewayCount;
  private final StatedRateLimits rateLimits;
  private final PromptPartQuarantine promptParts;
  private final DispatchQueue<ForwardedRequest> waitingRequests = DispatchQueue.empty();
  private final PlainAdmission plainAdmission = PlainAdmission.create();
  private final FleetDemand fleetDemand = FleetDemand.none();
  private boolean dispatchScheduled;
  private boolean speedsApplied;

  ServiceQueue(
      String service,
      PlacementPolicy policy,
      RoutingState state,
      EventLoop eventLoop,
      IntSupplier gatewayCount,
      StatedRateLimits rateLimits,
      PromptPartQuarantine promptParts) {
    this.service = service;
    this.policy = policy;
    this.state = state;
    this.eventLoop = eventLoop;
    this.gatewayCount = gatewayCount;
    this.rateLimits = rateLimits;
    this.promptParts = promptParts;
  }

  /** Updates the demand statistics for model engines with a caller's new request. */
  void requestArrived(ForwardedRequest request) {
    if (policy instanceof EnginePlacementPolicy engines) {
      state
          .configuration()
          .flatMap(known -> known.service(service))
          .ifPresent(known -> engines.estimator().configure(known));
      state
          .configuration()
          .ifPresent(known -> engines.setProtectsStreams(known.hasStreamsThatRunOnce(service)));
      engines.requestArrived(request.profile(), MonotonicClock.millis());
      fleetDemand.recordArrival(
          request.profile().rank(), prefillMillis(request), MonotonicClock.millis());
    }
  }

  /**
   * Returns the duration of a decode step by which running streams are protected, in milliseconds;
   * 0 if they aren't.
   */
  double protectedStepMillis() {
    return policy instanceof EnginePlacementPolicy engines ? engines.protectedStepMillis() : 0;
  }

  /** Adapts the pace of prefills to the running streams; does nothing for plain services. */
  void updatePaces() {
    if (policy instanceof EnginePlacementPolicy engines) {
      engines.updatePaces(state.servers(service), MonotonicClock.millis());
    }
  }

  /** Returns the estimator of the engines' speed; empty for plain services. */
  Optional<EngineEstimator> estimator() {
    return policy instanceof EnginePlacementPolicy engines
        ? Optional.of(engines.estimator())
        : Optional.empty();
  }

  /** Returns a log line with the estimated speed of the engines; empty for plain services. */
  Optional<LogLine> engineSpeedLine() {
    return switch (policy) {
      case PlainPlacementPolicy plain -> Optional.empty();
      case EnginePlacementPolicy engines -> {
        EngineTimings figures = engines.estimator().timings();
        EngineEstimate own = engines.estimator().ownEstimate();
        yield Optional.of(
            LogLine.of("engine_speed")
                .with("service", service)
                .with("token_micros", Math.round(figures.millisPerPrefillToken() * 1_000))
                .with("million_pairs_micros", Math.round(figures.millisPerMillionPairs() * 1_000))
                .with("step_micros", Math.round(figures.decodeStepMillis() * 1_000))
                .with("longest_pause_millis", Math.round(figures.pauseMillis(MAX_PREFILL_MILLIS)))
                .with("read_samples", own.prefillSamples())
                .with("pause_samples", own.prefillPauseSamples())
                .with("pause_targets_at_risk", engines.pauseTargetsAtRisk().toString())
                .with("engines_kept", engines.reservedEngines())
                .with("waiting", waitingRequests.size()));
      }
    };
  }

  /**
   * Returns a log line if the engines' measured speeds began to count or no longer count since the
   * last call.
   */
  Optional<LogLine> speedChangeLine() {
    if (!(policy instanceof EnginePlacementPolicy engines)
        || engines.speeds().isApplied() == speedsApplied) {
      return Optional.empty();
    }
    speedsApplied = engines.speeds().isApplied();
    return Optional.of(
        LogLine.of("server_speeds_applied")
            .with("service", service)
            .with("applied", speedsApplied)
            .with("spread_percent", Math.round(engines.speeds().spread() * 100))
            .with("measured_servers", engines.speeds().measuredServers()));
  }

  /**
   * Returns the load from pause-sensitive streams at this gateway, as the number of engines that it
   * keeps busy; 0 for plain services.
   */
  double pauseSensitiveLoad() {
    return policy instanceof EnginePlacementPolicy engines
        ? engines.pauseSensitiveLoad(MonotonicClock.millis())
        : 0;
  }

  /**
   * Returns the load from prompts whose prefill breaks short pause targets, as the number of
   * engines that it keeps busy; 0 for plain services.
   */
  double heavyLoad() {
    return policy instanceof EnginePlacementPolicy engines
        ? engines.longPromptLoad(MonotonicClock.millis())
        : 0;
  }

  /** Sets the sums of the peers' {@link #pauseSensitiveLoad} and {@link #heavyLoad}. */
  void setPeerLoads(double pauseSensitiveLoad, double heavyLoad) {
    if (policy instanceof EnginePlacementPolicy engines) {
      engines.setPeersPauseSensitiveLoad(pauseSensitiveLoad);
      engines.setPeersLongPromptLoad(heavyLoad);
    }
  }

  /** Sends a request to a server, queues it or refuses it. */
  void submit(ForwardedRequest request) {
    waitingRequests.add(request);
    dispatch();
  }

  /** Removes a request that has ended; does nothing if it isn't queued. */
  void remove(ForwardedRequest request) {
    waitingRequests.remove(request);
  }

  /** Returns the number of queued requests. */
  int waitingCount() {
    return waitingRequests.size();
  }

  /** Decides again for each queued request whether it is sent, goes on waiting or is refused. */
  void dispatch() {
    if (!waitingRequests.isEmpty()) {
      dispatch(waitingRequests.inDispatchOrder(MonotonicClock.millis()), true);
    }
  }

  /**
   * Sends a queued request if there is a server for it now, after the coordinator of a server
   * answered. Does nothing if it isn't queued.
   */
  void dispatch(long requestNumber) {
    waitingRequests.stream()
        .filter(request -> request.number() == requestNumber)
        .findFirst()
        .ifPresent(request -> dispatch(List.of(request), false));
  }

  /**
   * Decides for each of the requests.
   *
   * @param wholeQueue whether they are the head of the queue, so that requests without a server can
   *     be told to wait or refused by their number
   */
  private void dispatch(List<ForwardedRequest> candidates, boolean wholeQueue) {
    long nowMillis = MonotonicClock.millis();
    double ownAheadMillis = 0;
    int heldRequests = 0;
    int requestsAhead = 0;
    int decidedRequests = 0;
    for (ForwardedRequest request : candidates) {
      if (decidedRequests == MAX_REQUESTS_PER_DISPATCH) {
        requestsAhead++;
        refuseAfterLongestWait(request, ownAheadMillis, requestsAhead, nowMillis);
        continue;
      }
      if (!waitingRequests.contains(request)) {
        // Sent or ended by a nested call, when the request before it failed at once.
        continue;
      }
      TrialAdmission admission = promptParts.admit(request.number(), request.sharedPartIds());
      if (admission instanceof TrialAdmission.Refused refused) {
        waitingRequests.remove(request);
        request.refuseBlockedPart(refused);
        continue;
      }
      boolean onTrial = admission instanceof TrialAdmission.OnTrial;
      if (!onTrial && !(admission instanceof TrialAdmission.Admitted)) {
        continue;
      }
      decidedRequests++;
      Choice choice = choose(request, onTrial, nowMillis);
      if (choice instanceof Choice.None && wholeQueue) {
        heldRequests += keepWaitingOrEnd(request, heldRequests, nowMillis) ? 1 : 0;
      }
      if (!(choice instanceof Choice.Server chosen)) {
        continue;
      }
      Placement placement = chosen.placement();
      AdmissionDecision decision =
          onTrial
              ? new AdmissionDecision.Send()
              : decide(request, placement, ownAheadMillis, requestsAhead, nowMillis);
      switch (decision) {
        case AdmissionDecision.Send send -> {
          waitingRequests.remove(request);
          request.sendTo(service, placement);
        }
        case AdmissionDecision.Wait wait -> {
          requestsAhead++;
          ownAheadMillis += placement.prefillMillis();
        }
        case AdmissionDecision.Refuse refuse -> {
          waitingRequests.remove(request);
          request.refuseOverloaded(spreadRetryMillis(refuse), refuse.cause());
        }
      }
    }
    scheduleDispatch();
  }

  /** Refuses a request at the back of the queue if it has waited for as long as it may. */
  private void refuseAfterLongestWait(
      ForwardedRequest request, double ownAheadMillis, int requestsAhead, long nowMillis) {
    if (!waitingRequests.contains(request)) {
      return;
    }
    Optional<? extends AdmissionDecision> decision =
        switch (policy) {
          case PlainPlacementPolicy plain ->
              request.applicant(nowMillis).previouslyStarted()
                  ? Optional.empty()
                  : Optional.of(waitForSlot(request, requestsAhead));
          case EnginePlacementPolicy engines ->
              EngineAdmission.afterLongestWait(
                  request.applicant(nowMillis),
                  queuedAheadMillis(request, ownAheadMillis, nowMillis));
        };
    if (decision.isPresent() && decision.get() instanceof AdmissionDecision.Refuse refuse) {
      waitingRequests.remove(request);
      request.refuseOverloaded(spreadRetryMillis(refuse), refuse.cause());
    }
  }

  /**
   * Returns the prefill time of the requests ahead of one in all gateways, divided by the number of
   * engines, in milliseconds.
   *
   * @param ownAheadMillis prefill time of the requests ahead of it in this gateway
   */
  private double queuedAheadMillis(
      ForwardedRequest request, double ownAheadMillis, long nowMillis) {
    double engines = medianEngines();
    int gateways = gatewayCount.getAsInt();
    return protectedStepMillis() > 0
        ? fleetDemand.queuedAheadMillis(
            request.profile().rank(), ownAheadMillis, engines, gateways, nowMillis)
        // Peers are assumed to queue about as much as this gateway.
        : ownAheadMillis * gateways / engines;
  }

  /** Returns how many servers of median speed do as much work as the listed ones. */
  private double medianEngines() {
    return Math.max(
        1, state.servers(service).stream().mapToDouble(server -> 1 / server.speed().ratio()).sum());
  }

  /**
   * Returns the retry time of a refusal. Callers that were refused together don't come back
   * together if streams are protected.
   */
  private long spreadRetryMillis(AdmissionDecision.Refuse refuse) {
    double fraction =
        protectedStepMillis() > 0
            ? ThreadLocalRandom.current().nextDouble(MIN_RETRY_FRACTION, 1)
            : 1;
    return Math.max(1, (long) (refuse.retryAfterMillis() * fraction));
  }

  private double prefillMillis(ForwardedRequest request) {
    return policy instanceof EnginePlacementPolicy engines
        ? engines
            .estimator()
            .timings()
            .prefillMillis(request.profile().promptTokens(), request.profile().sharedTokens())
        : 0;
  }

  /** Returns the demand of the fleet for the engines; nothing is recorded for plain services. */
  FleetDemand fleetDemand() {
    return fleetDemand;
  }

  /** Returns the demand at this gateway, as sent to peers; empty unless streams are protected. */
  List<FleetDemand.RankDemand> ownDemand() {
    if (protectedStepMillis() == 0) {
      return List.of();
    }
    Map<Rank, Double> waitingMillis =
        waitingRequests.stream()
            .collect(
                Collectors.toMap(
                    request -> request.profile().rank(), this::prefillMillis, Double::sum));
    return fleetDemand.ownDemand(waitingMillis, MonotonicClock.millis());
  }

  /** Returns the most urgent rank whose demand the engines can't meet; empty if there is none. */
  Optional<Rank> firstRankAboveCapacity() {
    return protectedStepMillis() == 0
        ? Optional.empty()
        : fleetDemand.firstRankAboveCapacity(
            usableEngines(), gatewayCount.getAsInt(), MonotonicClock.millis());
  }

  /** Returns the number of engines that would be busy with all prompts of the last second. */
  double demandedEngines() {
    return fleetDemand.totalArrivedMillis(gatewayCount.getAsInt(), MonotonicClock.millis())
        / MILLIS_PER_SECOND;
  }

  /** Returns the number of engines that take new work, each by its share of time for prefills. */
  double usableEngines() {
    return state.servers(service).stream()
        .filter(TrackedServer::acceptsNewWork)
        .mapToDouble(TrackedServer::prefillShare)
        .sum();
  }

  private AdmissionDecision decidePlain(
      ForwardedRequest request, TrackedServer server, int requestsAhead, long nowMillis) {
    if (plainAdmission.hasRoom(server, gatewayCount.getAsInt(), nowMillis)) {
      plainAdmission.recordSent(state.servers(service), nowMillis);
      return new AdmissionDecision.Send();
    }
    return request.applicant(nowMillis).previouslyStarted()
        ? new AdmissionDecision.Send()
        : waitForSlot(request, requestsAhead);
  }

  private AdmissionDecision waitForSlot(ForwardedRequest request, int requestsAhead) {
    request.recordWaitForSlot(service);
    return plainAdmission.decide(request.remainingMillis(), requestsAhead, state.servers(service));
  }

  /**
   * Records an answer of a plain service and sends the next request in its place; does nothing for
   * model engines.
   *
   * @param elapsedMillis time since the request was sent
   */
  void answered(long elapsedMillis) {
    if (policy instanceof PlainPlacementPolicy) {
      plainAdmission.recordAnswer((double) elapsedMillis, MonotonicClock.millis());
      if (!waitingRequests.isEmpty()) {
        eventLoop.execute(this::dispatch);
      }
    }
  }

  /** Matches servers of a plain service without a free slot. */
  private Predicate<TrackedServer> withoutRoom(long nowMillis) {
    int gateways = gatewayCount.getAsInt();
    return policy instanceof PlainPlacementPolicy
        ? server -> !plainAdmission.hasRoom(server, gateways, nowMillis)
        : server -> false;
  }

  private void scheduleDispatch() {
    if (dispatchScheduled || waitingRequests.isEmpty()) {
      return;
    }
    dispatchScheduled = true;
    eventLoop.schedule(
        () -> {
          dispatchScheduled = false;
          dispatch();
        },
        DISPATCH_INTERVAL_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private AdmissionDecision decide(
      ForwardedRequest request,
      Placement placement,
      double ownAheadMillis,
      int requestsAhead,
      long nowMillis) {
    return switch (policy) {
      case PlainPlacementPolicy plain ->
          decidePlain(request, placement.server(), requestsAhead, nowMillis);
      case EnginePlacementPolicy engines ->
          EngineAdmission.decide(
              request.applicant(nowMillis),
              placement,
              queuedAheadMillis(request, ownAheadMillis, nowMillis),
              hasLessUrgentTraffic(request));
    };
  }

  /**
   * Lets a request for which there is no server wait if servers would take it but for the rate at
   * which they take requests, and ends it otherwise; returns whether it waits.
   *
   * @param requestsAhead requests ahead of it that wait for the same reason
   */
  private boolean keepWaitingOrEnd(ForwardedRequest request, int requestsAhead, long nowMillis) {
    List<TrackedServer> limited =
        state.servers(service).stream()
            .filter(server -> server.acceptsNewWork() && server.closedMillis(nowMillis) == 0)
            .filter(server -> !request.hasTried(server.entry().id()))
            .filter(server -> !rateLimits.admits(server))
            .toList();
    if (limited.isEmpty()) {
      waitingRequests.remove(request);
      request.failRequest(
          allServersEvacuated() ? ReasonCode.FAILURE_DOMAINS_EVACUATED : ReasonCode.NO_SERVER);
      return false;
    }
    // The preferred server was asked for; any other can take the request too.
    rateLimits.admit(
        limited.get(ThreadLocalRandom.current().nextInt(limited.size())), request.number());
    double requestsPerSecond =
        limited.stream().mapToDouble(rateLimits::requestsPerSecond).sum() / gatewayCount.getAsInt();
    long limitEndsInMillis =
        limited.stream()
            .mapToLong(rateLimits::limitEndsInMillis)
            .min()
            .orElse(HeldRequestAdmission.UNKNOWN_END);
    AdmissionDecision decision =
        HeldRequestAdmission.decide(
            new HeldRequestAdmission.HeldRequest(
                nowMillis - request.arrivedMillis(), request.remainingMillis(), requestsAhead),
            requestsPerSecond,
            limitEndsInMillis);
    return switch (decision) {
      case AdmissionDecision.Refuse refuse -> {
        waitingRequests.remove(request);
        request.refuseOverRate(refuse.retryAfterMillis());
        yield false;
      }
      case AdmissionDecision.Send send -> true;
      case AdmissionDecision.Wait wait -> true;
    };
  }

  private boolean allServersEvacuated() {
    Collection<TrackedServer> servers = state.servers(service);
    return !servers.isEmpty() && servers.stream().allMatch(TrackedServer::isEvacuated);
  }

  /**
   * Returns the time until the first server accepts requests again, in milliseconds; 0 if one
   * accepts them now or there is none.
   */
  long requestedBackoffMillis() {
    long nowMillis = MonotonicClock.millis();
    return state.servers(service).stream()
        .mapToLong(server -> server.closedMillis(nowMillis))
        .min()
        .orElse(0);
  }

  /** Outcome of the choice of a server for a request. */
  private sealed interface Choice {

    /** The request goes to this server, now or when it has room. */
    record Server(Placement placement) implements Choice {}

    /** The coordinator of the best server's stated rate will answer soon. */
    record AwaitsPermit() implements Choice {}

    /** No server may get the request now. */
    record None() implements Choice {}
  }

  /**
   * Chooses a server. Without a permit for the best one, the request goes to another. Servers at
   * this gateway's share of their connection limit, and servers of plain services without a free
   * slot, are chosen only if all others are excluded: other gateways may leave their shares unused,
   * and a request must not be refused while a server has room.
   */
  private Choice choose(ForwardedRequest request, boolean onTrial, long nowMillis) {
    int connectionLimit = connectionLimitPerServer();
    Predicate<TrackedServer> alreadyTried = server -> request.hasTried(server.entry().id());
    Predicate<TrackedServer> atConnectionLimit =
        server -> server.ownOpenRequests() >= connectionLimit;
    Predicate<TrackedServer> full = atConnectionLimit.or(withoutRoom(nowMillis));
    Predicate<TrackedServer> avoided =
        onTrial ? full.or(busierThanIdlest(alreadyTried, nowMillis)) : full;
    Optional<Placement> preferred = choose(request, alreadyTried, avoided, nowMillis);
    if (preferred.isEmpty()) {
      return new Choice.None();
    }
    TrackedServer server = preferred.get().server();
    return switch (rateLimits.admit(server, request.number())) {
      case ADMITTED -> new Choice.Server(preferred.get());
      case AWAITS_ANSWER -> new Choice.AwaitsPermit();
      case DENIED -> {
        request.recordHeldForRate(server);
        Predicate<TrackedServer> overRate = other -> !rateLimits.admits(other);
        yield choose(request, alreadyTried.or(overRate), avoided, nowMillis)
            .<Choice>map(Choice.Server::new)
            .orElseGet(Choice.None::new);
      }
    };
  }

  /**
   * Matches the servers with more open requests than the idlest one: if a request on trial ends its
   * server, few others break off with it.
   */
  private Predicate<TrackedServer> busierThanIdlest(
      Predicate<TrackedServer> excluded, long nowMillis) {
    int fewest =
        PlacementPolicy.reachable(
                PlacementPolicy.inService(state.servers(service)), excluded, nowMillis)
            .stream()
            .mapToInt(server -> server.openRequests(nowMillis))
            .min()
            .orElse(0);
    return server -> server.openRequests(nowMillis) > fewest;
  }

  /** Chooses a server; one that should not be used only if all others are excluded. */
  private Optional<Placement> choose(
      ForwardedRequest request,
      Predicate<TrackedServer> excluded,
      Predicate<TrackedServer> avoided,
      long nowMillis) {
    return choose(request, excluded.or(avoided), nowMillis)
        .or(() -> choose(request, excluded, nowMillis));
  }

  private Optional<Placement> choose(
      ForwardedRequest request, Predicate<TrackedServer> excluded, long nowMillis) {
    return policy.choose(request.profile(), state.servers(service), excluded, nowMillis);
  }

  /** Returns this gateway's share of the connection limit of each server. */
  private int connectionLimitPerServer() {
    return state
        .configuration()
        .flatMap(known -> known.service(service))
        .map(known -> known.connectionsPerGateway(gatewayCount.getAsInt()))
        .orElse(Integer.MAX_VALUE);
  }

  /** Returns whether the service also gets requests that are less urgent than this one. */
  private boolean hasLessUrgentTraffic(ForwardedRequest request) {
    return state
        .configuration()
        .flatMap(known -> known.leastUrgentRank(service))
        .map(request.profile().rank()::isMoreUrgentThan)
        .orElse(false);
  }
}
