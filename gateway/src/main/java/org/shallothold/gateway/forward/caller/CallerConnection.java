package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelOutboundBuffer;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.DefaultHttpContent;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.handler.codec.http.TooLongHttpLineException;
import io.netty.util.ReferenceCountUtil;
import io.netty.util.concurrent.ScheduledFuture;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.gateway.headers.HeaderCounter;
import org.shallothold.gateway.headers.RequestMemoryException;

/**
 * An HTTP/1.1 connection of a caller. Passes on one request at a time and writes its response;
 * pipelined requests wait until the response to the previous one is complete. Not thread-safe; used
 * on the event loop only.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter
    implements CallerExchange, RequestMemoryBudget.Holder {

  // Bounds the memory for a caller that pipelines requests without reading the responses; its
  // connection is closed.
  private static final int MAX_QUEUED_MESSAGES = 1_024;
  // Another gateway probably has memory left.
  private static final long MEMORY_RETRY_AFTER_MILLIS = 100;

  private final CallerService service;
  private final Channel channel;
  private final Deque<Object> queuedMessages = new ArrayDeque<>();
  private final CallerMemory requestMemory;
  private final MemoryBudget.Reservation outputMemory;

  private @Nullable HttpRequest head;
  private @Nullable ByteBuf body;
  private long arrivedNanos;
  private @Nullable CallerRequestListener listener;
  private boolean responsePending;
  private boolean keepAlive = true;
  private boolean closing;
  private boolean droppingRequests;
  private boolean understandsChunks = true;
  private boolean queuedReadScheduled;
  private boolean flushScheduled;
  private long unwrittenAtIdleCheck = Long.MAX_VALUE;
  private @Nullable ScheduledFuture<?> timer;

  CallerConnection(CallerService service, Channel channel) {
    this.service = service;
    this.channel = channel;
    this.requestMemory =
        new CallerMemory(
            service.requestMemory().reserve(addressOf(channel), this),
            service.limits().maxHeaderLines());
    this.outputMemory = service.memory().reserve();
  }

  private static Object addressOf(Channel channel) {
    return channel.remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress()
        : channel.id();
  }

  /** Returns the counter of header lines for the decoder in front of this handler. */
  HeaderCounter headerCounter() {
    return requestMemory;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    startIdleTimer();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (closing || droppingRequests) {
      ReferenceCountUtil.release(message);
    } else if (responsePending || !queuedMessages.isEmpty()) {
      queue(message);
    } else {
      read(message);
    }
  }

  private void queue(Object message) {
    if (queuedMessages.size() >= MAX_QUEUED_MESSAGES
        || !requestMemory.addUnread(contentBytes(message))) {
      ReferenceCountUtil.release(message);
      channel.close();
      return;
    }
    queuedMessages.addLast(message);
  }

  private static int contentBytes(Object message) {
    return message instanceof HttpContent content ? content.content().readableBytes() : 0;
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (listener != null) {
      listener.writabilityChanged();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    closing = true;
    stopTimer();
    releaseRequest();
    releaseQueuedMessages();
    requestMemory.close();
    outputMemory.close();
    CallerRequestListener current = listener;
    listener = null;
    if (current != null) {
      current.callerDisconnected();
    }
  }

  private void releaseQueuedMessages() {
    queuedMessages.forEach(ReferenceCountUtil::release);
    queuedMessages.clear();
  }

  @Override
  public boolean mayHaveRun() {
    CallerRequestListener current = listener;
    return current != null && !pipelinedIsLarger() && current.mayHaveRun();
  }

  /** Returns whether pipelined requests occupy more than the one that is being answered. */
  private boolean pipelinedIsLarger() {
    return requestMemory.unreadBytes() > requestMemory.requestBytes();
  }

  /** Returns whether a request is being answered, as opposed to one being received. */
  boolean isAnswering() {
    return responsePending;
  }

  /** Returns the memory that the connection's requests occupy, in bytes. */
  long requestMemoryBytes() {
    return requestMemory.unreadBytes() + requestMemory.requestBytes();
  }

  /**
   * Gives up the pipelined requests or the one that is being answered, whatever is larger, or else
   * refuses the one that is being received.
   */
  @Override
  public void shed() {
    CallerRequestListener current = listener;
    if (!responsePending) {
      refuseForMemory();
    } else if (pipelinedIsLarger()) {
      dropPipelinedRequests();
    } else if (current != null) {
      requestMemory.restore();
      current.memoryNeeded();
    } else {
      channel.close();
    }
  }

  /** Drops the requests behind the one that is being answered; the caller sees a close after it. */
  private void dropPipelinedRequests() {
    service.requestRejected(ReasonCode.MEMORY_FULL);
    droppingRequests = true;
    keepAlive = false;
    releaseQueuedMessages();
    requestMemory.dropUnread();
  }

  private void refuseForMemory() {
    reject(
        HttpResponseStatus.SERVICE_UNAVAILABLE,
        ReasonCode.MEMORY_FULL,
        Verdict.notRun(ReasonCode.MEMORY_FULL, MEMORY_RETRY_AFTER_MILLIS));
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  /**
   * Closes the connection if no request is being received, queued or answered on it, after the last
   * response is written.
   */
  void closeIfIdle() {
    if (!responsePending && head == null && queuedMessages.isEmpty()) {
      closeAfterWrites();
    }
  }

  private void closeAfterWrites() {
    closing = true;
    channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
    if (unwrittenBytes() > 0) {
      scheduleIdleCheck();
    }
  }

  /** Returns whether a request is being received, queued or answered, or a response written. */
  boolean isBusy() {
    return responsePending || head != null || !queuedMessages.isEmpty() || unwrittenBytes() > 0;
  }

  /** Refuses the request that is being received, because the gateway is about to end. */
  void refuseIncompleteRequest() {
    if (head != null && !responsePending) {
      reject(HttpResponseStatus.SERVICE_UNAVAILABLE, ReasonCode.GATEWAY_LEAVING);
    }
  }

  @Override
  public void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            status,
            content,
            headers,
            new io.netty.handler.codec.http.DefaultHttpHeaders());
    if (!headers.contains(HttpHeaderNames.CONTENT_LENGTH) || content.isReadable()) {
      headers.set(HttpHeaderNames.CONTENT_LENGTH, content.readableBytes());
    }
    setConnectionHeader(response);
    listener = null;
    write(response);
    responseCompleted();
  }

  @Override
  public void beginStream(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    HttpUtil.setTransferEncodingChunked(response, understandsChunks);
    // Without chunks the stream ends with the connection.
    keepAlive &= understandsChunks;
    setConnectionHeader(response);
    channel.write(response);
  }

  /**
   * Sends events at once, unless others were sent before in the same iteration of the event loop;
   * then they are flushed together at its end, since a flush takes longer than all other work for a
   * small event.
   */
  @Override
  public void sendEvents(ByteBuf events) {
    DefaultHttpContent content = new DefaultHttpContent(events);
    if (flushScheduled) {
      accountFor(channel.write(content));
      return;
    }
    write(content);
    flushScheduled = true;
    channel.eventLoop().execute(this::flushEvents);
  }

  private void flushEvents() {
    flushScheduled = false;
    channel.flush();
  }

  private void write(Object message) {
    accountFor(channel.writeAndFlush(message));
  }

  /** Accounts for the memory of what the caller has not read yet. */
  private void accountFor(ChannelFuture written) {
    if (!written.isDone()) {
      updateOutputMemory();
      written.addListener(ignored -> updateOutputMemory());
    }
  }

  private void updateOutputMemory() {
    outputMemory.occupy(unwrittenBytes());
  }

  /** Returns the number of bytes of responses that wait until the caller reads. */
  private long unwrittenBytes() {
    ChannelOutboundBuffer buffer = channel.unsafe().outboundBuffer();
    return buffer == null ? 0 : buffer.totalPendingWriteBytes();
  }

  @Override
  public void endStream() {
    listener = null;
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    responseCompleted();
  }

  @Override
  public void abort() {
    listener = null;
    closing = true;
    channel.flush();
    if (!understandsChunks) {
      // A usual close would look like the end of the response.
      channel.config().setOption(ChannelOption.SO_LINGER, 0);
    }
    channel.close();
  }

  @Override
  public boolean isWritable() {
    return channel.isWritable();
  }

  private void read(Object message) {
    try {
      if (message instanceof HttpRequest request) {
        readHead(request);
      }
      if (message instanceof HttpContent content && !closing) {
        readContent(content);
      }
      if (message instanceof LastHttpContent content) {
        requestMemory.trailersRead(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpRequest request) {
    stopTimer();
    if (request.decoderResult().isFailure()) {
      reject(request.decoderResult().cause());
      return;
    }
    requestMemory.headRead(request);
    if (!RequestFraming.isUnambiguous(request)) {
      reject(HttpResponseStatus.BAD_REQUEST, ReasonCode.MALFORMED_REQUEST);
      return;
    }
    if (HttpUtil.getContentLength(request, 0L) > service.limits().maxBodyBytes()) {
      reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ReasonCode.BODY_TOO_LARGE);
      return;
    }
    if (HttpUtil.is100ContinueExpected(request)) {
      channel.writeAndFlush(
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.CONTINUE, Unpooled.EMPTY_BUFFER));
    }
    head = request;
    arrivedNanos = System.nanoTime();
    startBodyTimer();
  }

  private void readContent(HttpContent content) {
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      reject(content.decoderResult().cause());
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      ByteBuf all = body == null ? channel.alloc().buffer(bytes.readableBytes()) : body;
      body = all;
      int length = all.readableBytes() + bytes.readableBytes();
      if (length > service.limits().maxBodyBytes()) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ReasonCode.BODY_TOO_LARGE);
        return;
      }
      if (!requestMemory.resizeRequest(requestMemory.requestBytes() + bytes.readableBytes())) {
        refuseForMemory();
        return;
      }
      all.writeBytes(bytes);
    }
    if (content instanceof LastHttpContent) {
      submit(request);
    }
  }

  private void submit(HttpRequest request) {
    if (!requestMemory.addCopy(request)) {
      refuseForMemory();
      return;
    }
    stopTimer();
    ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : body;
    head = null;
    body = null;
    responsePending = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    understandsChunks = !request.protocolVersion().equals(HttpVersion.HTTP_1_0);
    CallerRequestListener current =
        service.accept(new CallerRequest(request, content, arrivedNanos), this);
    if (!responsePending) {
      return;
    }
    listener = current;
    if (!requestMemory.resizeRequest(requestMemory.requestBytes() + current.decodedBytes())) {
      current.memoryNeeded();
    }
  }

  private void responseCompleted() {
    responsePending = false;
    requestMemory.requestDone();
    if (!keepAlive) {
      closeAfterWrites();
      return;
    }
    startIdleTimer();
    scheduleQueuedRead();
  }

  private void scheduleQueuedRead() {
    if (!queuedReadScheduled && !queuedMessages.isEmpty()) {
      queuedReadScheduled = true;
      // Unlike a task that is executed at once, this runs after the event loop has polled again.
      channel.eventLoop().schedule(this::readQueuedRequest, 0, TimeUnit.NANOSECONDS);
    }
  }

  /** Reads at most one pipelined request, so that other connections get turns between two. */
  private void readQueuedRequest() {
    queuedReadScheduled = false;
    boolean requestRead = false;
    while (!requestRead && !responsePending && !closing && !queuedMessages.isEmpty()) {
      Object message = queuedMessages.removeFirst();
      requestMemory.removeUnread(contentBytes(message));
      requestRead = message instanceof LastHttpContent;
      read(message);
    }
    if (!responsePending && !closing) {
      scheduleQueuedRead();
    }
  }

  private void setConnectionHeader(HttpResponse response) {
    keepAlive &= !service.isLeaving();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void reject(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, ReasonCode.HEADERS_TOO_LARGE);
    } else if (cause instanceof RequestMemoryException) {
      refuseForMemory();
    } else {
      reject(HttpResponseStatus.BAD_REQUEST, ReasonCode.MALFORMED_REQUEST);
    }
  }

  private void reject(HttpResponseStatus status, ReasonCode reason) {
    reject(status, reason, Verdict.notRun(reason));
  }

  private void reject(HttpResponseStatus status, ReasonCode reason, Verdict verdict) {
    service.requestRejected(reason);
    releaseRequest();
    requestMemory.dropUnread();
    keepAlive = false;
    Refusal refusal = Refusal.of(status, verdict);
    sendResponse(refusal.status(), refusal.headers(), refusal.body());
  }

  private void releaseRequest() {
    if (body != null) {
      body.release();
    }
    if (head != null) {
      // The closed channel refers to it until the event loop has read from all others.
      head.headers().clear();
    }
    body = null;
    head = null;
  }

  /**
   * Limits the time from the end of the head to the end of the body. The head itself falls under
   * the idle timeout.
   */
  private void startBodyTimer() {
    schedule(service.limits().headerTimeoutMillis(), this::rejectSlowBody);
  }

  private void rejectSlowBody() {
    if (head != null && !responsePending) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, ReasonCode.DEADLINE);
    }
  }

  private void startIdleTimer() {
    unwrittenAtIdleCheck = Long.MAX_VALUE;
    scheduleIdleCheck();
  }

  private void scheduleIdleCheck() {
    schedule(service.limits().idleTimeoutMillis(), this::checkIdle);
  }

  /** Closes the idle connection, unless its caller is still reading the last response. */
  private void checkIdle() {
    long unwritten = unwrittenBytes();
    if (unwritten > 0 && unwritten < unwrittenAtIdleCheck) {
      unwrittenAtIdleCheck = unwritten;
      scheduleIdleCheck();
    } else if (unwritten > 0) {
      channel.close();
    } else {
      closeIfIdle();
    }
  }

  private void schedule(long millis, Runnable task) {
    stopTimer();
    timer = channel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  private void stopTimer() {
    if (timer != null) {
      timer.cancel(false);
      timer = null;
    }
  }
}
