package org.shallothold.gateway.forward;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.crash.TrialAdmission;
import org.shallothold.core.placement.DispatchQueue;
import org.shallothold.core.placement.EngineAdmission;
import org.shallothold.core.placement.OutputEstimate;
import org.shallothold.core.placement.Placement;
import org.shallothold.core.placement.PrefillPace;
import org.shallothold.core.placement.RequestProfile;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.route.CallKind;
import org.shallothold.core.route.CustomerIdentity;
import org.shallothold.core.route.Rank;
import org.shallothold.core.route.Route;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.gateway.forward.caller.CallerExchange;
import org.shallothold.gateway.forward.caller.CallerRequest;
import org.shallothold.gateway.forward.caller.CallerRequestListener;
import org.shallothold.gateway.forward.caller.Refusal;
import org.shallothold.gateway.forward.port.RequestMetadata;

/**
 * One request of a caller from its arrival to its end. Finds its route, queues it, sends it to a
 * backend server, retries it on others where that is safe, and forwards the response or refuses the
 * request with a verdict. Owned by the event loop.
 */
final class ForwardedRequest implements CallerRequestListener, DispatchQueue.Entry {

  // A gateway that just started reads the configuration within this time if the platform responds.
  // Requests wait for it, since a refused caller may have no attempt left.
  private static final long MAX_STARTUP_WAIT_MILLIS = 1_000;
  // The wait is at most the caller's deadline divided by this, so that the caller still has time to
  // try another gateway.
  private static final long STARTUP_WAIT_DEADLINE_DIVISOR = 3;
  private static final long STARTUP_POLL_INTERVAL_MILLIS = 10;
  private static final long NOT_CONFIGURED_RETRY_AFTER_MILLIS = 500;
  private static final long NO_SERVER_RETRY_AFTER_MILLIS = 400;
  // Another gateway can accept the request at once.
  private static final long LEAVING_RETRY_AFTER_MILLIS = 20;
  // Another gateway probably has memory left.
  private static final long MEMORY_RETRY_AFTER_MILLIS = 100;
  // The part, its id as an object, its hash, and the lists that hold them.
  private static final long BYTES_PER_PROMPT_PART = 96;
  // With less time left, a retry can't be answered before the deadline.
  static final long MIN_TIME_FOR_RETRY_MILLIS = 20;
  // Servers reject requests at once, so a few more can be tried without much delay.
  private static final int MAX_REJECTIONS = 3;

  /** Outcome of a request whose whole response was forwarded. */
  static final String COMPLETED = "completed";

  private final Forwarder forwarder;
  private final long requestNumber;
  private final CallerRequest request;
  private final CallerExchange caller;
  private final long arrivedMillis;
  private final RequestMetadata requestFacts;
  private final RequestTrace trace;
  private final Set<String> triedServers = new HashSet<>();
  private final RequestProgress progress = new RequestProgress();

  private @Nullable Route route;
  private @Nullable CustomerIdentity customer;
  private RequestProfile work = RequestProfile.ofPlainService(Rank.of(0), 0);
  private OutputEstimate outputEstimate = OutputEstimate.NONE;
  private List<Long> sharedPartIds = List.of();
  private long deadlineMillis;
  private @Nullable Attempt currentAttempt;
  private @Nullable String queuedService;
  private boolean ended;
  private boolean requestReleased;
  private boolean firstEventOverdue;
  private boolean heldForRate;
  private boolean waitedForSlot;
  private @Nullable ScheduledFuture<?> deadlineTimer;

  ForwardedRequest(
      Forwarder forwarder, long requestNumber, CallerRequest request, CallerExchange caller) {
    this.forwarder = forwarder;
    this.requestNumber = requestNumber;
    this.request = request;
    this.caller = caller;
    this.arrivedMillis = TimeUnit.NANOSECONDS.toMillis(request.arrivedNanos());
    this.requestFacts = forwarder.translation().readRequest(request.head());
    progress.lastEventId = requestFacts.lastEventId();
    String id = requestFacts.requestId();
    this.trace = forwarder.createTrace(id == null ? "unnamed-" + requestNumber : id, arrivedMillis);
  }

