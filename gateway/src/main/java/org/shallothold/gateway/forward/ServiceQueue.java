package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.IntSupplier;
import java.util.function.Predicate;
import org.shallothold.core.placement.AdmissionDecision;
import org.shallothold.core.placement.DispatchQueue;
import org.shallothold.core.placement.EngineAdmission;
import org.shallothold.core.placement.EngineEstimate;
import org.shallothold.core.placement.EngineEstimator;
import org.shallothold.core.placement.EnginePlacementPolicy;
import org.shallothold.core.placement.EngineTimings;
import org.shallothold.core.placement.Placement;
import org.shallothold.core.placement.PlacementPolicy;
import org.shallothold.core.placement.PlainPlacementPolicy;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.runtime.logging.LogLine;

/**
 * Chooses a server for each request for one service and sends it there. Requests for model engines
 * may wait in the queue until an engine has room; those for plain services are sent at once. Owned
 * by the event loop.
 */
final class ServiceQueue {

  private static final long DISPATCH_INTERVAL_MILLIS = 20;
  // Longer than the prefill of any prompt. A logged longest pause of this length means that no
  // bound is known.
  private static final double MAX_PREFILL_MILLIS = 60_000;
  // Requests further back in the queue are left for a later round, so that each round stays short.
  private static final int MAX_REQUESTS_PER_DISPATCH = 48;

  private final String service;
  private final PlacementPolicy policy;
  private final RoutingState state;
  private final EventLoop eventLoop;
  private final IntSupplier gatewayCount;
  private final DispatchQueue<ForwardedRequest> waitingRequests = DispatchQueue.empty();
  private boolean dispatchScheduled;

  ServiceQueue(
      String service,
      PlacementPolicy policy,
      RoutingState state,
      EventLoop eventLoop,
      IntSupplier gatewayCount) {
    this.service = service;
    this.policy = policy;
    this.state = state;
    this.eventLoop = eventLoop;
    this.gatewayCount = gatewayCount;
  }

  /** Updates the demand statistics for model engines with a caller's new request. */
  void requestArrived(ForwardedRequest request) {
    if (policy instanceof EnginePlacementPolicy engines) {
      state
          .configuration()
          .flatMap(known -> known.service(service))
          .ifPresent(known -> engines.estimator().configure(known));
      engines.requestArrived(request.profile(), MonotonicClock.millis());
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
    switch (policy) {
      case PlainPlacementPolicy plain -> sendOrFail(request);
      case EnginePlacementPolicy engines -> {
        waitingRequests.add(request);
        dispatch();
      }
    }
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
    if (waitingRequests.isEmpty()) {
      return;
    }
    long nowMillis = MonotonicClock.millis();
    double queuedPrefillMillis = 0;
    long engineCount = Math.max(1, state.servers(service).size());
    List<ForwardedRequest> candidates =
        waitingRequests.inDispatchOrder(nowMillis).stream()
            .limit(MAX_REQUESTS_PER_DISPATCH)
            .toList();
    for (ForwardedRequest request : candidates) {
      Optional<Placement> placement = choose(request, nowMillis);
      if (placement.isEmpty()) {
        waitingRequests.remove(request);
        request.failRequest(ReasonCode.NO_SERVER);
        continue;
      }
      AdmissionDecision decision =
          EngineAdmission.decide(
              request.applicant(nowMillis),
              placement.get(),
              queuedPrefillMillis,
              hasLessUrgentTraffic(request));
      switch (decision) {
        case AdmissionDecision.Send send -> {
          waitingRequests.remove(request);
          request.sendTo(service, placement.get());
        }
        case AdmissionDecision.Wait wait ->
            // Peers are assumed to queue about as much as this gateway.
            queuedPrefillMillis +=
                placement.get().prefillMillis() * gatewayCount.getAsInt() / engineCount;
        case AdmissionDecision.Refuse refuse -> {
          waitingRequests.remove(request);
          request.refuseOverloaded(refuse.retryAfterMillis());
        }
      }
    }
    scheduleDispatch();
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

  private void sendOrFail(ForwardedRequest request) {
    choose(request, MonotonicClock.millis())
        .ifPresentOrElse(
            placement -> request.sendTo(service, placement),
            () -> request.failRequest(ReasonCode.NO_SERVER));
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

  /**
   * Chooses a server, or returns empty if there is none. Servers at this gateway's share of their
   * connection limit are chosen only if all others are excluded: other gateways may leave their
   * shares unused, and a request must not be refused while a server has room.
   */
  private Optional<Placement> choose(ForwardedRequest request, long nowMillis) {
    int connectionLimit = connectionLimitPerServer();
    Predicate<TrackedServer> alreadyTried = server -> request.hasTried(server.entry().id());
    Predicate<TrackedServer> atConnectionLimit =
        server -> server.ownOpenRequests() >= connectionLimit;
    return choose(request, alreadyTried.or(atConnectionLimit), nowMillis)
        .or(() -> choose(request, alreadyTried, nowMillis));
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
