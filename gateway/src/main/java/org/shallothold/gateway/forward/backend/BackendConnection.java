package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import io.netty.util.ReferenceCountUtil;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.forward.port.AnswerFacts;
import org.shallothold.gateway.forward.port.HeaderTranslation;

/**
 * One connection to a backend server, with at most one request at a time. Answers to other requests
 * are skipped; bytes that belong to no request close it. Owned by the event loop.
 */
final class BackendConnection extends ChannelInboundHandlerAdapter {

  // Larger than any answer that a gateway holds: the copy of a late one may be skipped whole.
  private static final long MAX_SKIPPED_BYTES = 8L * 1024 * 1024;
  private static final int MAX_SKIPPED_HEADS = 100;

  private final BackendPool pool;
  private final HeaderTranslation translation;
  private final Channel channel;

  private @Nullable BackendListener listener;
  private @Nullable String requestId;
  private boolean headSeen;
  private boolean skipping;
  private long skippedBytes;
  private int skippedHeads;
  private boolean reset;
  private boolean reusable = true;
  private boolean written;
  private long idleMillis = BackendPool.DEFAULT_IDLE_MILLIS;

  BackendConnection(BackendPool pool, HeaderTranslation translation, Channel channel) {
    this.pool = pool;
    this.translation = translation;
    this.channel = channel;
  }

  /** Sends a request; its answer goes to the listener. Takes over the request's buffer. */
  void send(FullHttpRequest request, String id, BackendListener answerListener) {
    listener = answerListener;
    requestId = id;
    headSeen = false;
    skipping = false;
    skippedBytes = 0;
    skippedHeads = 0;
    written = false;
    answerListener.sending();
    channel.writeAndFlush(request).addListener((ChannelFuture future) -> sent(future));
  }

  /** Gives up on the request; the server drops it when the connection closes. */
  void abandon() {
    listener = null;
    reusable = false;
    channel.close();
  }

  /** Returns whether the connection can take a request. */
  boolean isUsable() {
    return channel.isActive() && reusable && listener == null;
  }

  /** Returns how long the connection may stay idle, in milliseconds. */
  long idleMillis() {
    return idleMillis;
  }

  void close() {
    reusable = false;
    channel.close();
  }

  /** Stops or resumes reading, as the caller can take more. */
  void readable(boolean wanted) {
    channel.config().setAutoRead(wanted);
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
  public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
    reset = true;
    fail("connection failed: " + cause.getMessage());
    channel.close();
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    fail("connection closed");
    pool.closed(this);
  }

  private void sent(ChannelFuture future) {
    written = future.isSuccess();
    if (!written) {
      fail("write failed: " + future.cause().getMessage());
      channel.close();
    }
  }

  private void readHead(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      reusable = false;
      fail("the server sent bytes that are no answer");
      channel.close();
      return;
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      skip();
      return;
    }
    BackendListener current = listener;
    if (current == null || headSeen) {
      reusable = false;
      channel.close();
      return;
    }
    AnswerFacts facts = translation.answer(head);
    String answered = facts.requestId();
    if (answered != null && !answered.equals(requestId)) {
      reusable = false;
      skip();
      return;
    }
    headSeen = true;
    reusable &= HttpUtil.isKeepAlive(head);
    idleMillis = facts.idleMillis() >= 0 ? facts.idleMillis() : BackendPool.DEFAULT_IDLE_MILLIS;
    current.head(head, facts);
  }

  private void skip() {
    skipping = true;
    skippedHeads++;
    closeAfterTooMuchSkipped();
  }

  /** A server that sends other bytes without end would hold the request until its deadline. */
  private void closeAfterTooMuchSkipped() {
    if (skippedBytes > MAX_SKIPPED_BYTES || skippedHeads > MAX_SKIPPED_HEADS) {
      fail(
          "the server sent "
              + skippedHeads
              + " other answers with "
              + skippedBytes
              + " bytes before this one");
      channel.close();
    }
  }

  private void readContent(HttpContent content) {
    if (skipping) {
      skipping = !(content instanceof LastHttpContent);
      skippedBytes += content.content().readableBytes();
      closeAfterTooMuchSkipped();
      return;
    }
    BackendListener current = listener;
    if (current == null || !headSeen) {
      return;
    }
    if (content.decoderResult().isFailure()) {
      fail("the server's answer is cut or malformed");
      channel.close();
      return;
    }
    ByteBuf bytes = content.content();
    if (bytes.isReadable()) {
      current.content(bytes);
    }
    if (content instanceof LastHttpContent && listener == current) {
      finish(current);
    }
  }

  private void finish(BackendListener current) {
    if (reset) {
      fail("connection reset before the end of the answer");
      return;
    }
    listener = null;
    // A server that answered before it took the whole request would read the rest as another one.
    reusable &= written;
    current.end();
    // Whatever follows the answer in the same bytes is seen before the connection is used again.
    channel.eventLoop().execute(() -> pool.released(this));
  }

  private void fail(String reason) {
    BackendListener current = listener;
    listener = null;
    reusable = false;
    if (current != null) {
      current.failed(reason, false);
    }
  }
}