  void start() {
    if (ended) {
      return;
    }
    if (forwarder.isRefusingRequests()) {
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(ReasonCode.GATEWAY_LEAVING, LEAVING_RETRY_AFTER_MILLIS));
      return;
    }
    if (!forwarder.state().isLoaded() && ageMillis() < maxStartupWaitMillis()) {
      forwarder
          .eventLoop()
          .schedule(this::start, STARTUP_POLL_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    Optional<RouteConfiguration> configuration = forwarder.state().configuration();
    if (configuration.isEmpty()) {
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(ReasonCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_AFTER_MILLIS));
      return;
    }
    Route found = findRoute(configuration.get());
    if (found == null) {
      refuse(HttpResponseStatus.NOT_FOUND, Verdict.notRun(ReasonCode.NOT_FOUND));
      return;
    }
    route = found;
    if (configuration.get().keysRequired() && !found.anonymous()) {
      String key = requestFacts.apiKey();
      customer = key == null ? null : configuration.get().customer(key).orElse(null);
      if (customer == null) {
        refuse(HttpResponseStatus.UNAUTHORIZED, Verdict.notRun(ReasonCode.UNAUTHENTICATED));
        return;
      }
    }
    long timeoutMillis = found.timeoutMillis();
    if (requestFacts.timeoutMillis() > 0) {
      timeoutMillis = Math.min(timeoutMillis, requestFacts.timeoutMillis());
    }
    deadlineMillis = arrivedMillis + timeoutMillis;
    if (forwarder.wouldOutliveDrain(found, remainingMillis())) {
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(ReasonCode.GATEWAY_LEAVING, LEAVING_RETRY_AFTER_MILLIS));
      return;
    }
    work = createWork(found);
    sharedPartIds = work.sharedPartIds();
    trace
        .addLine("request_taken")
        .with("route", found.name())
        .with("kind", found.kind().name())
        .with("customer", customer == null ? "" : customer.name())
        .with("configuration", configuration.get().version())
        .with("deadline_millis", timeoutMillis)
        .with("prompt_tokens", work.promptTokens());
    deadlineTimer =
        forwarder
            .eventLoop()
            .schedule(this::deadlinePassed, Math.max(0, remainingMillis()), TimeUnit.MILLISECONDS);
    selectServiceAndSubmit();
  }

  private long ageMillis() {
    return MonotonicClock.millis() - arrivedMillis;
  }

  /** Returns how long the request may wait for the first configuration and list of servers. */
  private long maxStartupWaitMillis() {
    return requestFacts.timeoutMillis() > 0
        ? Math.min(
            MAX_STARTUP_WAIT_MILLIS, requestFacts.timeoutMillis() / STARTUP_WAIT_DEADLINE_DIVISOR)
        : MAX_STARTUP_WAIT_MILLIS;
  }

  @Override
  public void callerDisconnected() {
    if (ended) {
      return;
    }
    progress.callerDisconnected = true;
    trace.addLine("caller_left");
    Attempt current = currentAttempt;
    Route matchedRoute = route;
    if (current != null
        && matchedRoute != null
        && matchedRoute.kind() == CallKind.ONCE
        && current.isSent()) {
      // The server runs the request in any case. Closing the connection would not stop it, and the
      // gateway would not learn the outcome. It isn't sent again, so nothing else of it is needed.
      releaseRequest();
      return;
    }
    if (current != null) {
      current.abandon();
    }
    end("caller_left", "", false);
  }

  @Override
  public long decodedBytes() {
    return requestFacts.promptParts().size() * BYTES_PER_PROMPT_PART;
  }

  @Override
  public boolean mayHaveRun() {
    return progress.possibleRuns > 0;
  }

  @Override
  public void memoryNeeded() {
    endWithoutResponse(
        HttpResponseStatus.BAD_GATEWAY,
        Verdict.notRun(ReasonCode.MEMORY_FULL, MEMORY_RETRY_AFTER_MILLIS));
  }

  /** Gives the memory of the head and the body back. */
  private void releaseRequest() {
    if (!requestReleased) {
      requestReleased = true;
      request.head().headers().clear();
      request.body().release();
    }
  }

  @Override
  public void writabilityChanged() {
    Attempt current = currentAttempt;
    if (current != null) {
      current.setAutoRead(caller.isWritable());
    }
  }

  private @Nullable Route findRoute(RouteConfiguration configuration) {
    HttpRequest head = request.head();
    String host = head.headers().get(HttpHeaderNames.HOST, "");
    String uri = head.uri();
    int query = uri.indexOf('?');
    String path = query < 0 ? uri : uri.substring(0, query);
    return configuration.find(host, path).orElse(null);
  }

  private RequestProfile createWork(Route found) {
    Rank rank = customer == null ? Rank.of(found.priority()) : customer.rankOn(found);
    if (requestFacts.promptTokens() == 0) {
      return RequestProfile.ofPlainService(rank, found.latencyTargetMillis());
    }
    outputEstimate =
        forwarder
            .outputLengths()
            .estimate(
                found.name(), requestFacts.expectedOutputTokens(), requestFacts.maxOutputTokens());
    int outputTokens =
        requestFacts.expectedOutputTokens() > 0
            ? requestFacts.expectedOutputTokens()
            : requestFacts.maxOutputTokens();
    return new RequestProfile(
        requestFacts.promptParts(),
        requestFacts.promptTokens(),
        outputTokens,
        rank,
        found.latencyTargetMillis(),
        found.pauseTargetMillis());
  }

  /** Returns the estimated length of the output; 0 for plain services. */
  OutputEstimate outputEstimate() {
    return outputEstimate;
  }

  private void selectServiceAndSubmit() {
    Route matchedRoute = route;
    if (matchedRoute == null) {
      return;
    }
    String service = matchedRoute.selectService(ThreadLocalRandom.current().nextDouble());
    forwarder.requestArrived(service, this);
    submit(service);
  }

  private void submit(String service) {
    queuedService = service;
    forwarder.queue(service).submit(this);
  }

  @Override
  public RequestProfile profile() {
    return work;
  }

  @Override
  public long arrivedMillis() {
    return arrivedMillis;
  }

  /** Returns what engine admission needs to know about the request. */
  EngineAdmission.AdmissionRequest applicant(long nowMillis) {
    return new EngineAdmission.AdmissionRequest(
        work,
        nowMillis - arrivedMillis,
        remainingMillis(),
        progress.possibleRuns > 0,
        decodeMillis());
  }

  /** Returns the expected time for the decode steps of the output; 0 if it doesn't matter. */
  private double decodeMillis() {
    String service = queuedService;
    return service == null
        ? EngineAdmission.AdmissionRequest.ANY_DECODE_TIME
        : outputEstimate.expectedTokens() * forwarder.queue(service).protectedStepMillis();
  }

  @Override
  public boolean canFinish(long nowMillis) {
    return decodeMillis() / PrefillPace.MAX_DECODE_SHARE <= deadlineMillis - nowMillis;
  }

  /** Returns whether an earlier attempt chose the server. */
  boolean hasTried(String serverId) {
    return triedServers.contains(serverId);
  }

  /** Starts an attempt at the chosen server. */
  void sendTo(String service, Placement placement) {
    queuedService = null;
    currentAttempt = new Attempt(this, forwarder, service, placement);
    currentAttempt.start();
  }

  /**
   * Refuses the request, which was not run, because the engines are too busy.
   *
   * @param retryAfterMillis time after which the caller should try again, in milliseconds
   * @param cause whether the prefill backlog is too long, or the output for the time left
   */
  void refuseOverloaded(long retryAfterMillis, ReasonCode cause) {
    if (cause == ReasonCode.CANNOT_FINISH) {
      trace
          .addLine("output_too_long")
          .with("expected_tokens", outputEstimate.expectedTokens())
          .with("decode_millis", Math.round(decodeMillis()))
          .with("remaining_millis", remainingMillis());
    }
    queuedService = null;
    refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, Verdict.notRun(cause, retryAfterMillis));
  }

  /** Returns the ids of the prompt parts that the request shares with others. */
  List<Long> sharedPartIds() {
    return sharedPartIds;
  }

  /** Returns whether the request has ended, so that nothing more is to be done for it. */
  boolean hasEnded() {
    return ended;
  }

  /** Returns the state that the attempts share. */
  RequestProgress progress() {
    return progress;
  }

  RequestTrace trace() {
    return trace;
  }

  CallerRequest request() {
    return request;
  }

  CallerExchange caller() {
    return caller;
  }

  /** Returns the decoded header fields of the request. */
  RequestMetadata metadata() {
    return requestFacts;
  }

  /** Returns the route that the request matched; null before that. */
  @Nullable Route route() {
    return route;
  }

  /** Returns the customer whose key the request has; null if it needs none. */
  @Nullable CustomerIdentity customer() {
    return customer;
  }

  /** Returns the ids of the servers that earlier attempts chose; each attempt adds its own. */
  Set<String> triedServers() {
    return triedServers;
  }

  /** Returns the number that this gateway gave the request. */
  long number() {
    return requestNumber;
  }

  /** Returns the deadline, in milliseconds of the monotonic clock. */
  long deadlineMillis() {
    return deadlineMillis;
  }

  /** Returns the time left until the deadline, in milliseconds; negative after it. */
  long remainingMillis() {
    return deadlineMillis - MonotonicClock.millis();
  }

  /**
   * Records that the request was not sent to the server that was chosen for it, because of the
   * server's stated rate.
   */
  void recordHeldForRate(TrackedServer server) {
    if (heldForRate) {
      return;
    }
    heldForRate = true;
    forwarder.rateLimits().recordHeld(server);
    forwarder
        .rateLimits()
        .describe(
            trace.addLine("server_over_rate").with("server", server.entry().id()), server.entry());
  }

  /** Records that no server of a plain service had a free slot for it. */
  void recordWaitForSlot(String service) {
    if (!waitedForSlot) {
      waitedForSlot = true;
      forwarder.metrics().requestsWaitedForSlot.labelValues(service).inc();
      trace.addLine("no_free_slot").with("service", service);
    }
  }

  /**
   * Ends the request because every server that could take it gets as many requests as it states.
   *
   * @param retryAfterMillis time after which the caller should try again, in milliseconds
   */
  void refuseOverRate(long retryAfterMillis) {
    queuedService = null;
    if (progress.possibleRuns > 0 || progress.streamStarted) {
      failRequest(ReasonCode.SERVER_RATE_LIMIT);
      return;
    }
    refuse(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        Verdict.notRun(ReasonCode.SERVER_RATE_LIMIT, retryAfterMillis));
  }

  /** Ends the request because a part of its prompt is blocked. */
  void refuseBlockedPart(TrialAdmission.Refused refused) {
    queuedService = null;
    forwarder.promptParts().describe(trace.addLine("prompt_part_blocked"), refused.partId());
    Route matchedRoute = route;
    forwarder
        .metrics()
        .requestsBlockedForPart
        .labelValues(matchedRoute == null ? "" : matchedRoute.name())
        .inc();
    if (progress.possibleRuns > 0 || progress.streamStarted) {
      failRequest(ReasonCode.PROMPT_PART_BLOCKED);
      return;
    }
    long retryAfterMillis = Math.max(1, refused.untilMillis() - MonotonicClock.millis());
    refuse(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        Verdict.notRun(ReasonCode.PROMPT_PART_BLOCKED, retryAfterMillis));
  }

  /** Ends the request if a part of its prompt is blocked and no server has begun to answer it. */
  void endIfBlocked() {
    Attempt current = currentAttempt;
    if (ended || current == null || !current.hasHardlyBegun()) {
      return;
    }
    if (forwarder.promptParts().blockedPart(sharedPartIds)
        instanceof TrialAdmission.Refused refused) {
      current.abandon();
      refuseBlockedPart(refused);
    }
  }

  /**
   * Submits the request again if another attempt is safe and allowed, and fails it otherwise.
   *
   * @param service service of the failed attempt
   * @param cause reason for the caller if the request fails
   * @param usesRetryBudget whether the attempt reached the server, so that a retry takes from the
   *     shared budget
   */
  void retry(String service, ReasonCode cause, boolean usesRetryBudget) {
    if (ended) {
      return;
    }
    Route matchedRoute = route;
    if (progress.callerDisconnected || matchedRoute == null) {
      end("caller_left", cause.code(), false);
      return;
    }
    boolean mayRunAgain =
        progress.possibleRuns == 0
            || (matchedRoute.kind().repeatable()
                && progress.possibleRuns < matchedRoute.maxAttempts());
    if (!mayRunAgain
        || remainingMillis() < MIN_TIME_FOR_RETRY_MILLIS
        || progress.rejections > MAX_REJECTIONS) {
      failRequest(cause);
      return;
    }
    if (usesRetryBudget && !forwarder.tryRetry(service)) {
      trace.addLine("repeat_denied").with("service", service);
      failRequest(cause);
      return;
    }
    submit(currentService(matchedRoute, service));
  }

  /**
   * Returns the service for the next attempt. The configuration may have moved the route to other
   * services since the last one.
   */
  private String currentService(Route matchedRoute, String service) {
    Route newRoute = forwarder.state().configuration().map(this::findRoute).orElse(null);
    if (newRoute == null || newRoute.hasService(service)) {
      return service;
    }
    route = newRoute.kind() == matchedRoute.kind() ? newRoute : matchedRoute;
    return newRoute.selectService(ThreadLocalRandom.current().nextDouble());
  }

  /**
   * Ends the request without another attempt. A stream that has started is cut off, so that the
   * caller sees that it is incomplete; any other request is refused with its verdict.
   */
  void failRequest(ReasonCode cause) {
    if (progress.streamStarted) {
      end("broken", cause.code(), false);
      caller.abort();
    } else if (progress.possibleRuns == 0) {
      Route matchedRoute = route;
      long backoffMillis = matchedRoute == null ? 0 : requestedBackoffMillis(matchedRoute);
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(cause, Math.max(backoffMillis, NO_SERVER_RETRY_AFTER_MILLIS)));
    } else {
      refuse(HttpResponseStatus.BAD_GATEWAY, Verdict.mayHaveRun(cause));
    }
  }

  /**
   * Returns the time until a service of the route has a server that accepts requests; 0 if one
   * does.
   */
  private long requestedBackoffMillis(Route matchedRoute) {
    return matchedRoute.services().stream()
        .mapToLong(share -> forwarder.queue(share.service()).requestedBackoffMillis())
        .min()
        .orElse(0);
  }

  private void deadlinePassed() {
    if (ended) {
      return;
    }
    Attempt current = currentAttempt;
    endWithoutResponse(HttpResponseStatus.GATEWAY_TIMEOUT, Verdict.notRun(ReasonCode.DEADLINE));
    if (current != null) {
      current.recordOutputLength();
      current.recordSilence();
    }
  }

  /** Ends the request because the process is about to end. */
  void endForShutdown() {
    endWithoutResponse(
        HttpResponseStatus.BAD_GATEWAY,
        Verdict.notRun(ReasonCode.GATEWAY_LEAVING, LEAVING_RETRY_AFTER_MILLIS));
  }

  /**
   * Abandons the attempt and tells the caller whether the request may have run.
   *
   * @param statusIfRan status if the request may have run
   * @param notRun verdict if it did not run
   */
  private void endWithoutResponse(HttpResponseStatus statusIfRan, Verdict notRun) {
    if (ended) {
      return;
    }
    ReasonCode cause = notRun.cause().orElseThrow();
    Attempt current = currentAttempt;
    if (current != null) {
      current.abandon();
    }
    if (progress.callerDisconnected) {
      end("caller_left", cause.code(), false);
    } else if (progress.streamStarted) {
      end("broken", cause.code(), false);
      caller.abort();
    } else if (progress.possibleRuns > 0) {
      refuse(statusIfRan, Verdict.mayHaveRun(cause));
    } else {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, notRun);
    }
  }

  private void refuse(HttpResponseStatus status, Verdict verdict) {
    Refusal refusal = Refusal.of(status, verdict);
    String cause = verdict.cause().map(ReasonCode::code).orElse("");
    trace
        .addLine("request_refused")
        .with("status", status.code())
        .with("verdict", verdict.wireName())
        .with("cause", cause)
        .with("runs", progress.possibleRuns)
        .with("rejections", progress.rejections);
    end(verdict.wireName(), cause, false);
    caller.sendResponse(refusal.status(), refusal.headers(), refusal.body());
  }

  void end(String outcome, String cause, boolean routine) {
    if (ended) {
      return;
    }
    ended = true;
    String service = queuedService;
    if (service != null) {
      forwarder.queue(service).remove(this);
    }
    if (deadlineTimer != null) {
      deadlineTimer.cancel(false);
    }
    releaseRequest();
    Route matchedRoute = route;
    String name = matchedRoute == null ? "" : matchedRoute.name();
    forwarder.metrics().requests.labelValues(name, outcome, cause).inc();
    forwarder.metrics().answerSeconds.labelValues(name).observe(ageMillis() / 1_000.0);
    if (outcome.equals(COMPLETED)) {
      forwarder.responseTimes().record(name, (double) ageMillis());
    }
    trace.addLine("request_ended").with("outcome", outcome).with("cause", cause);
    trace.end(routine);
    forwarder.requestEnded(this);
  }

  /** Returns whether the request was answered on time by the first server that it was sent to. */
  boolean isRoutine() {
    return progress.possibleRuns == 1 && progress.rejections == 0 && !firstEventOverdue;
  }

  void recordFirstEvent() {
    if (progress.firstEventSeen) {
      return;
    }
    progress.firstEventSeen = true;
    Route matchedRoute = route;
    if (matchedRoute != null) {
      firstEventOverdue =
          MonotonicClock.millis() - arrivedMillis > matchedRoute.latencyTargetMillis();
      if (firstEventOverdue) {
        trace.addLine("first_event_late").with("target_millis", matchedRoute.latencyTargetMillis());
      }
      forwarder
          .metrics()
          .firstEventSeconds
          .labelValues(matchedRoute.name())
          .observe((MonotonicClock.millis() - arrivedMillis) / 1_000.0);
    }
  }
}
