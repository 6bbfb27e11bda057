package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
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
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * One connection of a caller: reads requests one after the other and writes their answers. A
 * request that comes before the answer to the one before it waits. Owned by the event loop.
 */
final class CallerConnection extends ChannelInboundHandlerAdapter implements CallerExchange {

  // A caller that sends requests without reading answers is cut off.
  private static final int MAX_WAITING_MESSAGES = 1_024;

  private final CallerService service;
  private final Channel channel;
  private final Deque<Object> waiting = new ArrayDeque<>();

  private @Nullable HttpRequest head;
  private @Nullable ByteBuf body;
  private long arrivedNanos;
  private @Nullable CallerRequestListener listener;
  private boolean busy;
  private boolean keepAlive = true;
  private boolean finished;
  private @Nullable ScheduledFuture<?> idleTimer;

  CallerConnection(CallerService service, Channel channel) {
    this.service = service;
    this.channel = channel;
  }

  @Override
  public void channelActive(ChannelHandlerContext context) {
    startIdleTimer();
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (finished) {
      ReferenceCountUtil.release(message);
    } else if (busy || !waiting.isEmpty()) {
      if (waiting.size() >= MAX_WAITING_MESSAGES) {
        ReferenceCountUtil.release(message);
        channel.close();
        return;
      }
      waiting.addLast(message);
    } else {
      read(message);
    }
  }

  @Override
  public void channelWritabilityChanged(ChannelHandlerContext context) {
    if (listener != null) {
      listener.writabilityChanged();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    finished = true;
    stopIdleTimer();
    releaseRequest();
    waiting.forEach(ReferenceCountUtil::release);
    waiting.clear();
    CallerRequestListener current = listener;
    listener = null;
    if (current != null) {
      current.callerLeft();
    }
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    channel.close();
  }

  /** Closes the connection if it waits for a request. */
  void closeIfIdle() {
    if (!busy && head == null && waiting.isEmpty()) {
      finished = true;
      channel.close();
    }
  }

  boolean isBusy() {
    return busy || head != null;
  }

  @Override
  public void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf content) {
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
    markConnection(response);
    listener = null;
    channel.writeAndFlush(response);
    done();
  }

  @Override
  public void beginStream(HttpResponseStatus status, HttpHeaders headers) {
    HttpResponse response = new DefaultHttpResponse(HttpVersion.HTTP_1_1, status, headers);
    HttpUtil.setTransferEncodingChunked(response, true);
    markConnection(response);
    channel.write(response);
  }

  @Override
  public void events(ByteBuf events) {
    channel.writeAndFlush(new DefaultHttpContent(events));
  }

  @Override
  public void endStream() {
    listener = null;
    channel.writeAndFlush(LastHttpContent.EMPTY_LAST_CONTENT);
    done();
  }

  @Override
  public void abort() {
    listener = null;
    finished = true;
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
      if (message instanceof HttpContent content && !finished) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  private void readHead(HttpRequest request) {
    stopIdleTimer();
    if (request.decoderResult().isFailure()) {
      reject(request.decoderResult().cause());
      return;
    }
    if (!RequestFraming.isSound(request)) {
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
    startHeadTimer();
  }

  private void readContent(HttpContent content) {
    HttpRequest request = head;
    if (request == null) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      reject(HttpResponseStatus.BAD_REQUEST, ReasonCode.MALFORMED_REQUEST);
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      ByteBuf all = body == null ? channel.alloc().buffer(bytes.readableBytes()) : body;
      body = all;
      if (all.readableBytes() + bytes.readableBytes() > service.limits().maxBodyBytes()) {
        reject(HttpResponseStatus.REQUEST_ENTITY_TOO_LARGE, ReasonCode.BODY_TOO_LARGE);
        return;
      }
      all.writeBytes(bytes);
    }
    if (content instanceof LastHttpContent) {
      submit(request);
    }
  }

  private void submit(HttpRequest request) {
    stopIdleTimer();
    ByteBuf content = body == null ? Unpooled.EMPTY_BUFFER : body;
    head = null;
    body = null;
    busy = true;
    keepAlive = HttpUtil.isKeepAlive(request);
    CallerRequestListener current =
        service.accept(new CallerRequest(request, content, arrivedNanos), this);
    if (busy) {
      listener = current;
    }
  }

  private void done() {
    busy = false;
    if (!keepAlive) {
      finished = true;
      channel.writeAndFlush(Unpooled.EMPTY_BUFFER).addListener(ChannelFutureListener.CLOSE);
      return;
    }
    startIdleTimer();
    channel.eventLoop().execute(this::readWaiting);
  }

  private void readWaiting() {
    while (!busy && !finished && !waiting.isEmpty()) {
      read(waiting.removeFirst());
    }
  }

  private void markConnection(HttpResponse response) {
    keepAlive &= !service.isLeaving();
    if (!keepAlive) {
      response.headers().set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    }
  }

  private void reject(Throwable cause) {
    if (cause instanceof TooLongHttpHeaderException || cause instanceof TooLongHttpLineException) {
      reject(HttpResponseStatus.REQUEST_HEADER_FIELDS_TOO_LARGE, ReasonCode.HEADERS_TOO_LARGE);
    } else {
      reject(HttpResponseStatus.BAD_REQUEST, ReasonCode.MALFORMED_REQUEST);
    }
  }

  private void reject(HttpResponseStatus status, ReasonCode reason) {
    service.rejected(reason);
    releaseRequest();
    keepAlive = false;
    Refusal refusal = Refusal.of(status, Verdict.notRun(reason));
    answer(refusal.status(), refusal.headers(), refusal.body());
  }

  private void releaseRequest() {
    if (body != null) {
      body.release();
    }
    body = null;
    head = null;
  }

  private void startHeadTimer() {
    schedule(service.limits().headerTimeoutMillis(), this::bodyTooSlow);
  }

  private void bodyTooSlow() {
    if (head != null && !busy) {
      reject(HttpResponseStatus.REQUEST_TIMEOUT, ReasonCode.DEADLINE);
    }
  }

  private void startIdleTimer() {
    schedule(service.limits().idleTimeoutMillis(), this::closeIfIdle);
  }

  private void schedule(long millis, Runnable task) {
    stopIdleTimer();
    idleTimer = channel.eventLoop().schedule(task, millis, TimeUnit.MILLISECONDS);
  }

  private void stopIdleTimer() {
    if (idleTimer != null) {
      idleTimer.cancel(false);
      idleTimer = null;
    }
  }
}
