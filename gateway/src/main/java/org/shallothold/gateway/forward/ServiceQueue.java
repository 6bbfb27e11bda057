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
 * The requests for one service that are not at a server yet. Requests for model engines may wait
 * here; those for plain services are sent at once. Owned by the event loop.
 */
final class ServiceQueue {

  private static final long DISPATCH_MILLIS = 20;
  // Longer than any prompt takes; a pause of this length means that no bound is known.
  private static final double LONGEST_READ_MILLIS = 60_000;
  // Requests further back are not looked at in one round, so that a round stays short.
  private static final int DISPATCH_LIMIT = 48;

  private final String service;
  private final PlacementPolicy policy;
  private final RoutingState state;
  private final EventLoop eventLoop;
  private final IntSupplier gateways;
  private final DispatchQueue<ForwardedRequest> room = DispatchQueue.empty();
  private boolean scheduled;

  ServiceQueue(
      String service,
      PlacementPolicy policy,
      RoutingState state,
      EventLoop eventLoop,
      IntSupplier gateways) {
    this.service = service;
    this.policy = policy;
    this.state = state;
    this.eventLoop = eventLoop;
    this.gateways = gateways;
  }

  /** Notes a request of a caller. */
  void requestArrived(ForwardedRequest request) {
    if (policy instanceof EnginePlacementPolicy engines) {
      state
          .configuration()
          .flatMap(known -> known.service(service))
          .ifPresent(known -> engines.estimator().configure(known));
      engines.requestArrived(request.profile(), Clock.millis());
    }
  }

  /** Returns what is known of the engines' speed; empty for plain services. */
  Optional<EngineEstimator> estimator() {
    return policy instanceof EnginePlacementPolicy engines
        ? Optional.of(engines.estimator())
        : Optional.empty();
  }

  /** Returns a line with what is known of the engines' speed; empty for plain services. */
  Optional<LogLine> describeEngines() {
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
                .with("longest_pause_millis", Math.round(figures.pauseMillis(LONGEST_READ_MILLIS)))
                .with("read_samples", own.prefillSamples())
                .with("pause_samples", own.prefillPauseSamples())
                .with("pause_targets_at_risk", engines.pauseTargetsAtRisk().toString())
                .with("engines_kept", engines.reservedEngines())
                .with("waiting", room.size()));
      }
    };
  }

  /** Returns the work of streams with a short pause target, in engines. */
  double tightLoad() {
    return policy instanceof EnginePlacementPolicy engines
        ? engines.pauseSensitiveLoad(Clock.millis())
        : 0;
  }

  /** Returns the work of prompts that break short pause targets, in engines. */
  double heavyLoad() {
    return policy instanceof EnginePlacementPolicy engines
        ? engines.longPromptLoad(Clock.millis())
        : 0;
  }

  /** Sets the sums of the peers' {@link #tightLoad} and {@link #heavyLoad}. */
  void peersLoad(double tightLoad, double heavyLoad) {
    if (policy instanceof EnginePlacementPolicy engines) {
      engines.setPeersPauseSensitiveLoad(tightLoad);
      engines.setPeersLongPromptLoad(heavyLoad);
    }
  }

  /** Sends a request, or lets it wait or refuses it. */
  void submit(ForwardedRequest request) {
    switch (policy) {
      case PlainPlacementPolicy plain -> sendOrGiveUp(request);
      case EnginePlacementPolicy engines -> {
        room.add(request);
        dispatch();
      }
    }
  }

  /** Forgets a request that has ended. */
  void remove(ForwardedRequest request) {
    room.remove(request);
  }

  /** Returns how many requests wait. */
  int waiting() {
    return room.size();
  }

  /** Looks at the waiting requests again, since something may have changed. */
  void dispatch() {
    if (room.isEmpty()) {
      return;
    }
    long now = Clock.millis();
    double aheadMillis = 0;
    long engines = Math.max(1, state.servers(service).size());
    List<ForwardedRequest> round =
        room.inDispatchOrder(now).stream().limit(DISPATCH_LIMIT).toList();
    for (ForwardedRequest request : round) {
      Optional<Placement> placement = choose(request, now);
      if (placement.isEmpty()) {
        room.remove(request);
        request.giveUp(ReasonCode.NO_SERVER);
        continue;
      }
      AdmissionDecision decision =
          EngineAdmission.decide(
              request.applicant(now), placement.get(), aheadMillis, isUrgent(request));
      switch (decision) {
        case AdmissionDecision.Send send -> {
          room.remove(request);
          request.sendTo(service, placement.get());
        }
        case AdmissionDecision.Wait wait ->
            // Peers queue about as much as this gateway does.
            aheadMillis += placement.get().prefillMillis() * gateways.getAsInt() / engines;
        case AdmissionDecision.Refuse refuse -> {
          room.remove(request);
          request.refuseForLoad(refuse.retryAfterMillis());
        }
      }
    }
    scheduleDispatch();
  }

  private void scheduleDispatch() {
    if (scheduled || room.isEmpty()) {
      return;
    }
    scheduled = true;
    eventLoop.schedule(
        () -> {
          scheduled = false;
          dispatch();
        },
        DISPATCH_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void sendOrGiveUp(ForwardedRequest request) {
    choose(request, Clock.millis())
        .ifPresentOrElse(
            placement -> request.sendTo(service, placement),
            () -> request.giveUp(ReasonCode.NO_SERVER));
  }

  /** Returns how long the callers wait at least before a server takes requests again. */
  long closedMillis() {
    long now = Clock.millis();
    return state.servers(service).stream()
        .mapToLong(server -> server.closedMillis(now))
        .min()
        .orElse(0);
  }

  /**
   * Servers to which this gateway has its share of connections are taken only if all are like that:
   * other gateways may leave theirs unused, and a request is not refused while a server is free.
   */
  private Optional<Placement> choose(ForwardedRequest request, long nowMillis) {
    int connections = connectionsPerServer();
    Predicate<TrackedServer> tried = server -> request.hasTried(server.entry().id());
    Predicate<TrackedServer> full = server -> server.ownOpenRequests() >= connections;
    return choose(request, tried.or(full), nowMillis).or(() -> choose(request, tried, nowMillis));
  }

  private Optional<Placement> choose(
      ForwardedRequest request, Predicate<TrackedServer> excluded, long nowMillis) {
    return policy.choose(request.profile(), state.servers(service), excluded, nowMillis);
  }

  /** Returns how many connections this gateway may have to one server. */
  private int connectionsPerServer() {
    return state
        .configuration()
        .flatMap(known -> known.service(service))
        .map(known -> known.connectionsPerGateway(gateways.getAsInt()))
        .orElse(Integer.MAX_VALUE);
  }

  /** Returns whether less urgent requests go to the same service. */
  private boolean isUrgent(ForwardedRequest request) {
    return state
        .configuration()
        .flatMap(known -> known.leastUrgentRank(service))
        .map(request.profile().rank()::isMoreUrgentThan)
        .orElse(false);
  }
}
