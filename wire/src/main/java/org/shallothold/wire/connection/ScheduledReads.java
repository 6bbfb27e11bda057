package org.shallothold.wire.connection;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelDuplexHandler;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPromise;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.stream.Stream;

/**
 * First handler of a connection's pipeline. Passes the bytes on in slices as long as the connection
 * has {@linkplain ReadCredit credit}, and keeps the rest until the {@link ReadScheduler} gives the
 * connection a turn. Meanwhile nothing is read from the socket, and the end of the read is not
 * passed on. Not thread-safe; used on the event loop only.
 */
public final class ScheduledReads extends ChannelDuplexHandler {

  // Bounds the work between two looks at the clock.
  private static final int SLICE_BYTES = 2 * 1024;
  // When the other side has closed the connection, the transport reads on without being asked.
  private static final int MAX_UNREAD_BYTES = 128 * 1024;

  private final ReadScheduler scheduler;
  private final Channel channel;
  private final ReadTimes.Account account;
  private final ReadCredit credit;
  private final Deque<ByteBuf> unread = new ArrayDeque<>();
  private boolean autoRead = true;
  private boolean deferred;
  private boolean closed;
  private boolean countedAsExhausted;
  private int unreadBytes;
  private boolean bufferFilled;
  private boolean readCompleteDue;

  ScheduledReads(ReadScheduler scheduler, Channel channel, ReadTimes.Account account) {
    this.scheduler = scheduler;
    this.channel = channel;
    this.account = account;
    this.credit = ReadCredit.initial(scheduler.nanoTime());
  }

  /** Stops or resumes reading from the socket; what was read before is passed on all the same. */
  public void setAutoRead(boolean enabled) {
    autoRead = enabled;
    updateAutoRead();
  }

  /**
   * Returns whether the socket may hold bytes that won't be read before tasks that the event loop
   * has now.
   */
  public boolean mayHaveUnreadBytes() {
    return !autoRead || !unread.isEmpty() || (deferred && bufferFilled);
  }

  /** Returns some bytes followed by those that were read from the socket and not passed on yet. */
  public ByteBuf withUnread(ByteBuf bytes) {
    return unread.isEmpty()
        ? bytes
        : Unpooled.copiedBuffer(
            Stream.concat(Stream.of(bytes), unread.stream()).toArray(ByteBuf[]::new));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    if (!(message instanceof ByteBuf bytes)) {
      context.fireChannelRead(message);
      return;
    }
    if (closed) {
      bytes.release();
      return;
    }
    bufferFilled = !bytes.isWritable();
    unread.addLast(bytes);
    unreadBytes += bytes.readableBytes();
    if (deferred) {
      if (unreadBytes > MAX_UNREAD_BYTES) {
        passOn(context, Long.MAX_VALUE);
      }
      return;
    }
    long credited = credit.available(scheduler.nanoTime(), scheduler.creditShare());
    countExhausted();
    passOn(context, credited);
    if (!unread.isEmpty()) {
      deferred = true;
      updateAutoRead();
      scheduler.defer(this);
    }
  }

  @Override
  public void channelReadComplete(ChannelHandlerContext context) {
    if (deferred) {
      readCompleteDue = true;
    } else {
      readCompleteDue = false;
      context.fireChannelReadComplete();
    }
  }

  @Override
  public void channelInactive(ChannelHandlerContext context) {
    // The handlers are removed at once, so that the rest can't wait.
    passOn(context, Long.MAX_VALUE);
    close();
    if (readCompleteDue) {
      readCompleteDue = false;
      context.fireChannelReadComplete();
    }
    context.fireChannelInactive();
  }

  @Override
  public void close(ChannelHandlerContext context, ChannelPromise promise) {
    close();
    context.close(promise);
  }

  @Override
  public void handlerRemoved(ChannelHandlerContext context) {
    close();
  }

  /**
   * Passes on bytes for a time.
   *
   * @return whether there are more
   */
  boolean takeTurn(long nanos) {
    ChannelHandlerContext context = channel.pipeline().context(this);
    if (closed || context == null) {
      return false;
    }
    passOn(context, nanos);
    if (!unread.isEmpty()) {
      return true;
    }
    deferred = false;
    updateAutoRead();
    if (readCompleteDue && bufferFilled && autoRead) {
      // The read that was resumed just now finds out whether more bytes belong to this one.
      channel.eventLoop().execute(() -> completeRead(context));
    } else if (readCompleteDue) {
      completeRead(context);
    }
    return false;
  }

  private void completeRead(ChannelHandlerContext context) {
    if (readCompleteDue && !deferred) {
      readCompleteDue = false;
      context.fireChannelReadComplete();
    }
  }

  private void passOn(ChannelHandlerContext context, long limitNanos) {
    long startNanos = scheduler.nanoTime();
    long usedNanos = 0;
    long bytes = 0;
    while (!unread.isEmpty() && usedNanos < limitNanos) {
      ByteBuf slice = nextSlice();
      bytes += slice.readableBytes();
      unreadBytes -= slice.readableBytes();
      context.fireChannelRead(slice);
      usedNanos = scheduler.nanoTime() - startNanos;
    }
    if (bytes > 0) {
      account.add(usedNanos, bytes);
      credit.spend(usedNanos);
      countExhausted();
    }
  }

  private ByteBuf nextSlice() {
    ByteBuf first = unread.getFirst();
    return first.readableBytes() <= SLICE_BYTES
        ? unread.removeFirst()
        : first.readRetainedSlice(SLICE_BYTES);
  }

  private void updateAutoRead() {
    channel.config().setAutoRead(autoRead && !deferred);
  }

  private void countExhausted() {
    boolean exhausted = credit.isExhausted() && !closed;
    if (exhausted != countedAsExhausted) {
      countedAsExhausted = exhausted;
      scheduler.exhaustedConnectionsChanged(exhausted ? 1 : -1);
    }
  }

  private void close() {
    closed = true;
    unread.forEach(ByteBuf::release);
    unread.clear();
    unreadBytes = 0;
    countExhausted();
  }
}
