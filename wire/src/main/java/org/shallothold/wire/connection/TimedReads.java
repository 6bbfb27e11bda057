package org.shallothold.wire.connection;

import io.netty.buffer.ByteBuf;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInboundHandlerAdapter;

/** First handler of a connection; measures the time that the bytes read take in the others. */
public final class TimedReads extends ChannelInboundHandlerAdapter {

  private final ReadTimes.Account account;

  private TimedReads(ReadTimes.Account account) {
    this.account = account;
  }

  /** Returns the handler for one connection. */
  public static TimedReads of(ReadTimes times, ReadSource source) {
    return new TimedReads(times.open(source));
  }

  @Override
  public void channelRead(ChannelHandlerContext context, Object message) {
    long bytes = message instanceof ByteBuf buffer ? buffer.readableBytes() : 0;
    long startNanos = System.nanoTime();
    context.fireChannelRead(message);
    account.add(System.nanoTime() - startNanos, bytes);
  }
}
