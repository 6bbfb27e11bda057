package org.shallothold.wire.connection;

import io.netty.bootstrap.AbstractBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.ServerChannel;
import io.netty.channel.epoll.Epoll;
import io.netty.channel.epoll.EpollChannelOption;
import io.netty.channel.epoll.EpollEventLoopGroup;
import io.netty.channel.epoll.EpollServerSocketChannel;
import io.netty.channel.epoll.EpollSocketChannel;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.channel.socket.nio.NioSocketChannel;
import io.netty.util.concurrent.DefaultThreadFactory;

/** Selects Netty's epoll transport where it is available, otherwise NIO. */
public final class Transport {

  // A peer that lost power or network access never closes its connections. With these options a
  // connection fails when sent data stays unacknowledged for this timeout, or within three seconds
  // of idleness when its keepalive probes stay unanswered.
  private static final int UNACKNOWLEDGED_DATA_TIMEOUT_MILLIS = 1_500;
  private static final int KEEPALIVE_INTERVAL_SECONDS = 1;
  private static final int KEEPALIVE_PROBE_COUNT = 2;

  private Transport() {}

  /**
   * Creates an event loop group with the given number of daemon threads, named after {@code name}.
   */
  public static EventLoopGroup group(String name, int threads) {
    DefaultThreadFactory threadFactory = new DefaultThreadFactory(name, true);
    return Epoll.isAvailable()
        ? new EpollEventLoopGroup(threads, threadFactory)
        : new NioEventLoopGroup(threads, threadFactory);
  }

  /** Returns the channel class for outgoing connections that run on the given group. */
  public static Class<? extends Channel> socketChannel(EventLoopGroup group) {
    return group instanceof EpollEventLoopGroup ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  /** Returns the channel class for listening sockets that run on the given group. */
  public static Class<? extends ServerChannel> serverChannel(EventLoopGroup group) {
    return group instanceof EpollEventLoopGroup
        ? EpollServerSocketChannel.class
        : NioServerSocketChannel.class;
  }

  /**
   * Sets socket options that fail connections to unresponsive peers: TCP keepalive, and with epoll
   * also its timing and TCP_USER_TIMEOUT.
   */
  public static <B extends AbstractBootstrap<B, C>, C extends Channel> void enableDeadPeerDetection(
      AbstractBootstrap<B, C> bootstrap, EventLoopGroup group) {
    bootstrap.option(ChannelOption.SO_KEEPALIVE, true);
    if (group instanceof EpollEventLoopGroup) {
      bootstrap
          .option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_DATA_TIMEOUT_MILLIS)
          .option(EpollChannelOption.TCP_KEEPIDLE, KEEPALIVE_INTERVAL_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, KEEPALIVE_INTERVAL_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, KEEPALIVE_PROBE_COUNT);
    }
  }
}
