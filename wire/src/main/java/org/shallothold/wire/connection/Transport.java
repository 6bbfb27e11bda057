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

/** Netty's epoll transport where it is available, else NIO. */
public final class Transport {

  // A peer that lost power or is cut off answers nothing: data that stays unacknowledged for this
  // long, and idle connections after three seconds of probes, end with an error.
  private static final int UNACKNOWLEDGED_MILLIS = 1_500;
  private static final int IDLE_PROBE_SECONDS = 1;
  private static final int PROBES = 2;

  private Transport() {}

  /** Returns a group with the given number of daemon threads. */
  public static EventLoopGroup group(String name, int threads) {
    DefaultThreadFactory threadFactory = new DefaultThreadFactory(name, true);
    return Epoll.isAvailable()
        ? new EpollEventLoopGroup(threads, threadFactory)
        : new NioEventLoopGroup(threads, threadFactory);
  }

  /** Returns the class of outgoing connections for a group. */
  public static Class<? extends Channel> socketChannel(EventLoopGroup group) {
    return group instanceof EpollEventLoopGroup ? EpollSocketChannel.class : NioSocketChannel.class;
  }

  /** Returns the class of listening sockets for a group. */
  public static Class<? extends ServerChannel> serverChannel(EventLoopGroup group) {
    return group instanceof EpollEventLoopGroup
        ? EpollServerSocketChannel.class
        : NioServerSocketChannel.class;
  }

  /** Sets options that find a silent peer, as far as the transport has them. */
  public static <B extends AbstractBootstrap<B, C>, C extends Channel> void findSilentPeers(
      AbstractBootstrap<B, C> bootstrap, EventLoopGroup group) {
    bootstrap.option(ChannelOption.SO_KEEPALIVE, true);
    if (group instanceof EpollEventLoopGroup) {
      bootstrap
          .option(EpollChannelOption.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MILLIS)
          .option(EpollChannelOption.TCP_KEEPIDLE, IDLE_PROBE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPINTVL, IDLE_PROBE_SECONDS)
          .option(EpollChannelOption.TCP_KEEPCNT, PROBES);
    }
  }
}
