package org.shallothold.gateway.forward;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.util.List;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.placement.EngineEstimator;
import org.shallothold.core.placement.PauseSampler;
import org.shallothold.core.placement.Placement;
import org.shallothold.core.placement.RequestProfile;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.route.CustomerIdentity;
import org.shallothold.core.route.Route;
import org.shallothold.core.stream.EventFramer;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.gateway.forward.backend.BackendListener;
import org.shallothold.gateway.forward.backend.BackendPool;
import org.shallothold.gateway.forward.caller.CallerExchange;
import org.shallothold.gateway.forward.port.BackendRequestMetadata;
import org.shallothold.gateway.forward.port.ResponseMetadata;
import org.shallothold.runtime.logging.LogLine;

/**
 * One attempt to run a request at one backend server. Created by the request, which it tells of its
 * outcome; owned by the event loop.
 */
final class Attempt implements BackendListener {

  // Whole responses are buffered before they are forwarded; a larger one fails the attempt.
  private static final int MAX_BUFFERED_RESPONSE_BYTES = 8 * 1024 * 1024;
  // Far above the size of usual events, which hold a few tokens each.
  private static final int MAX_EVENT_BYTES = 1024 * 1024;
  // A server that sends so many events survived the beginning of its answer.
  private static final int EVENTS_OF_SUCCESS = 2;

  private final ForwardedRequest owner;
  private final Forwarder forwarder;
  private final RequestProgress progress;
  private final RequestTrace trace;
  private final RequestProfile work;
  private final CallerExchange caller;
  private final String service;
  private final Placement placement;
  private final TrackedServer server;
  private final long requestKey;
  private BackendPool.Exchange exchange = BackendPool.Exchange.none();
  private boolean sent;
  private long sentMillis;
  private boolean done;
  private boolean endChecked;
  private @Nullable HttpResponse head;
  private @Nullable ResponseMetadata receivedFacts;
  private @Nullable ByteBuf buffered;
  private final MemoryBudget.Reservation bufferMemory;
  private final EventFramer framer = EventFramer.create();
  private final PauseSampler pauseSampler = PauseSampler.create();
  private boolean streaming;
  private boolean connectionDelimited;
  private int eventsReceived;

  Attempt(ForwardedRequest owner, Forwarder forwarder, String service, Placement placement) {
    this.owner = owner;
    this.forwarder = forwarder;
    this.progress = owner.progress();
    this.trace = owner.trace();
    this.work = owner.profile();
    this.caller = owner.caller();
    this.requestKey = owner.number();
    this.bufferMemory = forwarder.memory().reserveSheddable(this::shed);
    this.service = service;
    this.placement = placement;
    this.server = placement.server();
  }

  void start() {
    String serverId = server.entry().id();
    owner.triedServers().add(serverId);
    LogLine chosen =
        trace
            .addLine("server_chosen")
            .with("service", service)
            .with("server", serverId)
            .with("expected_millis", Math.round(placement.expectedMillis()))
            .with("backlog_millis", Math.round(placement.backlogMillis()))
            .with("cached_tokens", placement.cachedTokens())
            .with("cache_source", cacheSourceAddress() == null ? "" : cacheSourceAddress())
            .with("speed_percent", Math.round(placement.speedFactor() * 100))
            .with("open_requests", server.openRequests(MonotonicClock.millis()));
    forwarder.rateLimits().describe(chosen, server.entry()).with("run", progress.possibleRuns + 1L);
    server.recordSent(
        requestKey,
        work,
        placement.prefillMillis(),
        placement.pauseSensitive(),
        MonotonicClock.millis());
    addDecodeDemand();
    forwarder.rateLimits().recordSend(server);
    forwarder.state().rampUps().sent(serverId, requestKey, placement.expectedMillis());
    recordPrefixReads(serverId);
    if (placement.prefillMillis() > 0) {
      forwarder.workAdded(serverId);
    }
    exchange =
        forwarder.state().pool(server.entry()).send(backendRequest(serverId), requestId(), this);
  }

