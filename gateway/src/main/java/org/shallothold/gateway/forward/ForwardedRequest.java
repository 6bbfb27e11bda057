package org.shallothold.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.util.concurrent.ScheduledFuture;
import java.util.HashSet;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.placement.DispatchQueue;
import org.shallothold.core.placement.EngineAdmission;
import org.shallothold.core.placement.EngineEstimator;
import org.shallothold.core.placement.PauseSampler;
import org.shallothold.core.placement.Placement;
import org.shallothold.core.placement.RequestProfile;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.route.CallKind;
import org.shallothold.core.route.CustomerIdentity;
import org.shallothold.core.route.Rank;
import org.shallothold.core.route.Route;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.core.stream.EventFramer;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.gateway.forward.backend.BackendListener;
import org.shallothold.gateway.forward.backend.BackendPool;
import org.shallothold.gateway.forward.caller.CallerExchange;
import org.shallothold.gateway.forward.caller.CallerRequest;
import org.shallothold.gateway.forward.caller.CallerRequestListener;
import org.shallothold.gateway.forward.caller.Refusal;
import org.shallothold.gateway.forward.port.BackendRequestMetadata;
import org.shallothold.gateway.forward.port.RequestMetadata;
import org.shallothold.gateway.forward.port.ResponseMetadata;

/**
 * One request of a caller from its arrival to its end: which server it goes to, whether it may go
 * to another one, and what the caller is told. Owned by the event loop.
 */
final class ForwardedRequest implements CallerRequestListener, DispatchQueue.Entry {

  /** Answers of plain services larger than this are not held back until they are whole. */
  private static final int MAX_HELD_ANSWER_BYTES = 8 * 1024 * 1024;

  // Events of a stream hold a few tokens each.
  private static final int MAX_EVENT_BYTES = 1024 * 1024;

  // A gateway that just started reads the configuration within this time if the platform answers;
  // a refused caller may have no attempt left.
  private static final long START_WAIT_MILLIS = 1_000;
  // Leaves the caller time for another gateway.
  private static final long START_WAIT_DIVISOR = 3;
  private static final long START_POLL_MILLIS = 10;
  private static final long NOT_CONFIGURED_RETRY_MILLIS = 500;
  private static final long NO_SERVER_RETRY_MILLIS = 400;
  // Another gateway can take it at once.
  private static final long OTHER_GATEWAY_RETRY_MILLIS = 20;
  // Below this a repeat can't be answered in time any more.
  private static final long MIN_REPEAT_MILLIS = 20;
  // A server that rejects a request says so at once, so a few more can be asked.
  private static final int MAX_REJECTIONS = 3;

  private final Forwarder forwarder;
  private final long number;
  private final CallerRequest request;
  private final CallerExchange caller;
  private final long arrivedMillis;
  private final RequestMetadata facts;
  private final RequestTrace trace;
  private final Set<String> triedServers = new HashSet<>();

  private @Nullable Route route;
  private @Nullable CustomerIdentity customer;
  private RequestProfile work = RequestProfile.ofPlainService(Rank.of(0), 0);
  private long deadlineMillis;
  private @Nullable Attempt attempt;
  private @Nullable String queuedAt;
  private int runs;
  private int rejections;
  private boolean ended;
  private boolean streamBegun;
  private boolean firstEventSeen;
  private boolean late;
  private long lastEventId;
  private boolean callerGone;
  private @Nullable ScheduledFuture<?> timer;

  ForwardedRequest(Forwarder forwarder, long number, CallerRequest request, CallerExchange caller) {
    this.forwarder = forwarder;
    this.number = number;
    this.request = request;
    this.caller = caller;
    this.arrivedMillis = TimeUnit.NANOSECONDS.toMillis(request.arrivedNanos());
    this.facts = forwarder.translation().readRequest(request.head());
    this.lastEventId = facts.lastEventId();
    String id = facts.requestId();
    this.trace = forwarder.trace(id == null ? "unnamed-" + number : id, arrivedMillis);
  }

