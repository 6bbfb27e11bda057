package org.shallothold.gateway.forward;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFutureListener;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.http.DefaultFullHttpResponse;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.shallothold.gateway.headers.HeaderCounter;
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.connection.Transport;

/** A small HTTP server for one endpoint about this process, such as readiness or metrics. */
final class StatusListener {

  /**
   * A response of the endpoint.
   *
   * @param status HTTP status code
   * @param body body, sent as UTF-8 text; may be empty
   */
  record Response(int status, String body) {

    static Response notFound() {
      return new Response(HttpResponseStatus.NOT_FOUND.code(), "");
    }
  }

  // Far above what a poller sends; anyone may connect, and each line occupies some hundred bytes.
  private static final int MAX_HEADER_LINES = 64;
  // Longer than usual scrape intervals.
  private static final int IDLE_SECONDS = 120;

  private StatusListener() {}

  private static HttpDecoderConfig requestLimits() {
    return HeaderCounter.ofLines(MAX_HEADER_LINES).countWith(new HttpDecoderConfig());
  }

  /**
   * Binds the address and serves requests until the event loop group shuts down.
   *
   * @param group event loop group with a single event loop
   * @param responder returns the response for a request URI; called on an event loop of the group
   * @throws IllegalStateException if the address can't be bound
   */
  static void start(
      EventLoopGroup group, InetSocketAddress address, Function<String, Response> responder) {
    ReadScheduler readScheduler = ReadScheduler.create("poller", group.next());
    var bindFuture =
        new ServerBootstrap()
            .group(group)
            .channel(Transport.serverChannel(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel
                        .pipeline()
                        .addLast(readScheduler.newReads(channel))
                        .addLast(new HttpServerCodec(requestLimits()))
                        .addLast(new IdleStateHandler(0, 0, IDLE_SECONDS))
                        .addLast(new Handler(responder));
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bindFuture.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + address, bindFuture.cause());
    }
  }

  private static final class Handler extends SimpleChannelInboundHandler<HttpObject> {

    private final Function<String, Response> responder;

    Handler(Function<String, Response> responder) {
      this.responder = responder;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (message.decoderResult().isFailure()) {
        context.close();
        return;
      }
      if (!(message instanceof HttpRequest request)) {
        return;
      }
      Response response = responder.apply(request.uri());
      ByteBuf content = Unpooled.copiedBuffer(response.body(), StandardCharsets.UTF_8);
      DefaultFullHttpResponse httpResponse =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(response.status()), content);
      httpResponse.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      HttpUtil.setContentLength(httpResponse, content.readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(httpResponse, keepAlive);
      var writeFuture = context.writeAndFlush(httpResponse);
      if (!keepAlive) {
        writeFuture.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent) {
        context.close();
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
