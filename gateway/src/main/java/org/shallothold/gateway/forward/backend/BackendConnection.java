package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.forward.backend.ResponseMatcher.HeadMatch;
import org.shallothold.gateway.forward.backend.ResponseMatcher.Mismatch;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.ResponseMetadata;
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.connection.ScheduledReads;

/**
 * An HTTP/1.1 connection to a backend server that carries at most one request at a time. Discards
 * responses that name another request, and closes if bytes arrive while no request waits for a
 * response. Not thread-safe; used on the event loop only.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter
    implements ResponseDecoder.Listener {

  // Larger than any response that the gateway buffers, so that an overdue response to an earlier
  // request can be discarded whole.
  private static final long MAX_DISCARDED_BYTES = 8L * 1024 * 1024;
  private static final int MAX_DISCARDED_RESPONSES = 100;

  private final Owner owner;
  private final Channel channel;
  private final long openedNanos = System.nanoTime();
  private final ResponseDecoder decoder = new ResponseDecoder(this);
  private final ResponseMatcher matcher;
  private final ScheduledReads reads;

  private @Nullable BackendListener listener;
  private String requestId = "";
  private String formerRequestId = "";
  private long lastResponseNanos;
  private boolean responseReceived;
  private boolean headReceived;
  // Withheld until the rest of the same read shows that its chunk ends where it should.
  private @Nullable ByteBuf withheldContent;
  private boolean discarding;
  private long discardedBytes;
  private int discardedResponses;
  private boolean reported;
  private boolean connectionFailed;
  private boolean reusable = true;
  private boolean requestWritten;
  private long keepAliveMillis = BackendPool.DEFAULT_KEEP_ALIVE_MILLIS;

  /** The pool that the connection belongs to. */
  interface Owner {

    /** Called when the connection carries no request any more, and was not closed by the server. */
    void connectionReleased(BackendConnection connection);

    void connectionClosed(BackendConnection connection);

    /** Called when the server sent bytes that do not belong to the request in flight. */
    void foreignBytesReceived(ForeignBytes foreignBytes);
  }

  BackendConnection(
      Owner owner,
      HeaderTranslation translation,
      Channel channel,
      String serverId,
      ReadScheduler readScheduler) {
    this.owner = owner;
    this.channel = channel;
    this.matcher = new ResponseMatcher(translation);
    this.reads = readScheduler.newReads(channel, () -> serverId, this::lastRequestId);
  }

  /** Returns the first handler of the channel's pipeline. */
  ScheduledReads reads() {
    return reads;
  }

  /** Returns the decoder to put between the reads and this handler in the channel's pipeline. */
  ResponseDecoder decoder() {
    return decoder;
  }

  /** Returns the id of the last request; an empty string before the first. */
  String lastRequestId() {
    return requestId;
  }

  /**
   * Sends a request and releases its buffer. The connection must be {@linkplain #isUsable usable}.
   *
   * @param id id by which the server's response names the request
   * @param responseListener receives the response
   */
  void send(FullHttpRequest request, String id, BackendListener responseListener) {
    listener = responseListener;
    formerRequestId = requestId;
    requestId = id;
    headReceived = false;
    discarding = false;
    discardedBytes = 0;
    discardedResponses = 0;
    requestWritten = false;
    reported = false;
    decoder.expectResponse(request.method());
    matcher.expectResponse(id);
    responseListener.sending();
    channel.writeAndFlush(request).addListener((ChannelFuture future) -> writeCompleted(future));
  }

  /** Abandons the request by closing the connection, upon which the server drops the request. */
  void abandon() {
    dropWithheldContent();
    listener = null;
    reusable = false;
    channel.close();
  }

  /** Returns whether the connection is open and can carry another request. */
  boolean isUsable() {
    return channel.isActive() && reusable && listener == null;
  }

  /** Returns the time for which the server keeps the idle connection open, in milliseconds. */
  long keepAliveMillis() {
    return keepAliveMillis;
  }

  void close() {
    reusable = false;
    channel.close();
  }

  /** Stops or resumes reading, so that a slow caller exerts backpressure on the server. */
  void setAutoRead(boolean enabled) {
    reads.setAutoRead(enabled);
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    try {
      if (message instanceof HttpResponse head) {
        readHead(head);
      }
      if (message instanceof HttpContent content) {
        readContent(content);
      }
    } finally {
      ReferenceCountUtil.release(message);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    deliverWithheldContent();
    context.fireChannelReadComplete();
  }

  @Override
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    connectionFailed = true;
    fail("connection failed: " + cause.getMessage());
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed");
    owner.connectionClosed(this);
  }

  @Override
  public void unexpectedBytes(int length) {
    closeForAdditionalBytes(ForeignBytes.Place.IDLE, length);
  }

  private void writeCompleted(ChannelFuture future) {
    requestWritten = future.isSuccess();
    if (!requestWritten) {
      fail("write failed: " + future.cause().getMessage());
      channel.close();
    }
  }

  private void readHead(HttpResponse head) {
    BackendListener current = listener;
    if (current == null || headReceived) {
      reusable = false;
      channel.close();
      return;
    }
    switch (matcher.matchHead(head)) {
      case HeadMatch.Own(ResponseMetadata metadata) -> ownHeadReceived(current, head, metadata);
      case HeadMatch.Informational() -> discard();
      case HeadMatch.Other(String namedRequest) -> {
        reusable = false;
        report(ForeignBytes.Place.BEFORE_RESPONSE, 0, namedRequest);
        discard();
      }
      case HeadMatch.Unusable(Mismatch mismatch) -> failUnmatched(mismatch);
    }
  }

  private void ownHeadReceived(
      BackendListener current, HttpResponse head, ResponseMetadata metadata) {
    headReceived = true;
    reusable &= HttpUtil.isKeepAlive(head);
    keepAliveMillis =
        metadata.keepAliveMillis() >= 0
            ? metadata.keepAliveMillis()
            : BackendPool.DEFAULT_KEEP_ALIVE_MILLIS;
    current.headReceived(head, metadata);
  }

  /** Discards an informational response or the response to another request. */
  private void discard() {
    discarding = true;
    discardedResponses++;
    closeIfTooMuchDiscarded();
  }

  /**
   * Fails the request if too much was discarded. Otherwise a server that keeps sending other
   * responses would hold the request until its deadline.
   */
  private void closeIfTooMuchDiscarded() {
    if (discardedBytes > MAX_DISCARDED_BYTES || discardedResponses > MAX_DISCARDED_RESPONSES) {
      fail(
          "the server sent "
              + discardedResponses
              + " other responses with "
              + discardedBytes
              + " bytes before the response to this request");
      channel.close();
    }
  }

  private void readContent(HttpContent content) {
    BackendListener current = listener;
    if (current == null || (!discarding && !headReceived)) {
      return;
    }
    Optional<Mismatch> mismatch =
        discarding ? matcher.matchOtherBody(content) : matcher.matchOwnBody(content);
    if (mismatch.isPresent()) {
      failUnmatched(mismatch.get());
      return;
    }
    boolean isLast = content instanceof LastHttpContent;
    ByteBuf bytes = content.content();
    if (discarding) {
      discarding = !isLast;
      discardedBytes += bytes.readableBytes();
      closeIfTooMuchDiscarded();
      return;
    }
    deliverWithheldContent();
    if (bytes.isReadable()) {
      withheldContent = bytes.retain();
    }
    if (isLast) {
      deliverWithheldContent();
      if (listener == current) {
        finish(current);
      }
    }
  }

  private void deliverWithheldContent() {
    ByteBuf content = withheldContent;
    withheldContent = null;
    if (content == null) {
      return;
    }
    try {
      BackendListener current = listener;
      if (current != null) {
        current.contentReceived(content);
      }
    } finally {
      content.release();
    }
  }

  private void dropWithheldContent() {
    ByteBuf content = withheldContent;
    withheldContent = null;
    ReferenceCountUtil.release(content);
  }

  private void finish(BackendListener current) {
    if (connectionFailed) {
      fail("connection lost before the end of the response");
      return;
    }
    ByteBuf following = reads.withUnread(decoder.endResponse());
    Optional<Mismatch> mismatch = matcher.matchEnd(following);
    if (mismatch.isPresent()) {
      failUnmatched(mismatch.get());
      return;
    }
    listener = null;
    responseReceived = true;
    lastResponseNanos = System.nanoTime();
    if (following.isReadable()) {
      closeForAdditionalBytes(ForeignBytes.Place.AFTER_RESPONSE, following.readableBytes());
    }
    // Bytes that follow the response may wait unread while reading is paused.
    reusable &= !reads.mayHaveUnreadBytes();
    // A server that responded before it received the whole request would read the rest of it as
    // the next request.
    reusable &= requestWritten;
    current.completed();
    // Deferred, so that bytes that follow the response in the same read close the connection before
    // another request uses it.
    channel.eventLoop().execute(() -> owner.connectionReleased(this));
  }

  private void closeForAdditionalBytes(ForeignBytes.Place place, int length) {
    reusable = false;
    report(place, length, "");
    channel.close();
  }

  /** Fails the request because its response can't be told from other bytes. */
  private void failUnmatched(Mismatch mismatch) {
    report(mismatch.place(), mismatch.length(), mismatch.namedRequest());
    fail(mismatch.reason());
    channel.close();
  }

  /** Reports foreign bytes, once for each request, so that a server can't fill the log. */
  private void report(ForeignBytes.Place place, int length, String namedRequest) {
    if (place.isDuringRequest() && reported) {
      return;
    }
    reported |= place.isDuringRequest();
    long nowNanos = System.nanoTime();
    boolean inFlight = place.isDuringRequest();
    owner.foreignBytesReceived(
        new ForeignBytes(
            place,
            length,
            inFlight ? requestId : "",
            inFlight ? formerRequestId : requestId,
            namedRequest,
            TimeUnit.NANOSECONDS.toMillis(nowNanos - openedNanos),
            responseReceived ? TimeUnit.NANOSECONDS.toMillis(nowNanos - lastResponseNanos) : -1));
  }

  private void fail(String reason) {
    dropWithheldContent();
    BackendListener current = listener;
    listener = null;
    reusable = false;
    if (current != null) {
      current.failed(reason, false);
    }
  }
}