  void start() {
    if (ended) {
      return;
    }
    if (forwarder.isRefusing()) {
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(ReasonCode.GATEWAY_LEAVING, OTHER_GATEWAY_RETRY_MILLIS));
      return;
    }
    if (!forwarder.state().isKnown() && waitedMillis() < longestStartWaitMillis()) {
      forwarder.eventLoop().schedule(this::start, START_POLL_MILLIS, TimeUnit.MILLISECONDS);
      return;
    }
    Optional<RouteConfiguration> configuration = forwarder.state().configuration();
    if (configuration.isEmpty()) {
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(ReasonCode.NOT_CONFIGURED, NOT_CONFIGURED_RETRY_MILLIS));
      return;
    }
    Route found = findRoute(configuration.get());
    if (found == null) {
      refuse(HttpResponseStatus.NOT_FOUND, Verdict.notRun(ReasonCode.NOT_FOUND));
      return;
    }
    route = found;
    if (configuration.get().keysRequired() && !found.anonymous()) {
      String key = facts.apiKey();
      customer = key == null ? null : configuration.get().customer(key).orElse(null);
      if (customer == null) {
        refuse(HttpResponseStatus.UNAUTHORIZED, Verdict.notRun(ReasonCode.UNAUTHENTICATED));
        return;
      }
    }
    work = describeWork(found);
    long wait = found.timeoutMillis();
    if (facts.timeoutMillis() > 0) {
      wait = Math.min(wait, facts.timeoutMillis());
    }
    deadlineMillis = arrivedMillis + wait;
    trace
        .line("request_taken")
        .with("route", found.name())
        .with("kind", found.kind().name())
        .with("customer", customer == null ? "" : customer.name())
        .with("configuration", configuration.get().version())
        .with("deadline_millis", wait)
        .with("prompt_tokens", work.promptTokens());
    timer =
        forwarder.eventLoop().schedule(this::timedOut, Math.max(0, left()), TimeUnit.MILLISECONDS);
    sendFirst();
  }

  private long waitedMillis() {
    return Clock.millis() - arrivedMillis;
  }

  /** Returns how long the request waits for the first configuration and list of servers. */
  private long longestStartWaitMillis() {
    return facts.timeoutMillis() > 0
        ? Math.min(START_WAIT_MILLIS, facts.timeoutMillis() / START_WAIT_DIVISOR)
        : START_WAIT_MILLIS;
  }

  @Override
  public void callerDisconnected() {
    if (ended) {
      return;
    }
    callerGone = true;
    trace.line("caller_left");
    Attempt current = attempt;
    Route known = route;
    if (current != null && known != null && known.kind() == CallKind.ONCE && current.sent) {
      // The server acts on the request in any case; closing would only hide the outcome from it.
      return;
    }
    if (current != null) {
      current.abandon();
    }
    end("caller_left", "", false);
  }

  @Override
  public void writabilityChanged() {
    Attempt current = attempt;
    if (current != null) {
      current.exchange.setAutoRead(caller.isWritable());
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

  private RequestProfile describeWork(Route found) {
    Rank rank = customer == null ? Rank.of(found.priority()) : customer.rankOn(found);
    if (facts.promptTokens() == 0) {
      return RequestProfile.ofPlainService(rank, found.latencyTargetMillis());
    }
    int output =
        facts.expectedOutputTokens() > 0 ? facts.expectedOutputTokens() : facts.maxOutputTokens();
    return new RequestProfile(
        facts.promptParts(),
        facts.promptTokens(),
        output,
        rank,
        found.latencyTargetMillis(),
        found.pauseTargetMillis());
  }

  private void sendFirst() {
    Route known = route;
    if (known == null) {
      return;
    }
    String service = known.selectService(ThreadLocalRandom.current().nextDouble());
    forwarder.requestArrived(service, this);
    submit(service);
  }

  private void submit(String service) {
    queuedAt = service;
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

  /** Returns the request as it asks for an engine. */
  EngineAdmission.AdmissionRequest applicant(long nowMillis) {
    return new EngineAdmission.AdmissionRequest(work, nowMillis - arrivedMillis, left(), runs > 0);
  }

  /** Returns whether the request was sent to a server before. */
  boolean hasTried(String serverId) {
    return triedServers.contains(serverId);
  }

  /** Sends the request to a server. */
  void sendTo(String service, Placement placement) {
    queuedAt = null;
    attempt = new Attempt(service, placement);
    attempt.start();
  }

  /** Refuses the request, of which nothing ran, since the engines have too much to read. */
  void refuseForLoad(long retryAfterMillis) {
    queuedAt = null;
    refuse(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        Verdict.notRun(ReasonCode.QUEUE_FULL, retryAfterMillis));
  }

  /** Sends the request to another server if it may still run, or else ends it. */
  private void sendAgain(String service, ReasonCode cause, boolean repeatCosts) {
    if (ended) {
      return;
    }
    Route known = route;
    if (callerGone || known == null) {
      end("caller_left", cause.code(), false);
      return;
    }
    boolean mayRun = runs == 0 || (known.kind().repeatable() && runs < known.maxAttempts());
    if (!mayRun || left() < MIN_REPEAT_MILLIS || rejections > MAX_REJECTIONS) {
      giveUp(cause);
      return;
    }
    if (repeatCosts && !forwarder.tryRepeat(service)) {
      trace.line("repeat_denied").with("service", service);
      giveUp(cause);
      return;
    }
    submit(serviceNow(known, service));
  }

  /** Returns the service by the configuration in force now, which may have moved the route. */
  private String serviceNow(Route known, String service) {
    Route current = forwarder.state().configuration().map(this::findRoute).orElse(null);
    if (current == null || current.hasService(service)) {
      return service;
    }
    route = current.kind() == known.kind() ? current : known;
    return current.selectService(ThreadLocalRandom.current().nextDouble());
  }

  /** Ends the request without another attempt. */
  void giveUp(ReasonCode cause) {
    if (streamBegun) {
      end("broken", cause.code(), false);
      caller.abort();
    } else if (runs == 0) {
      Route known = route;
      long closed = known == null ? 0 : closedMillis(known);
      refuse(
          HttpResponseStatus.SERVICE_UNAVAILABLE,
          Verdict.notRun(cause, Math.max(closed, NO_SERVER_RETRY_MILLIS)));
    } else {
      refuse(HttpResponseStatus.BAD_GATEWAY, Verdict.mayHaveRun(cause));
    }
  }

  /** Returns how long the servers of the route want nothing more. */
  private long closedMillis(Route known) {
    return known.services().stream()
        .mapToLong(share -> forwarder.queue(share.service()).closedMillis())
        .min()
        .orElse(0);
  }

  private void timedOut() {
    if (ended) {
      return;
    }
    Attempt current = attempt;
    boolean ran = runs > 0;
    if (current != null) {
      current.abandon();
      // One slow request says nothing of a server that answers others meanwhile.
      if (current.sent && current.server.silentSince(current.sentMillis)) {
        current.server.recordUnreachable(Clock.millis());
      }
    }
    if (callerGone) {
      end("caller_left", ReasonCode.DEADLINE.code(), false);
    } else if (streamBegun) {
      end("broken", ReasonCode.DEADLINE.code(), false);
      caller.abort();
    } else if (ran) {
      refuse(HttpResponseStatus.GATEWAY_TIMEOUT, Verdict.mayHaveRun(ReasonCode.DEADLINE));
    } else {
      refuse(HttpResponseStatus.SERVICE_UNAVAILABLE, Verdict.notRun(ReasonCode.DEADLINE));
    }
  }

  private void refuse(HttpResponseStatus status, Verdict verdict) {
    Refusal refusal = Refusal.of(status, verdict);
    String cause = verdict.cause().map(ReasonCode::code).orElse("");
    trace
        .line("request_refused")
        .with("status", status.code())
        .with("verdict", verdict.wireName())
        .with("cause", cause)
        .with("runs", runs)
        .with("rejections", rejections);
    end(verdict.wireName(), cause, false);
    caller.sendResponse(refusal.status(), refusal.headers(), refusal.body());
  }

  private void end(String outcome, String cause, boolean ordinary) {
    if (ended) {
      return;
    }
    ended = true;
    String queue = queuedAt;
    if (queue != null) {
      forwarder.queue(queue).remove(this);
    }
    if (timer != null) {
      timer.cancel(false);
    }
    request.body().release();
    Route known = route;
    String name = known == null ? "" : known.name();
    forwarder.metrics().requests.labelValues(name, outcome, cause).inc();
    forwarder.metrics().total.labelValues(name).observe((Clock.millis() - arrivedMillis) / 1_000.0);
    trace.line("request_ended").with("outcome", outcome).with("cause", cause);
    trace.end(ordinary);
    forwarder.ended(this);
  }

  /** Returns whether nothing about the request is worth a line. */
  private boolean isOrdinary() {
    return runs == 1 && rejections == 0 && !late;
  }

  private void noteFirstEvent() {
    if (firstEventSeen) {
      return;
    }
    firstEventSeen = true;
    Route known = route;
    if (known != null) {
      late = Clock.millis() - arrivedMillis > known.latencyTargetMillis();
      if (late) {
        trace.line("first_event_late").with("target_millis", known.latencyTargetMillis());
      }
      forwarder
          .metrics()
          .firstEvent
          .labelValues(known.name())
          .observe((Clock.millis() - arrivedMillis) / 1_000.0);
    }
  }

  private long left() {
    return deadlineMillis - Clock.millis();
  }

  /** One send to one server. */
  private final class Attempt implements BackendListener {

    private final String service;
    private final Placement placement;
    private final TrackedServer server;
    private final long key = number;
    private BackendPool.Exchange exchange = BackendPool.Exchange.none();
    private boolean sent;
    private long sentMillis;
    private boolean over;
    private @Nullable HttpResponse head;
    private @Nullable ResponseMetadata answerFacts;
    private @Nullable ByteBuf held;
    private final EventFramer framer = EventFramer.create();
    private final PauseSampler pauses = PauseSampler.create();
    private boolean streaming;

    Attempt(String service, Placement placement) {
      this.service = service;
      this.placement = placement;
      this.server = placement.server();
    }

    void start() {
      String serverId = server.entry().id();
      triedServers.add(serverId);
      trace
          .line("server_chosen")
          .with("service", service)
          .with("server", serverId)
          .with("expected_millis", Math.round(placement.expectedMillis()))
          .with("backlog_millis", Math.round(placement.backlogMillis()))
          .with("cached_tokens", placement.cachedTokens())
          .with("cache_source", cacheSourceAddress() == null ? "" : cacheSourceAddress())
          .with("open_requests", server.openRequests(Clock.millis()))
          .with("run", runs + 1L);
      server.recordSent(
          key, work, placement.prefillMillis(), placement.pauseSensitive(), Clock.millis());
      noteReads(serverId);
      if (placement.prefillMillis() > 0) {
        forwarder.workSent(serverId);
      }
      exchange =
          forwarder.state().pool(server.entry()).send(backendRequest(serverId), requestId(), this);
    }

    private String requestId() {
      String id = facts.requestId();
      return id == null ? "" : id;
    }

    private @Nullable String cacheSourceAddress() {
      TrackedServer source = placement.cacheSource();
      return source == null ? null : source.entry().host() + ":" + source.entry().port();
    }

    private FullHttpRequest backendRequest(String serverId) {
      BackendRequestMetadata sendFacts =
          new BackendRequestMetadata(
              serverId,
              Math.max(1, left()),
              forwarder.urgencyLevel(service, work.rank()),
              customer == null ? null : customer.name(),
              lastEventId,
              cacheSourceAddress());
      HttpHeaders headers = forwarder.translation().toBackendHeaders(request.head(), sendFacts);
      ByteBuf body = request.body().retainedDuplicate();
      if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
        headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
      }
      return new DefaultFullHttpRequest(
          HttpVersion.HTTP_1_1,
          request.head().method(),
          request.head().uri(),
          body,
          headers,
          new DefaultHttpHeaders());
    }

    private void noteReads(String serverId) {
      long[] chain = work.chainHashes();
      for (int i = 0; i + 1 < chain.length; i++) {
        forwarder.prefixReads().add(serverId, chain[i], work.parts().get(i).tokens());
      }
    }

    @Override
    public void sending() {
      sent = true;
      sentMillis = Clock.millis();
      runs++;
    }

    @Override
    public void headReceived(HttpResponse answerHead, ResponseMetadata answered) {
      if (over) {
        return;
      }
      head = answerHead;
      answerFacts = answered;
      server.recordBytesReceived(Clock.millis());
      if (answered.runningRequests() >= 0) {
        server.recordReportedLoad(
            answered.runningRequests(), answered.waitingRequests(), Clock.millis());
      }
      if (answered.leaving()) {
        forwarder
            .state()
            .leaving(server.entry().id(), server.entry().startedMillis(), "own answer");
      }
      if (answered.retryAfterMillis() > 0) {
        server.recordClosedUntil(Clock.millis() + answered.retryAfterMillis());
        trace
            .line("server_wants_pause")
            .with("server", server.entry().id())
            .with("pause_millis", answered.retryAfterMillis());
      }
      Route known = route;
      streaming =
          known != null
              && known.kind().streaming()
              && answerHead.status().code() == HttpResponseStatus.OK.code()
              && answered.signed();
      if (streaming && !streamBegun) {
        streamBegun = true;
        caller.beginStream(
            answerHead.status(), forwarder.translation().toCallerHeaders(answerHead));
      }
    }

    @Override
    public void contentReceived(ByteBuf content) {
      if (over) {
        return;
      }
      if (!streaming) {
        ByteBuf all = held == null ? Unpooled.buffer(content.readableBytes()) : held;
        held = all;
        if (all.readableBytes() + content.readableBytes() > MAX_HELD_ANSWER_BYTES) {
          breakOff("the answer is larger than " + MAX_HELD_ANSWER_BYTES + " bytes");
          return;
        }
        all.writeBytes(content);
        return;
      }
      forwardEvents(content);
    }

    /** Forwards whole events only, so that another run can continue after the last one. */
    private void forwardEvents(ByteBuf content) {
      ByteBuf pending = held == null ? Unpooled.buffer(content.readableBytes()) : held;
      held = pending;
      int scanned = pending.writerIndex();
      pending.writeBytes(content);
      ByteBuf whole = Unpooled.buffer(pending.readableBytes());
      int events = 0;
      for (int i = scanned; i < pending.writerIndex(); i++) {
        if (!framer.accept(pending.getByte(i))) {
          continue;
        }
        long id = framer.lastEventId();
        if (missesEvents(id)) {
          whole.release();
          breakOff("event " + id + " came after " + lastEventId);
          return;
        }
        int length = i + 1 - pending.readerIndex();
        events++;
        if (id > lastEventId || id == EventFramer.NO_EVENT_ID) {
          whole.writeBytes(pending, length);
          lastEventId = Math.max(lastEventId, id);
        } else {
          pending.skipBytes(length);
        }
      }
      pending.discardReadBytes();
      passOn(whole, events);
      if (!over && pending.readableBytes() > MAX_EVENT_BYTES) {
        breakOff("an event is larger than " + MAX_EVENT_BYTES + " bytes");
      }
    }

    private void passOn(ByteBuf whole, int events) {
      if (!whole.isReadable()) {
        whole.release();
        return;
      }
      server.recordFirstEvent(key, placement.expectedMillis(), Clock.millis());
      measure(events);
      if (!firstEventSeen) {
        forwarder.workDone(server.entry().id());
        noteFirstEvent();
        forwarder.queue(service).dispatch();
      }
      caller.sendEvents(whole);
      if (!caller.isWritable()) {
        exchange.setAutoRead(false);
      }
    }

    /** Closes the server's connection in the middle of an answer that can't be used. */
    private void breakOff(String reason) {
      exchange.abandon();
      failed(reason, false);
    }

    /** Learns from the time at which events arrived how fast the engine is. */
    private void measure(int events) {
      Optional<EngineEstimator> known = forwarder.queue(service).estimator();
      if (known.isEmpty()) {
        return;
      }
      long now = Clock.millis();
      EngineEstimator estimator = known.get();
      boolean readAsUsual = placement.cacheSource() == null && server.relativeSlowness() <= 1;
      if (!firstEventSeen && runs == 1 && readAsUsual) {
        estimator.recordFirstEvent(
            work.promptTokens(),
            placement.cachedTokens(),
            placement.backlogMillis(),
            (double) (now - sentMillis));
      }
      pauses.recordEvents(events, server, estimator, now);
    }

    /** Returns whether a run that goes on from another one left events out. */
    private boolean missesEvents(long id) {
      return firstEventSeen && id != EventFramer.NO_EVENT_ID && id > lastEventId + 1;
    }

    @Override
    public void completed() {
      if (over) {
        return;
      }
      over = true;
      HttpResponse answerHead = head;
      ResponseMetadata answered = answerFacts;
      if (answerHead == null || answered == null) {
        return;
      }
      server.recordFirstEvent(key, placement.expectedMillis(), Clock.millis());
      server.recordEnd(key);
      forwarder.workDone(server.entry().id());
      if (streaming) {
        endStream();
      } else {
        endWhole(answerHead, answered);
      }
    }

    private void endStream() {
      boolean cut = held != null && held.isReadable();
      releaseHeld();
      if (cut) {
        fail("the stream ended within an event");
        return;
      }
      server.recordSuccess();
      result("stream_ended");
      finish();
      caller.endStream();
    }

    private void finish() {
      ForwardedRequest.this.end("completed", "", isOrdinary());
    }

    private void endWhole(HttpResponse answerHead, ResponseMetadata answered) {
      int status = answerHead.status().code();
      Route known = route;
      boolean repeatable = known != null && known.kind().repeatable();
      if (answered.notRun() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
        runs--;
        rejections++;
        result("rejected_" + status);
        releaseHeld();
        sendAgain(service, ReasonCode.NO_SERVER, true);
        return;
      }
      boolean success = status >= 200 && status < 300;
      if (success && !answered.signed()) {
        fail("the answer is not signed");
        return;
      }
      if (success) {
        server.recordSuccess();
      } else {
        server.recordFailure();
      }
      result("status_" + status);
      boolean serverError = status >= 500;
      if (serverError && (repeatable || streamBegun) && mayRepeat()) {
        releaseHeld();
        sendAgain(service, ReasonCode.BACKEND_FAILED, true);
        return;
      }
      if (streamBegun) {
        releaseHeld();
        giveUp(ReasonCode.BACKEND_FAILED);
        return;
      }
      deliver(answerHead, status, repeatable);
    }

    private boolean mayRepeat() {
      Route known = route;
      return known != null
          && known.kind().repeatable()
          && runs < known.maxAttempts()
          && left() >= MIN_REPEAT_MILLIS
          && !callerGone;
    }

    /** Passes the server's answer on. */
    private void deliver(HttpResponse answerHead, int status, boolean repeatable) {
      if (!repeatable && isPromiseOfNoRun(status)) {
        releaseHeld();
        giveUp(ReasonCode.BACKEND_FAILED);
        return;
      }
      noteFirstEvent();
      ByteBuf body = held == null ? Unpooled.EMPTY_BUFFER : held;
      held = null;
      boolean success = status >= 200 && status < 300;
      ForwardedRequest.this.end(
          success ? "completed" : "server_error",
          success ? "" : "status_" + status,
          success && isOrdinary());
      if (callerGone) {
        body.release();
        return;
      }
      caller.sendResponse(
          answerHead.status(), forwarder.translation().toCallerHeaders(answerHead), body);
    }

    private static boolean isPromiseOfNoRun(int status) {
      return status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
          || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
          || status == HttpResponseStatus.REQUEST_TIMEOUT.code();
    }

    @Override
    public void failed(String reason, boolean neverSent) {
      if (over) {
        return;
      }
      over = true;
      server.recordEnd(key);
      releaseHeld();
      if (neverSent) {
        server.recordUnreachable(Clock.millis());
        result("unreachable");
        trace.line("server_unreachable").with("reason", reason);
        sendAgain(service, ReasonCode.NO_SERVER, false);
        return;
      }
      fail(reason);
    }

    private void fail(String reason) {
      releaseHeld();
      server.recordFailure();
      result("failed");
      trace
          .line("answer_failed")
          .with("server", server.entry().id())
          .with("reason", reason)
          .with("last_event", lastEventId);
      sendAgain(service, ReasonCode.BACKEND_FAILED, true);
    }

    void abandon() {
      if (over) {
        return;
      }
      over = true;
      server.recordEnd(key);
      releaseHeld();
      exchange.abandon();
    }

    private void releaseHeld() {
      if (held != null) {
        held.release();
        held = null;
      }
    }

    private void result(String name) {
      forwarder.metrics().attempts.labelValues(service, name).inc();
    }
  }
}
