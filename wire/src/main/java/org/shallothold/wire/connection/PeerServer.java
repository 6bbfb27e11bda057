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

/**
 * Accepts connections from other processes. A process opens one server and closes it when it
 * terminates.
 */
public final class PeerServer implements AutoCloseable {

  private final Channel channel;

  private PeerServer(Channel channel) {
    this.channel = channel;
  }

  /**
   * Binds the address, waits until it is bound and starts accepting connections.
   *
   * @param localHello supplies the hello that is sent on every new connection
   * @param listener receives the events of all accepted connections
   * @param tls context for mutual TLS, or null for plain TCP
   * @throws IllegalStateException if the address can't be bound, for example because it is already
   *     in use
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

  /** Returns the bound port, which the system chose if the address had port 0. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  /** Stops accepting connections and releases the port; accepted connections stay open. */
  @Override
  public void close() {
    channel.close().awaitUninterruptibly();
  }
}
