package org.shallothold.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;

/**
 * HTTP server on 127.0.0.1 with one thread, which also runs everything that its handler schedules.
 * So a handler needs no locks, and stopping the thread freezes the whole stand-in. Created by the
 * main class or a test; serves until closed. May be closed from any thread.
 */
public final class LoopbackServer implements AutoCloseable {

  private static final System.Logger LOGGER = System.getLogger(LoopbackServer.class.getName());
  private static final int MAX_BODY_BYTES = 4 << 20;
  private static final int ACCEPT_BACKLOG = 1024;

  private final NioEventLoopGroup group;
  private final Channel channel;

  private LoopbackServer(NioEventLoopGroup group, Channel channel) {
    this.group = group;
    this.channel = channel;
  }

  /**
   * Starts a server.
   *
   * @param port TCP port; 0 picks a free one
   * @param factory creates the behaviour; gets the server's thread, on which it is called
   */
  public static LoopbackServer start(
      int port, Function<ScheduledExecutorService, Standin> factory) {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      EventLoop loop = group.next();
      Standin handler = factory.apply(loop);
      Channel channel =
          new ServerBootstrap()
              .group(group)
              .channel(NioServerSocketChannel.class)
              .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
              .childOption(ChannelOption.TCP_NODELAY, true)
              .childHandler(
                  new ChannelInitializer<SocketChannel>() {
                    @Override
                    protected void initChannel(SocketChannel accepted) {
                      accepted
                          .pipeline()
                          .addLast(new HttpServerCodec())
                          .addLast(new HttpObjectAggregator(MAX_BODY_BYTES))
                          .addLast(new RequestHandler(handler));
                    }
                  })
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .syncUninterruptibly()
              .channel();
      return new LoopbackServer(group, channel);
    } catch (RuntimeException e) {
      shutDown(group);
      throw e;
    }
  }

  /** Stops the calling thread, which is the server's, as a paused process would stop. */
  public static void freeze(Duration duration) {
    try {
      Thread.sleep(duration);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  /** Returns the TCP port that the server listens on. */
  public int port() {
    return ((InetSocketAddress) channel.localAddress()).getPort();
  }

  @Override
  public void close() {
    shutDown(group);
  }

  private static void shutDown(NioEventLoopGroup group) {
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS).awaitUninterruptibly();
  }

  /** Handles the requests of one connection, one at a time. */
  private static final class RequestHandler extends SimpleChannelInboundHandler<FullHttpRequest> {

    private final Standin handler;
    private @Nullable Exchange current;

    RequestHandler(Standin handler) {
      this.handler = handler;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, FullHttpRequest request) {
      if (current != null && !current.finished()) {
        // Answers to pipelined requests could get out of order, and no client here sends any.
        var unused = context.close();
        return;
      }
      Exchange exchange = new Exchange(context.channel(), request);
      current = exchange;
      try {
        handler.handle(exchange);
      } catch (RequestException e) {
        exchange.respond(e.status(), Json.error(e.code(), String.valueOf(e.getMessage())));
      } catch (RuntimeException e) {
        LOGGER.log(System.Logger.Level.ERROR, "failed on " + exchange.route(), e);
        exchange.respond(500, Json.error("internal", String.valueOf(e)));
      }
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (current != null) {
        current.connectionClosed();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      // A reset connection ends like a closed one: channelInactive follows.
      LOGGER.log(System.Logger.Level.DEBUG, "connection failed", cause);
      var unused = context.close();
    }
  }
}
