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
 * Keeps a connection to one address: connects, and connects again after a loss, with a growing
 * pause. Made for each peer wanted; ends with {@link #close}.
 */
public final class PeerClient implements AutoCloseable {

  private static final long FIRST_PAUSE_MILLIS = 50;
  // Short enough that a replaced VM is found within seconds, long enough that a lost failure domain
  // does not draw a storm of connects.
  private static final long LONGEST_PAUSE_MILLIS = 2_000;

  private static final long LASTING_MILLIS = 1_000;

  private final EventLoopGroup group;
  private final SocketAddress address;
  private final Bootstrap bootstrap;

  private volatile boolean closed;
  private volatile @Nullable Channel channel;
  private volatile long pauseMillis = FIRST_PAUSE_MILLIS;

  private PeerClient(EventLoopGroup group, SocketAddress address, Bootstrap bootstrap) {
    this.group = group;
    this.address = address;
    this.bootstrap = bootstrap;
  }

  /**
   * Starts to connect.
   *
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

  /** Closes the connection and stops connecting. */
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
    bootstrap.connect(address).addListener((ChannelFuture future) -> connectFinished(future));
  }

  private void connectFinished(ChannelFuture future) {
    if (!future.isSuccess()) {
      connectLater();
      return;
    }
    long connectedNanos = System.nanoTime();
    channel = future.channel();
    if (closed) {
      future.channel().close();
    }
    future.channel().closeFuture().addListener(ignored -> closed(connectedNanos));
  }

  // A connection that is closed at once, as by a peer that refuses our certificate, counts as a
  // failed connect, or the pause would never grow.
  private void closed(long connectedNanos) {
    long lastedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - connectedNanos);
    if (lastedMillis >= LASTING_MILLIS) {
      pauseMillis = FIRST_PAUSE_MILLIS;
    }
    connectLater();
  }

  private void connectLater() {
    if (closed || group.isShuttingDown()) {
      return;
    }
    long longest = pauseMillis;
    pauseMillis = Math.min(longest * 2, LONGEST_PAUSE_MILLIS);
    long pause = longest / 2 + ThreadLocalRandom.current().nextLong(longest / 2 + 1);
    group.schedule(this::connect, pause, TimeUnit.MILLISECONDS);
  }
}
