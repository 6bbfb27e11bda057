package org.shallothold.gateway.http;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandler;
import io.netty.channel.ChannelHandler.Sharable;
import io.netty.channel.ChannelHandlerAdapter;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelPipeline;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpRequestDecoder;
import ratpack.func.Action;
import ratpack.impose.Impositions;
import ratpack.server.RatpackServer;
import ratpack.server.RatpackServerSpec;
import ratpack.server.ServerConfig;
import ratpack.server.internal.DefaultRatpackServer;

/**
 * A Ratpack server that counts header lines while they are read. Ratpack offers no other place for
 * this than the channel that it builds.
 */
final class LimitedRatpackServer extends DefaultRatpackServer {

  // Names that Ratpack gives its handlers.
  private static final String DECODER = "decoder";
  private static final String ENCODER = "encoder";

  private final HeadLimits limits;

  private LimitedRatpackServer(HeadLimits limits, Action<? super RatpackServerSpec> definition)
      throws Exception {
    super(definition, Impositions.current());
    this.limits = limits;
  }

  static RatpackServer start(HeadLimits limits, Action<? super RatpackServerSpec> definition)
      throws Exception {
    LimitedRatpackServer server = new LimitedRatpackServer(limits, definition);
    server.start();
    return server;
  }

  @Override
  protected Channel buildChannel(ServerConfig config, ChannelHandler adapter)
      throws InterruptedException {
    return super.buildChannel(config, new Installer(limits, config, adapter));
  }

  /** Takes the place of Ratpack's last handler, and puts it behind the limits. */
  @Sharable
  private static final class Installer extends ChannelHandlerAdapter {

    private final HeadLimits limits;
    private final ServerConfig config;
    private final ChannelHandler adapter;

    Installer(HeadLimits limits, ServerConfig config, ChannelHandler adapter) {
      this.limits = limits;
      this.config = config;
      this.adapter = adapter;
    }

    @Override
    public void handlerAdded(ChannelHandlerContext context) {
      ChannelPipeline pipeline = context.pipeline();
      LimitedConnection connection = new LimitedConnection(limits, context.channel());
      HttpDecoderConfig decoding =
          new HttpDecoderConfig()
              .setMaxInitialLineLength(config.getMaxInitialLineLength())
              .setMaxHeaderSize(config.getMaxHeaderSize())
              .setMaxChunkSize(config.getMaxChunkSize())
              .setValidateHeaders(false);
      pipeline.replace(DECODER, DECODER, new HttpRequestDecoder(connection.countWith(decoding)));
      pipeline.addAfter(ENCODER, "limits", connection);
      pipeline.addLast("requests", adapter);
      pipeline.remove(this);
    }
  }
}
