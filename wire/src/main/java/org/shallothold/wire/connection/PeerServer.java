package org.shallothold.wire.connection;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.net.InetSocketAddress;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.Hello;

/** Accepts connections from other processes. Made once per process; closed at its end. */
public final class PeerServer implements AutoCloseable {

  private final Channel channel;

  private PeerServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds the address and starts to accept.
   *
   * @param tls context for mutual TLS, or null for plain TCP
   * @throws IllegalStateException if the address can't be bound, as when another process holds it
   */
  public static PeerServer bind(
      EventLoopGroup group,
      InetSocketAddress address,
      ConnectionLimits limits,
      Supplier<Hello> localHello,
      PeerListener listener,
      @Nullable SslContext tls) {
    var bound =
        new ServerBootstrap()
            .group(group)
            .channel(Transport.serverChannel(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(new PeerPipeline(limits, localHello, listener, tls))
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + address, bound.cause());
    }
    return new PeerServer(bound.channel());
  }

  /** Returns the port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops accepting; open connections stay open. */
  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }
}
