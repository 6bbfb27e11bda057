package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.IntSupplier;
import org.shallothold.core.drain.ResponseTimes;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.placement.EngineEstimator;
import org.shallothold.core.placement.EnginePlacementPolicy;
import org.shallothold.core.placement.OutputLengths;
import org.shallothold.core.placement.PlacementPolicy;
import org.shallothold.core.placement.PlainPlacementPolicy;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.retry.FleetRetryBudget;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.route.Rank;
import org.shallothold.core.route.Route;
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
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.proto.SendPermitAnswer;

/**
 * Accepts callers' requests and holds what they share: queues and retry budgets by service, the
 * routing state, metrics and the log. One per process; owned by the event loop.
 */
final class Forwarder implements CallerService {

  private final ForwardOptions options;
  private final EventLoop eventLoop;
  private final RoutingState state;
  private final HeaderTranslation translation;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private final IntSupplier gatewayCount;
  private final PrefixReads prefixReads;
  private final StatedRateLimits rateLimits;
  private final PromptPartQuarantine promptParts;
  private final ServerEndDetector serverEnds;
  private final MemoryBudget memory;
  private final RequestMemoryBudget requestMemory;
  private final RequestMemoryWatch requestMemoryWatch;
  private final ReadScheduler callerReads;

  private final Map<String, ServiceQueue> queuesByService = new HashMap<>();
  private final Map<String, FleetRetryBudget> retryBudgetsByService = new HashMap<>();
  private final Set<ForwardedRequest> openRequests = new HashSet<>();
  private final Set<String> changedServers = new HashSet<>();
  private Runnable workChangeListener = () -> {};
  private long lastRequestNumber;
  private final ResponseTimes responseTimes = ResponseTimes.create();
  private final OutputLengths outputLengths = OutputLengths.create();
  private final PrefillPaceLog prefillPaceLog;
  private final AdmissionLevelLog admissionLevelLog;
  private boolean leaving;
  private long endOfDrainMillis;
  private boolean refusingRequests;

  Forwarder(
      ForwardOptions options,
      EventLoop eventLoop,
      RoutingState state,
      HeaderTranslation translation,
      StructuredLog log,
      ForwardMetrics metrics,
      IntSupplier gatewayCount,
      PrefixReads prefixReads) {
    this.options = options;
    this.eventLoop = eventLoop;
    this.state = state;
    this.translation = translation;
    this.log = log;
    this.metrics = metrics;
    this.gatewayCount = gatewayCount;
    this.prefixReads = prefixReads;
    this.callerReads = ReadScheduler.create("caller", eventLoop);
    this.memory = MemoryBudget.of(options.bufferBytes());
    this.prefillPaceLog = new PrefillPaceLog(state, log);
    this.rateLimits = new StatedRateLimits(state, log, metrics);
    this.requestMemory = RequestMemoryBudget.of(options.bufferBytes());
    this.requestMemoryWatch = new RequestMemoryWatch(requestMemory, log, metrics);
    this.admissionLevelLog = new AdmissionLevelLog(log);
    rateLimits.setAnswerListener(this::permitAnswered);
    // Peers are told at once.
    state.setRateChangeListener(this::workAdded);
    state.coldStarts().setChangeListener(this::workAdded);
    state.rampUps().setChangeListener(this::workAdded);
    state.coldStarts().setBeginListener(rateLimits::becameCold);
    if (options.limitsStartingServers()) {
      state.rampUps().enable();
    }
    state.coldStarts().setTrafficIndicator(() -> lastRequestNumber > 0);
    this.promptParts = new PromptPartQuarantine(options.processId(), eventLoop, log, metrics);
    promptParts.setEvidenceListener(() -> workChangeListener.run());
    promptParts.setStandingListener(this::standingChanged);
    this.serverEnds = new ServerEndDetector(eventLoop, state, promptParts::serverEnded);
  }

  /** Ends the requests with blocked prompt parts, and sends those whose parts are clear now. */
  private void standingChanged() {
    List.copyOf(openRequests).forEach(ForwardedRequest::endIfBlocked);
    queuesByService.values().forEach(ServiceQueue::dispatch);
  }

  /** Called when the coordinator has answered whether a request may be tried. */
  void trialAnswered(SendPermitAnswer answer) {
    promptParts.answerReceived(answer);
    queuesByService.values().forEach(queue -> queue.dispatch(answer.getRequestNumber()));
  }

  PromptPartQuarantine promptParts() {
    return promptParts;
  }

  ServerEndDetector serverEnds() {
    return serverEnds;
  }

  /** Updates what depends on time alone. */
  void maintain() {
    serverEnds.maintain();
    promptParts.maintain();
    queuesByService.values().forEach(ServiceQueue::updatePaces);
    prefillPaceLog.maintain(queuesByService.keySet());
    requestMemoryWatch.maintain(MonotonicClock.millis());
    admissionLevelLog.maintain(queuesByService);
  }

  private void permitAnswered(String serverId, long requestNumber) {
    TrackedServer server = state.server(serverId);
    if (server != null) {
      queue(server.entry().service()).dispatch(requestNumber);
    }
  }

  StatedRateLimits rateLimits() {
    return rateLimits;
  }

