package org.shallothold.gateway.http;

import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.handler.codec.http.TooLongHttpHeaderException;
import io.netty.util.ReferenceCountUtil;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.gateway.headers.CountedHeaders;
import org.shallothold.gateway.headers.HeaderCounter;
import org.shallothold.gateway.headers.HeaderMemory;
import org.shallothold.gateway.headers.RequestMemoryException;
import org.shallothold.gateway.request.Failure;

/**
 * Counts the memory of the heads on a connection from their first line until their answer is
 * written, and refuses a request whose head is too large. Owned by the connection's event loop;
 * other threads may only shed it.
 */
final class LimitedConnection extends ChannelDuplexHandler
    implements HeaderCounter, RequestMemoryBudget.Holder {

  private static final long RETRY_AFTER_MILLIS = 1_000;
  // The budget is asked once for about 20 lines.
  private static final long STEP_BYTES = 4 * 1024;
  // Names and values as strings, as messages to a sidecar, and the bytes of these.
  private static final int COPIES = 3;

  private final HeadLimits limits;
  private final Channel channel;
  private final RequestMemoryBudget.Reservation reservation;
  private final Deque<UnansweredHead> unansweredHeads = new ArrayDeque<>();
  private long unansweredBytes;
  private long unreadBytes;
  private boolean refused;
  private volatile boolean mayHaveRun;

  private record UnansweredHead(HttpHeaders headers, long bytes) {}

  LimitedConnection(HeadLimits limits, Channel channel) {
    this.limits = limits;
    this.channel = channel;
    this.reservation = limits.memory().reserve(addressOf(channel), this);
  }

  private static Object addressOf(Channel channel) {
    return channel.remoteAddress() instanceof InetSocketAddress address
        ? address.getAddress()
        : channel.id();
  }

  @Override
  public void lineAdded(CountedHeaders headers, long lineBytes) {
    HeaderCounter.checkLines(headers, limits.maxHeaderLines());
    long additional = lineBytes + (headers.countedLines() == 1 ? HeaderMemory.REQUEST_BYTES : 0);
    if (refused || !resize(unreadBytes + unansweredBytes + additional)) {
      throw RequestMemoryException.create();
    }
    unreadBytes += additional;
  }

  @Override
  public boolean mayHaveRun() {
    return mayHaveRun;
  }

  @Override
  public void shed() {
    channel.eventLoop().execute(channel::close);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (refused) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpObject object
        && object.decoderResult().isFailure()
        && refuse(context, object, object.decoderResult().cause())) {
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof HttpRequest request && !headRead(request)) {
      refuse(context, request, RequestMemoryException.create());
      ReferenceCountUtil.release(message);
      return;
    }
    if (message instanceof LastHttpContent content) {
      // Nothing uses trailers.
      if (content.trailingHeaders() instanceof CountedHeaders trailers) {
        trailers.clear();
      }
      unreadBytes = 0;
      occupy();
      mayHaveRun = true;
    }
    context.fireChannelRead(message);
  }

  /** Counts a head until its answer; returns false if there is no room for its copies. */
  private boolean headRead(HttpRequest request) {
    long bytes = unreadBytes + COPIES * HeaderMemory.ofCopies(request.headers().size());
    if (!resize(unansweredBytes + bytes)) {
      return false;
    }
    unreadBytes = 0;
    unansweredBytes += bytes;
    unansweredHeads.addLast(new UnansweredHead(request.headers(), bytes));
    return true;
  }

  /** Refuses a request for a limit of this class; returns false if it failed for another cause. */
  private boolean refuse(ChannelHandlerContext context, HttpObject message, Throwable cause) {
    ReasonCode reason;
    if (cause instanceof TooLongHttpHeaderException) {
      reason = ReasonCode.HEADERS_TOO_LARGE;
    } else if (cause instanceof RequestMemoryException) {
      reason = ReasonCode.MEMORY_FULL;
    } else {
      return false;
    }
    refused = true;
    boolean isTemporary = reason == ReasonCode.MEMORY_FULL;
    Failure failure =
        Failure.of(
            reason,
            verdict(message, reason, isTemporary ? RETRY_AFTER_MILLIS : 0),
            isTemporary ? "the memory for requests is used up" : "too many header lines");
    if (isTemporary) {
      limits.shortageLog().requestRefused();
    }
    limits.metrics().refused("none", failure);
    if (unansweredHeads.isEmpty()) {
      context
          .writeAndFlush(response(HttpErrors.reply(failure)))
          .addListener(ChannelFutureListener.CLOSE);
    } else {
      // The answer to an earlier request comes first.
      context.close();
    }
    return true;
  }

  /**
   * Returns the verdict of a request that is refused. The lines that were not read may hold the
   * ticket of an order, which may have come through another gateway before.
   */
  private static Verdict verdict(HttpObject message, ReasonCode reason, long retryAfterMillis) {
    boolean mayBeOrder =
        message instanceof HttpRequest request && request.uri().startsWith(ServicePath.PREFIX);
    return mayBeOrder ? Verdict.mayHaveRun(reason) : Verdict.notRun(reason, retryAfterMillis);
  }

  private static DefaultFullHttpResponse response(Reply.Whole reply) {
    DefaultFullHttpResponse response =
        new DefaultFullHttpResponse(
            HttpVersion.HTTP_1_1,
            HttpResponseStatus.valueOf(reply.status()),
            Unpooled.wrappedBuffer(reply.body()));
    reply.headers().forEach((name, value) -> response.headers().set(name, value));
    response
        .headers()
        .set(HttpHeaderNames.CONTENT_TYPE, reply.contentType())
        .set(HttpHeaderNames.CONTENT_LENGTH, reply.body().length)
        .set(HttpHeaderNames.CONNECTION, HttpHeaderValues.CLOSE);
    return response;
  }

  @Override
  public void write(ChannelHandlerContext context, Object message, ChannelPromise promise) {
    boolean informational =
        message instanceof HttpResponse response
            && response.status().codeClass() == HttpStatusClass.INFORMATIONAL;
    if (message instanceof LastHttpContent && !informational) {
      headAnswered();
    }
    context.write(message, promise);
  }

  /** Releases the oldest head. Ratpack refers to it for as long as the caller sends its body. */
  private void headAnswered() {
    UnansweredHead head = unansweredHeads.pollFirst();
    if (head != null) {
      head.headers().clear();
      unansweredBytes -= head.bytes();
    }
    mayHaveRun = !unansweredHeads.isEmpty();
    occupy();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    refused = true;
    unansweredHeads.clear();
    reservation.close();
    context.fireChannelInactive();
  }

  private boolean resize(long bytes) {
    long stepped = stepped(bytes);
    return stepped <= reservation.bytes() || reservation.resize(stepped);
  }

  private void occupy() {
    if (!refused) {
      reservation.occupy(stepped(unreadBytes + unansweredBytes));
    }
  }

  private static long stepped(long bytes) {
    return Math.ceilDiv(bytes, STEP_BYTES) * STEP_BYTES;
  }
}
