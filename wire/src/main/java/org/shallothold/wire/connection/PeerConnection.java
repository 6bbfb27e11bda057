package org.shallothold.wire.connection;

import io.netty.channel.Channel;
import java.util.concurrent.atomic.AtomicReference;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/**
 * A connection to another process, opened by a {@link PeerServer} or {@link PeerClient}.
 * Thread-safe. Once closed it is never reopened; a reconnect to the same process creates a new
 * instance.
 */
public final class PeerConnection {

  private final Channel channel;
  private final AtomicReference<@Nullable Hello> remoteHello = new AtomicReference<>();

  PeerConnection(Channel channel) {
    this.channel = channel;
  }

  /** Returns the last hello received from the remote process, or null if none has arrived. */
  public @Nullable Hello remoteHello() {
    return remoteHello.get();
  }

  void remoteHello(Hello hello) {
    remoteHello.set(hello);
  }

  /** Returns whether the connection is open. */
  public boolean isOpen() {
    return channel.isActive();
  }

  /**
   * Returns whether the outgoing buffer accepts more data without exceeding its high-water mark;
   * false if the connection is closed.
   */
  public boolean isWritable() {
    return channel.isWritable();
  }

  /**
   * Sends a message without blocking. Messages sent by one thread keep their order.
   *
   * @return false if the connection was already closed and the message was certainly not sent; true
   *     does not imply that the message arrives
   */
  public boolean send(Envelope envelope) {
    if (!channel.isActive()) {
      return false;
    }
    channel.writeAndFlush(envelope, channel.voidPromise());
    return true;
  }

  /** Closes the connection without waiting for completion. */
  public void close() {
    channel.close();
  }

  @Override
  public String toString() {
    return "PeerConnection[" + channel.remoteAddress() + "]";
  }
}