  private void addDecodeDemand() {
    Route matchedRoute = owner.route();
    if (matchedRoute != null && matchedRoute.kind().streaming() && work.promptTokens() > 0) {
      server.decodeDemand().add(requestKey, owner.outputEstimate(), owner.deadlineMillis());
    }
  }

  private String requestId() {
    String id = owner.metadata().requestId();
    return id == null ? "" : id;
  }

  private @Nullable String cacheSourceAddress() {
    TrackedServer source = placement.cacheSource();
    return source == null ? null : source.entry().host() + ":" + source.entry().port();
  }

  private FullHttpRequest backendRequest(String serverId) {
    CustomerIdentity customer = owner.customer();
    BackendRequestMetadata sendFacts =
        new BackendRequestMetadata(
            serverId,
            Math.max(1, owner.remainingMillis()),
            forwarder.urgencyLevel(service, work.rank()),
            customer == null ? null : customer.name(),
            progress.lastEventId,
            cacheSourceAddress());
    HttpHeaders headers =
        forwarder.translation().toBackendHeaders(owner.request().head(), sendFacts);
    ByteBuf body = owner.request().body().retainedDuplicate();
    if (body.isReadable() || headers.contains(HttpHeaderNames.CONTENT_LENGTH)) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, body.readableBytes());
    }
    return new DefaultFullHttpRequest(
        HttpVersion.HTTP_1_1,
        owner.request().head().method(),
        owner.request().head().uri(),
        body,
        headers,
        new DefaultHttpHeaders());
  }

  private void recordPrefixReads(String serverId) {
    long[] chain = work.chainHashes();
    for (int i = 0; i + 1 < chain.length; i++) {
      forwarder.prefixReads().add(serverId, chain[i], work.parts().get(i).tokens());
    }
  }

  @Override
  public void sending() {
    forwarder.promptParts().recordSend(requestKey);
    sent = true;
    sentMillis = MonotonicClock.millis();
    progress.possibleRuns++;
  }

  @Override
  public void headReceived(HttpResponse responseHead, ResponseMetadata responseFacts) {
    if (done) {
      return;
    }
    head = responseHead;
    connectionDelimited = isConnectionDelimited(responseHead);
    receivedFacts = responseFacts;
    server.recordBytesReceived(MonotonicClock.millis());
    if (responseHead.status().code() != HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      // Otherwise another server at the same address responded and speaks of itself.
      recordStatements(responseFacts);
    }
    Route matchedRoute = owner.route();
    streaming =
        matchedRoute != null
            && matchedRoute.kind().streaming()
            && responseHead.status().code() == HttpResponseStatus.OK.code()
            && responseFacts.signed();
  }

  /** Returns whether only the end of the connection ends the response. */
  private boolean isConnectionDelimited(HttpResponse responseHead) {
    int status = responseHead.status().code();
    boolean withoutBody =
        status == HttpResponseStatus.NO_CONTENT.code()
            || status == HttpResponseStatus.NOT_MODIFIED.code()
            || owner.request().head().method().equals(HttpMethod.HEAD);
    return !withoutBody
        && !HttpUtil.isTransferEncodingChunked(responseHead)
        && !HttpUtil.isContentLengthSet(responseHead);
  }

  /** Records what the server states about itself. */
  private void recordStatements(ResponseMetadata responseFacts) {
    if (responseFacts.runningRequests() >= 0) {
      server.recordReportedLoad(
          responseFacts.runningRequests(),
          responseFacts.waitingRequests(),
          MonotonicClock.millis());
    }
    if (responseFacts.momentaryPercent() > 0) {
      server.recordMomentarySlowness(responseFacts.momentaryPercent(), MonotonicClock.millis());
      forwarder.metrics().momentarySlowness.labelValues(service).inc();
    }
    if (responseFacts.leaving()) {
      forwarder
          .state()
          .recordLeaving(server.entry().id(), server.entry().startedMillis(), "server response");
    }
    forwarder
        .state()
        .recordRateStatement(server.entry(), responseFacts.rateStatement(), sentMillis);
    forwarder.state().coldStarts().responseRead(server.entry(), responseFacts.coldFigure());
    if (responseFacts.retryAfterMillis() > 0) {
      forwarder
          .state()
          .recordBackoff(server, MonotonicClock.millis() + responseFacts.retryAfterMillis());
      trace
          .addLine("server_wants_pause")
          .with("server", server.entry().id())
          .with("pause_millis", responseFacts.retryAfterMillis());
    }
  }

  @Override
  public void contentReceived(ByteBuf content) {
    if (done) {
      return;
    }
    server.recordBytesReceived(MonotonicClock.millis());
    ByteBuf received = buffered == null ? Unpooled.buffer(content.readableBytes()) : buffered;
    buffered = received;
    if (!streaming
        && received.readableBytes() + content.readableBytes() > MAX_BUFFERED_RESPONSE_BYTES) {
      abortResponse("the response is larger than " + MAX_BUFFERED_RESPONSE_BYTES + " bytes");
      return;
    }
    if (!bufferMemory.resize(capacityFor(received, content.readableBytes()))) {
      shed();
      return;
    }
    if (streaming) {
      forwardEvents(received, content);
    } else {
      received.writeBytes(content);
    }
  }

  /** Returns the capacity that the buffer has after a number of bytes were written to it. */
  private static int capacityFor(ByteBuf buffer, int additionalBytes) {
    int required = buffer.writerIndex() + additionalBytes;
    return required <= buffer.capacity()
        ? buffer.capacity()
        : buffer.alloc().calculateNewCapacity(required, buffer.maxCapacity());
  }

  /**
   * Gives up the response because the memory for buffers is used up. Fails the attempt later, since
   * the memory may be needed while another response is being read.
   */
  private void shed() {
    if (done) {
      return;
    }
    forwarder.bufferShed(service, server.entry().id(), trace, bufferedBytes());
    releaseBuffered();
    exchange.abandon();
    forwarder.eventLoop().execute(() -> failed("the memory for buffers is used up", false));
  }

  private int bufferedBytes() {
    return buffered == null ? 0 : buffered.readableBytes();
  }

  /**
   * Forwards complete events only, so that another attempt can resume after the last of them.
   * Events that the caller already received from an earlier attempt are dropped.
   */
  private void forwardEvents(ByteBuf pending, ByteBuf content) {
    int scanStart = pending.writerIndex();
    pending.writeBytes(content);
    ByteBuf completeEvents = Unpooled.buffer(pending.readableBytes());
    int events = 0;
    for (int i = scanStart; i < pending.writerIndex(); i++) {
      if (!framer.accept(pending.getByte(i))) {
        continue;
      }
      long id = framer.lastEventId();
      if (hasGap(id)) {
        // They count as forwarded, so that another attempt goes on behind them.
        forwardToCaller(completeEvents, events);
        abortResponse("event " + id + " followed event " + progress.lastEventId);
        return;
      }
      int length = i + 1 - pending.readerIndex();
      events++;
      eventsReceived++;
      if (id > progress.lastEventId || id == EventFramer.NO_EVENT_ID) {
        completeEvents.writeBytes(pending, length);
        progress.lastEventId = Math.max(progress.lastEventId, id);
      } else {
        pending.skipBytes(length);
      }
    }
    pending.discardReadBytes();
    if (eventsReceived >= EVENTS_OF_SUCCESS && eventsReceived - events < EVENTS_OF_SUCCESS) {
      forwarder.promptParts().recordSuccess(owner.sharedPartIds());
    }
    forwardToCaller(completeEvents, events);
    if (!done && pending.readableBytes() > MAX_EVENT_BYTES) {
      abortResponse("an event is larger than " + MAX_EVENT_BYTES + " bytes");
    }
  }

  private void forwardToCaller(ByteBuf completeEvents, int events) {
    HttpResponse responseHead = head;
    if (!completeEvents.isReadable() || responseHead == null) {
      completeEvents.release();
      return;
    }
    beginStream(responseHead);
    server.recordFirstEvent(requestKey, placement.expectedMillis(), MonotonicClock.millis());
    forwarder.state().rampUps().firstEvent(server.entry().id(), requestKey);
    updateEstimates(events);
    if (!progress.firstEventSeen) {
      forwarder.workRemoved(server.entry().id());
      owner.recordFirstEvent();
      forwarder.queue(service).dispatch();
    }
    caller.sendEvents(completeEvents);
    if (!caller.isWritable()) {
      exchange.setAutoRead(false);
    }
  }

  /**
   * Sends the head of the stream unless the caller has one. Not called before there are events to
   * forward or the stream is complete: until then the request can still be refused with a status.
   */
  private void beginStream(HttpResponse responseHead) {
    if (progress.streamStarted) {
      return;
    }
    progress.streamStarted = true;
    caller.beginStream(
        responseHead.status(), forwarder.translation().toCallerHeaders(responseHead));
  }

  /**
   * Closes the connection to the server because its response can't be used, and fails the attempt.
   */
  private void abortResponse(String reason) {
    exchange.abandon();
    failed(reason, false);
  }

  /** Updates the estimate of the engines' speed from the arrival time of events. */
  private void updateEstimates(int events) {
    Optional<EngineEstimator> engineEstimator = forwarder.queue(service).estimator();
    if (engineEstimator.isEmpty()) {
      return;
    }
    long nowMillis = MonotonicClock.millis();
    EngineEstimator estimator = engineEstimator.get();
    boolean isTypicalPrefill = placement.cacheSource() == null && server.relativeSlowness() <= 1;
    if (!progress.firstEventSeen && progress.possibleRuns == 1 && isTypicalPrefill) {
      estimator.recordFirstEvent(
          work.promptTokens(),
          placement.cachedTokens(),
          placement.backlogMillis(),
          (nowMillis - sentMillis) / server.speed().factor(nowMillis));
    }
    pauseSampler.recordEvents(events, server, estimator, nowMillis);
    server.decodeDemand().recordProduced(requestKey, producedTokens(estimator));
  }

  /** Returns the tokens of the stream that have arrived, including those of earlier attempts. */
  private int producedTokens(EngineEstimator estimator) {
    long events = Math.max(eventsReceived, progress.lastEventId + 1);
    return (int) Math.min(Integer.MAX_VALUE, events * (long) estimator.timings().tokensPerEvent());
  }

  /** Records the length of a stream that has finished or was cut by its deadline. */
  void recordOutputLength() {
    Route matchedRoute = owner.route();
    if (matchedRoute == null || !streaming || eventsReceived == 0) {
      return;
    }
    forwarder
        .queue(service)
        .estimator()
        .ifPresent(
            estimator ->
                forwarder.outputLengths().record(matchedRoute.name(), producedTokens(estimator)));
  }

  /** Returns whether events between the last one forwarded and the given one are missing. */
  private boolean hasGap(long id) {
    return progress.firstEventSeen
        && id != EventFramer.NO_EVENT_ID
        && id > progress.lastEventId + 1;
  }

  @Override
  public void completed() {
    if (done) {
      return;
    }
    if (connectionDelimited && !endChecked) {
      // The end of the connection is the end of the response only if the server goes on.
      endChecked = true;
      forwarder
          .serverEnds()
          .responseEndedWithConnection(server, partsAtStake(), sentMillis, this::completed);
      return;
    }
    done = true;
    if (connectionDelimited && !forwarder.serverEnds().isAlive(server)) {
      server.recordEnd(requestKey);
      fail("the connection ended, and the server is not known to go on");
      return;
    }
    HttpResponse responseHead = head;
    ResponseMetadata responseFacts = receivedFacts;
    if (responseHead == null || responseFacts == null) {
      return;
    }
    server.recordFirstEvent(requestKey, placement.expectedMillis(), MonotonicClock.millis());
    server.recordEnd(requestKey);
    forwarder.queue(service).answered(MonotonicClock.millis() - sentMillis);
    forwarder.workRemoved(server.entry().id());
    if (streaming) {
      endStreamedResponse(responseHead);
    } else {
      endBufferedResponse(responseHead, responseFacts);
    }
  }

  private void endStreamedResponse(HttpResponse responseHead) {
    boolean truncated = buffered != null && buffered.isReadable();
    releaseBuffered();
    if (truncated) {
      fail("the stream ended in the middle of an event");
      return;
    }
    if (connectionDelimited && eventsReceived == 0) {
      // Nothing tells it from a server that ends before its first event.
      fail("the connection closed before the first event");
      return;
    }
    server.recordSuccess();
    forwarder.state().rampUps().firstEvent(server.entry().id(), requestKey);
    recordWholeAnswer();
    recordOutputLength();
    countResult("stream_ended");
    completeRequest();
    beginStream(responseHead);
    caller.endStream();
  }

  /**
   * Records the parts of the prompt as sound. A response that ended with its connection is no
   * proof, since its server may have ended too.
   */
  private void recordWholeAnswer() {
    if (!connectionDelimited) {
      forwarder.promptParts().recordSuccess(owner.sharedPartIds());
    }
  }

  private void completeRequest() {
    owner.end(ForwardedRequest.COMPLETED, "", owner.isRoutine());
  }

  private void endBufferedResponse(HttpResponse responseHead, ResponseMetadata responseFacts) {
    int status = responseHead.status().code();
    Route matchedRoute = owner.route();
    boolean repeatable = matchedRoute != null && matchedRoute.kind().repeatable();
    if (responseFacts.notRun() || status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      recordRejection(status);
      progress.possibleRuns--;
      progress.rejections++;
      countResult("rejected_" + status);
      releaseBuffered();
      owner.retry(service, ReasonCode.NO_SERVER, true);
      return;
    }
    boolean success = status >= 200 && status < 300;
    if (success && !responseFacts.signed()) {
      fail("the response is not signed");
      return;
    }
    if (status >= 500) {
      forwarder.state().rampUps().failed(server.entry().id(), requestKey);
    } else {
      forwarder.state().rampUps().firstEvent(server.entry().id(), requestKey);
    }
    if (success) {
      server.recordSuccess();
      recordWholeAnswer();
    } else {
      server.recordFailure();
    }
    countResult("status_" + status);
    boolean serverError = status >= 500;
    if (serverError && (repeatable || progress.streamStarted) && canRetry()) {
      releaseBuffered();
      owner.retry(service, ReasonCode.BACKEND_FAILED, true);
      return;
    }
    if (progress.streamStarted) {
      releaseBuffered();
      owner.failRequest(ReasonCode.BACKEND_FAILED);
      return;
    }
    deliverResponse(responseHead, status, repeatable);
  }

  /** Records that the server did not run the request. */
  private void recordRejection(int status) {
    if (status == HttpResponseStatus.MISDIRECTED_REQUEST.code()) {
      forwarder.state().rampUps().abandoned(server.entry().id(), requestKey);
    } else {
      forwarder.state().rampUps().failed(server.entry().id(), requestKey);
    }
  }

  private boolean canRetry() {
    Route matchedRoute = owner.route();
    return matchedRoute != null
        && matchedRoute.kind().repeatable()
        && progress.possibleRuns < matchedRoute.maxAttempts()
        && owner.remainingMillis() >= ForwardedRequest.MIN_TIME_FOR_RETRY_MILLIS
        && !progress.callerDisconnected;
  }

  /** Forwards the buffered response to the caller. */
  private void deliverResponse(HttpResponse responseHead, int status, boolean repeatable) {
    if (impliesNotRun(status) && (!repeatable || earlierStreamMayHaveRun())) {
      releaseBuffered();
      owner.failRequest(ReasonCode.BACKEND_FAILED);
      return;
    }
    owner.recordFirstEvent();
    ByteBuf body = buffered == null ? Unpooled.EMPTY_BUFFER : buffered;
    buffered = null;
    bufferMemory.close();
    boolean success = status >= 200 && status < 300;
    owner.end(
        success ? ForwardedRequest.COMPLETED : "server_error",
        success ? "" : "status_" + status,
        success && owner.isRoutine());
    if (progress.callerDisconnected) {
      body.release();
      return;
    }
    caller.sendResponse(
        responseHead.status(), forwarder.translation().toCallerHeaders(responseHead), body);
  }

  /** Returns whether the request is for a stream, and another attempt may have run it. */
  private boolean earlierStreamMayHaveRun() {
    Route matchedRoute = owner.route();
    return matchedRoute != null && matchedRoute.kind().streaming() && progress.possibleRuns > 1;
  }

  /**
   * Returns whether a caller would take the status as a promise that the request was not run, which
   * isn't known here.
   */
  private static boolean impliesNotRun(int status) {
    return status == HttpResponseStatus.TOO_MANY_REQUESTS.code()
        || status == HttpResponseStatus.SERVICE_UNAVAILABLE.code()
        || status == HttpResponseStatus.REQUEST_TIMEOUT.code();
  }

  @Override
  public void failed(String reason, boolean neverSent) {
    if (done) {
      return;
    }
    done = true;
    server.recordEnd(requestKey);
    releaseBuffered();
    forwarder.state().rampUps().failed(server.entry().id(), requestKey);
    if (neverSent) {
      forwarder.state().recordUnreachable(server);
      countResult("unreachable");
      trace.addLine("server_unreachable").with("reason", reason);
      owner.retry(service, ReasonCode.NO_SERVER, false);
      return;
    }
    List<Long> partsAtStake = partsAtStake();
    if (partsAtStake.isEmpty()) {
      fail(reason);
      return;
    }
    // Sent again before the end of the server is known, the request could end the next one.
    forwarder.serverEnds().connectionLost(server, partsAtStake, sentMillis, () -> fail(reason));
  }

  /** Returns the shared parts of the prompt if the server had hardly begun to answer it. */
  private List<Long> partsAtStake() {
    return eventsReceived < EVENTS_OF_SUCCESS ? owner.sharedPartIds() : List.of();
  }

  /** Returns whether the server may still end because it begins to answer the request. */
  boolean hasHardlyBegun() {
    return !done && eventsReceived < EVENTS_OF_SUCCESS;
  }

  private void fail(String reason) {
    releaseBuffered();
    if (owner.hasEnded()) {
      return;
    }
    server.recordFailure();
    countResult("failed");
    trace
        .addLine("answer_failed")
        .with("server", server.entry().id())
        .with("reason", reason)
        .with("last_event", progress.lastEventId)
        .with("events", eventsReceived)
        .with("shared_parts", work.sharedPartsText());
    owner.retry(service, ReasonCode.BACKEND_FAILED, true);
  }

  /** Returns whether the request was written to the server, which may have run it. */
  boolean isSent() {
    return sent;
  }

  void setAutoRead(boolean enabled) {
    exchange.setAutoRead(enabled);
  }

  /**
   * Records the server as unreachable if no response to any request came since this one was sent:
   * one slow request alone is no sign of a failed server.
   */
  void recordSilence() {
    if (sent && server.silentSince(sentMillis)) {
      forwarder.state().recordUnreachable(server);
    }
  }

  void abandon() {
    if (done) {
      return;
    }
    done = true;
    server.recordEnd(requestKey);
    forwarder.state().rampUps().abandoned(server.entry().id(), requestKey);
    releaseBuffered();
    exchange.abandon();
  }

  private void releaseBuffered() {
    if (buffered != null) {
      buffered.release();
      buffered = null;
    }
    bufferMemory.close();
  }

  private void countResult(String name) {
    forwarder.metrics().attempts.labelValues(service, name).inc();
  }
}
