package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.shallothold.core.placement.EngineEstimator;
import org.shallothold.core.placement.EnginePlacementPolicy;
import org.shallothold.core.placement.PlacementPolicy;
import org.shallothold.core.placement.PlainPlacementPolicy;
import org.shallothold.core.retry.FleetRetryBudget;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.route.Rank;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.route.RoutedService;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.gateway.forward.caller.CallerExchange;
import org.shallothold.gateway.forward.caller.CallerRequest;
import org.shallothold.gateway.forward.caller.CallerRequestListener;
import org.shallothold.gateway.forward.caller.CallerService;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/** What the requests of a gateway share. Made once per process; owned by the event loop. */
final class Forwarder implements CallerService {

  private final ForwardOptions options;
  private final EventLoop eventLoop;
  private final RoutingState state;
  private final HeaderTranslation translation;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private final IntSupplier gateways;
  private final PrefixReads prefixReads;

  private final Map<String, ServiceQueue> queues = new HashMap<>();
  private final Map<String, FleetRetryBudget> budgets = new HashMap<>();
  private final Set<ForwardedRequest> open = new HashSet<>();
  private final Set<String> changedServers = new HashSet<>();
  private Runnable workChanged = () -> {};
  private long requestNumber;
  private boolean leaving;
  private boolean refusing;

  Forwarder(
      ForwardOptions options,
      EventLoop eventLoop,
      RoutingState state,
      HeaderTranslation translation,
      StructuredLog log,
      ForwardMetrics metrics,
      IntSupplier gateways,
      PrefixReads prefixReads) {
    this.options = options;
    this.eventLoop = eventLoop;
    this.state = state;
    this.translation = translation;
    this.log = log;
    this.metrics = metrics;
    this.gateways = gateways;
    this.prefixReads = prefixReads;
  }

  @Override
  public CallerRequestListener accept(CallerRequest request, CallerExchange exchange) {
    ForwardedRequest forwarded = new ForwardedRequest(this, ++requestNumber, request, exchange);
    open.add(forwarded);
    forwarded.start();
    return forwarded;
  }

  @Override
  public void requestRejected(ReasonCode reason) {
    metrics.requests.labelValues("", "rejected", reason.code()).inc();
    log.add(LogLine.of("request_rejected").with("cause", reason.code()));
  }

  @Override
  public CallerLimits limits() {
    return state.configuration().map(RouteConfiguration::limits).orElse(CallerLimits.DEFAULT);
  }

  @Override
  public boolean isLeaving() {
    return leaving;
  }

  void leave() {
    leaving = true;
  }

  /** Refuses requests from now on; those taken before go on. */
  void refuseNew() {
    refusing = true;
  }

  boolean isRefusing() {
    return refusing;
  }

  int openRequests() {
    return open.size();
  }

  void ended(ForwardedRequest request) {
    open.remove(request);
  }

  EventLoop eventLoop() {
    return eventLoop;
  }

  RoutingState state() {
    return state;
  }

  HeaderTranslation translation() {
    return translation;
  }

  ForwardMetrics metrics() {
    return metrics;
  }

  PrefixReads prefixReads() {
    return prefixReads;
  }

  RequestTrace trace(String requestId, long arrivedMillis) {
    return new RequestTrace(log, requestId, arrivedMillis);
  }

  /** Sets what is called when peers should hear of changed work. */
  void onWorkChanged(Runnable listener) {
    workChanged = listener;
  }

  /** Notes that a request went to a model engine, which the peers must know at once. */
  void workSent(String serverId) {
    changedServers.add(serverId);
    workChanged.run();
  }

  /** Notes less work at a server, which peers learn with the next change. */
  void workDone(String serverId) {
    changedServers.add(serverId);
  }

  /** Returns the servers whose work changed since the last call. */
  Set<String> takeChangedServers() {
    Set<String> changed = Set.copyOf(changedServers);
    changedServers.clear();
    return changed;
  }

  /** Returns the queue of a service. */
  ServiceQueue queue(String service) {
    return queues.computeIfAbsent(
        service, name -> new ServiceQueue(name, policy(name), state, eventLoop, gateways));
  }

  private PlacementPolicy policy(String service) {
    boolean engines =
        state
            .configuration()
            .flatMap(known -> known.service(service))
            .map(RoutedService::modelEngine)
            .orElse(false);
    return engines
        ? EnginePlacementPolicy.of(EngineEstimator.create(), options.failureDomain())
        : PlainPlacementPolicy.in(options.failureDomain());
  }

  /** Returns the queues of all services that had requests, by service. */
  Map<String, ServiceQueue> queues() {
    return queues;
  }

  /** Returns the shared budgets for repeats of all services that had requests, by service. */
  Map<String, FleetRetryBudget> budgets() {
    return budgets;
  }

  /** Notes a caller's request for a service. */
  void requestArrived(String service, ForwardedRequest request) {
    budget(service).requestArrived(Clock.millis());
    queue(service).requestArrived(request);
  }

  /** Returns the urgency of a request for a service, as backend servers know it. */
  int urgencyLevel(String service, Rank rank) {
    int levels = translation.urgencyLevels();
    return state
        .configuration()
        .map(known -> known.urgencyLevel(service, rank, levels))
        .orElse(levels - 1);
  }

  /** Takes one repeat from the shared budget of a service. */
  boolean tryRepeat(String service) {
    boolean granted = budget(service).tryRetry(gateways.getAsInt(), Clock.millis());
    if (!granted) {
      metrics.repeatsDenied.labelValues(service).inc();
    }
    return granted;
  }

  private FleetRetryBudget budget(String service) {
    ForwardOptions.RepeatLimit limit = options.budget();
    return budgets.computeIfAbsent(
        service,
        name -> FleetRetryBudget.of(limit.ratio(), limit.allowance(), limit.windowMillis()));
  }
}
