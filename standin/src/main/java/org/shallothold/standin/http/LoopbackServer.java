package org.shallothold.standin.http;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.channel.nio.NioEventLoopGroup;
import io.netty.channel.socket.SocketChannel;
import io.netty.channel.socket.nio.NioServerSocketChannel;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpObjectAggregator;
import io.netty.handler.codec.http.HttpServerCodec;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
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
   * @throws UncheckedIOException if the port is taken
   */
  public static LoopbackServer start(int port, Function<ServerLoop, Standin> factory) {
    NioEventLoopGroup group = new NioEventLoopGroup(1);
    try {
      Standin standin = factory.apply(new ServerLoop(group.next()));
      ChannelFuture bound =
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
                          .addLast(new RequestHandler(standin));
                    }
                  })
              .bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), port))
              .awaitUninterruptibly();
      if (!bound.isSuccess()) {
        throw new UncheckedIOException(
            "can't listen on port " + port, new IOException(bound.cause()));
      }
      return new LoopbackServer(group, bound.channel());
    } catch (RuntimeException e) {
      shutDown(group);
      throw e;
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

    private final Standin standin;
    private @Nullable Exchange current;

    RequestHandler(Standin standin) {
      this.standin = standin;
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
        dispatch(exchange);
      } catch (RequestException e) {
        exchange.respond(e.status(), Json.error(e.code(), String.valueOf(e.getMessage())));
      } catch (RuntimeException e) {
        LOGGER.log(System.Logger.Level.ERROR, "failed on " + exchange.route(), e);
        exchange.respond(500, Json.error("internal", String.valueOf(e)));
      }
    }

    private void dispatch(Exchange exchange) {
      switch (exchange.route()) {
        case "POST /faults" -> {
          standin.applyFaults(exchange.json());
          exchange.respond(200, standin.faults());
        }
        case "GET /faults" -> exchange.respond(200, standin.faults());
        default -> standin.handle(exchange);
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