  @Override
  public CallerRequestListener accept(CallerRequest request, CallerExchange exchange) {
    ForwardedRequest forwarded = new ForwardedRequest(this, ++lastRequestNumber, request, exchange);
    openRequests.add(forwarded);
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
  public MemoryBudget memory() {
    return memory;
  }

  @Override
  public RequestMemoryBudget requestMemory() {
    return requestMemory;
  }

  @Override
  public ReadScheduler readScheduler() {
    return callerReads;
  }

  /** Records that a response was given up because the memory for buffers is used up. */
  void bufferShed(String service, String serverId, RequestTrace trace, int bytes) {
    metrics.buffersShed.labelValues(service).inc();
    trace
        .addLine("buffer_shed")
        .with("server", serverId)
        .with("bytes", bytes)
        .with("used_bytes", memory.usedBytes())
        .with("limit_bytes", memory.limitBytes());
  }

  @Override
  public boolean isLeaving() {
    return leaving;
  }

  /**
   * Makes the gateway close callers' connections after their next response.
   *
   * @param endMillis time at which requests that are still open are ended
   */
  void startLeaving(long endMillis) {
    leaving = true;
    endOfDrainMillis = endMillis;
  }

  /**
   * Returns whether a request that may run only once should be refused, because the drain would
   * probably end before its response.
   */
  boolean wouldOutliveDrain(Route route, long remainingMillis) {
    if (!leaving || route.kind().repeatable()) {
      return false;
    }
    double usualMillis = responseTimes.usualMillis(route.name()).orElse(0);
    return Math.min(usualMillis, (double) remainingMillis)
        > endOfDrainMillis - MonotonicClock.millis();
  }

  ResponseTimes responseTimes() {
    return responseTimes;
  }

  OutputLengths outputLengths() {
    return outputLengths;
  }

  /** Ends all open requests at the end of the drain; returns their number. */
  int endOpenRequests() {
    List<ForwardedRequest> open = List.copyOf(openRequests);
    open.forEach(ForwardedRequest::endForShutdown);
    return open.size();
  }

  /** Makes the gateway refuse new requests; those accepted before are completed. */
  void refuseNewRequests() {
    refusingRequests = true;
  }

  boolean isRefusingRequests() {
    return refusingRequests;
  }

  int openRequestCount() {
    return openRequests.size();
  }

  void requestEnded(ForwardedRequest request) {
    openRequests.remove(request);
    promptParts.requestEnded(request.number());
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

  RequestTrace createTrace(String requestId, long arrivedMillis) {
    return new RequestTrace(log, requestId, arrivedMillis);
  }

  /**
   * Sets the listener that is called when the peers should get an update of this gateway's work.
   */
  void setWorkChangeListener(Runnable listener) {
    workChangeListener = listener;
  }

  /**
   * Records that a request was sent to a model engine, and calls the work listener: peers must get
   * this at once, so that they don't send to the same engine.
   */
  void workAdded(String serverId) {
    changedServers.add(serverId);
    workChangeListener.run();
  }

  /** Records that a server has less work. Peers get this with the next update. */
  void workRemoved(String serverId) {
    changedServers.add(serverId);
  }

  /** Returns the ids of the servers whose work changed since the last call. */
  Set<String> drainChangedServers() {
    Set<String> changed = Set.copyOf(changedServers);
    changedServers.clear();
    return changed;
  }

  /** Returns the queue of a service, created at its first use. */
  ServiceQueue queue(String service) {
    return queuesByService.computeIfAbsent(
        service,
        name ->
            new ServiceQueue(
                name, createPolicy(name), state, eventLoop, gatewayCount, rateLimits, promptParts));
  }

  private PlacementPolicy createPolicy(String service) {
    boolean isModelEngine =
        state
            .configuration()
            .flatMap(configuration -> configuration.service(service))
            .map(RoutedService::modelEngine)
            .orElse(false);
    return isModelEngine
        ? EnginePlacementPolicy.of(EngineEstimator.create(), options.failureDomain())
        : PlainPlacementPolicy.in(options.failureDomain());
  }

  /** Returns the queues that exist, by service. */
  Map<String, ServiceQueue> queues() {
    return queuesByService;
  }

  /** Returns the retry budgets of all services that had requests, by service. */
  Map<String, FleetRetryBudget> retryBudgets() {
    return retryBudgetsByService;
  }

  /** Records a caller's request for a service in its retry budget and its queue's statistics. */
  void requestArrived(String service, ForwardedRequest request) {
    retryBudget(service).requestArrived(MonotonicClock.millis());
    queue(service).requestArrived(request);
  }

  /**
   * Returns the urgency level that is sent to backend servers with a request: 0 is the most urgent.
   * Without a configuration it is the least urgent level.
   */
  int urgencyLevel(String service, Rank rank) {
    int levels = translation.urgencyLevels();
    return state
        .configuration()
        .map(configuration -> configuration.urgencyLevel(service, rank, levels))
        .orElse(levels - 1);
  }

  /** Consumes one retry from the shared budget of a service; returns false if it is used up. */
  boolean tryRetry(String service) {
    boolean granted =
        retryBudget(service).tryRetry(gatewayCount.getAsInt(), MonotonicClock.millis());
    if (!granted) {
      metrics.retriesDenied.labelValues(service).inc();
    }
    return granted;
  }

  private FleetRetryBudget retryBudget(String service) {
    ForwardOptions.RetryLimit limit = options.retryLimit();
    return retryBudgetsByService.computeIfAbsent(
        service,
        name ->
            FleetRetryBudget.of(
                limit.retriesPerRequest(), limit.extraRetriesPerWindow(), limit.windowMillis()));
  }
}
