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
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpObject;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpServerCodec;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.HttpVersion;
import java.net.InetSocketAddress;
import java.nio.charset.StandardCharsets;
import java.util.function.Function;
import org.shallothold.wire.connection.Transport;

/** Answers the platform's questions about this process: readiness and metrics. */
final class StatusListener {

  /**
   * An answer.
   *
   * @param status status code
   * @param text body
   */
  record Answer(int status, String text) {

    static Answer notFound() {
      return new Answer(HttpResponseStatus.NOT_FOUND.code(), "");
    }
  }

  private StatusListener() {}

  /**
   * Starts to listen.
   *
   * @param answers gives the answer for a path
   * @throws IllegalStateException if the address can't be bound
   */
  static void start(
      EventLoopGroup group, InetSocketAddress address, Function<String, Answer> answers) {
    var bound =
        new ServerBootstrap()
            .group(group)
            .channel(Transport.serverChannel(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    channel.pipeline().addLast(new HttpServerCodec()).addLast(new Handler(answers));
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + address, bound.cause());
    }
  }

  private static final class Handler extends SimpleChannelInboundHandler<HttpObject> {

    private final Function<String, Answer> answers;

    Handler(Function<String, Answer> answers) {
      this.answers = answers;
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, HttpObject message) {
      if (!(message instanceof HttpRequest request)) {
        return;
      }
      Answer answer = answers.apply(request.uri());
      ByteBuf body = Unpooled.copiedBuffer(answer.text(), StandardCharsets.UTF_8);
      DefaultFullHttpResponse response =
          new DefaultFullHttpResponse(
              HttpVersion.HTTP_1_1, HttpResponseStatus.valueOf(answer.status()), body);
      response.headers().set(HttpHeaderNames.CONTENT_TYPE, "text/plain; charset=utf-8");
      HttpUtil.setContentLength(response, body.readableBytes());
      boolean keepAlive = HttpUtil.isKeepAlive(request);
      HttpUtil.setKeepAlive(response, keepAlive);
      var written = context.writeAndFlush(response);
      if (!keepAlive) {
        written.addListener(ChannelFutureListener.CLOSE);
      }
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      context.close();
    }
  }
}
