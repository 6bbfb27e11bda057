package org.shallothold.wire.connection;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.ssl.SslContext;
import java.net.SocketAddress;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.Hello;

/**
 * Maintains a connection to one address. Reconnects after a failed attempt or a lost connection,
 * with exponential backoff and jitter, until {@link #close} is called.
 */
public final class PeerClient implements AutoCloseable {

  private static final long INITIAL_BACKOFF_MILLIS = 50;
  // Low enough to reach a replaced VM within seconds, high enough to avoid a burst of connection
  // attempts when a failure domain is lost.
  private static final long MAX_BACKOFF_MILLIS = 2_000;

  // A connection that stayed open for at least this long resets the backoff.
  private static final long STABLE_CONNECTION_MILLIS = 1_000;

  private final EventLoopGroup group;
  private final SocketAddress address;
  private final Bootstrap bootstrap;

  private volatile boolean closed;
  private volatile @Nullable Channel channel;
  private volatile long backoffMillis = INITIAL_BACKOFF_MILLIS;

  private PeerClient(EventLoopGroup group, SocketAddress address, Bootstrap bootstrap) {
    this.group = group;
    this.address = address;
    this.bootstrap = bootstrap;
  }

  /**
   * Starts connecting and returns immediately.
   *
   * @param group runs the connection and the reconnect attempts; no attempts are made once it shuts
   *     down
   * @param localHello supplies the hello that is sent on every new connection
   * @param listener receives the events of all connections that this client opens
   * @param tls context for mutual TLS, or null for plain TCP
   */
  public static PeerClient start(
      EventLoopGroup group,
      SocketAddress address,
      ConnectionLimits limits,
      Supplier<Hello> localHello,
      PeerListener listener,
      @Nullable SslContext tls) {
    Bootstrap bootstrap =
        new Bootstrap()
            .group(group)
            .channel(Transport.socketChannel(group))
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, limits.connectMillis())
            .handler(new PeerPipeline(limits, localHello, listener, tls));
    PeerClient client = new PeerClient(group, address, bootstrap);
    client.connect();
    return client;
  }

  /** Closes the current connection, if any, and stops reconnecting. */
  @Override
  public void close() {
    closed = true;
    Channel open = channel;
    if (open != null) {
      open.close();
    }
  }

  private void connect() {
    if (closed) {
      return;
    }
    bootstrap.connect(address).addListener((ChannelFuture future) -> connectCompleted(future));
  }

  private void connectCompleted(ChannelFuture future) {
    if (!future.isSuccess()) {
      scheduleReconnect();
      return;
    }
    long connectedNanos = System.nanoTime();
    channel = future.channel();
    if (closed) {
      future.channel().close();
    }
    future.channel().closeFuture().addListener(ignored -> connectionClosed(connectedNanos));
  }

  // A connection that closes soon after it opened, for example because the peer rejects the
  // certificate, counts as a failed attempt. Otherwise the backoff would never grow.
  private void connectionClosed(long connectedNanos) {
    long openMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedNanos);
    if (openMillis >= STABLE_CONNECTION_MILLIS) {
      backoffMillis = INITIAL_BACKOFF_MILLIS;
    }
    scheduleReconnect();
  }

  private void scheduleReconnect() {
    if (closed || group.isShuttingDown()) {
      return;
    }
    long maxDelayMillis = backoffMillis;
    backoffMillis = Math.min(maxDelayMillis * 2, MAX_BACKOFF_MILLIS);
    long delayMillis =
        maxDelayMillis / 2 + ThreadLocalRandom.current().nextLong(maxDelayMillis / 2 + 1);
    group.schedule(this::connect, delayMillis, TimeUnit.MILLISECONDS);
  }
}
