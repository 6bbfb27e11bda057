package org.shallothold.wire.connection;

import io.netty.channel.Channel;
import io.netty.channel.ChannelHandlerContext;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ChannelPipeline;
import io.netty.channel.EventLoop;
import io.netty.channel.SimpleChannelInboundHandler;
import io.netty.handler.codec.protobuf.ProtobufDecoder;
import io.netty.handler.codec.protobuf.ProtobufEncoder;
import io.netty.handler.codec.protobuf.ProtobufVarint32LengthFieldPrepender;
import io.netty.handler.ssl.SslContext;
import io.netty.handler.timeout.IdleState;
import io.netty.handler.timeout.IdleStateEvent;
import io.netty.handler.timeout.IdleStateHandler;
import io.netty.util.concurrent.FastThreadLocal;
import java.lang.System.Logger;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Heartbeat;
import org.shallothold.wire.proto.Hello;

/**
 * Installs the channel handlers of a connection: TLS, idle timeouts, framing, Protobuf and the
 * hello exchange. Client and server use the same pipeline.
 */
final class PeerPipeline extends ChannelInitializer<Channel> {

  private static final Logger LOGGER = System.getLogger(PeerPipeline.class.getName());
  private static final Envelope HEARTBEAT =
      Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build();

  // One for each event loop, which all connections to peers share.
  private static final FastThreadLocal<ReadScheduler> READ_SCHEDULERS = new FastThreadLocal<>();

  private final ConnectionLimits limits;
  private final Supplier<Hello> localHello;
  private final PeerListener listener;
  private final @Nullable SslContext tls;

  PeerPipeline(
      ConnectionLimits limits,
      Supplier<Hello> localHello,
      PeerListener listener,
      @Nullable SslContext tls) {
    this.limits = limits;
    this.localHello = localHello;
    this.listener = listener;
    this.tls = tls;
  }

  @Override
  protected void initChannel(Channel channel) {
    channel.config().setOption(ChannelOption.TCP_NODELAY, true);
    ChannelPipeline pipeline = channel.pipeline();
    pipeline.addLast(readScheduler(channel.eventLoop()).newReads(channel));
    if (tls != null) {
      pipeline.addLast(tls.newHandler(channel.alloc()));
    }
    pipeline.addLast(
        new IdleStateHandler(
            limits.silenceMillis(), limits.heartbeatMillis(), 0, TimeUnit.MILLISECONDS));
    pipeline.addLast(new FrameDecoder(limits.maxFrameBytes()));
    pipeline.addLast(new ProtobufDecoder(Envelope.getDefaultInstance()));
    pipeline.addLast(new ProtobufVarint32LengthFieldPrepender());
    pipeline.addLast(new ProtobufEncoder());
    pipeline.addLast(new EnvelopeHandler(new PeerConnection(channel)));
  }

  private static ReadScheduler readScheduler(EventLoop eventLoop) {
    ReadScheduler scheduler = READ_SCHEDULERS.getIfExists();
    if (scheduler == null) {
      scheduler = ReadScheduler.create("peer", eventLoop);
      READ_SCHEDULERS.set(scheduler);
    }
    return scheduler;
  }

  private final class EnvelopeHandler extends SimpleChannelInboundHandler<Envelope> {

    private final PeerConnection connection;
    private boolean helloReceived;

    EnvelopeHandler(PeerConnection connection) {
      this.connection = connection;
    }

    @Override
    public void channelActive(ChannelHandlerContext context) {
      connection.send(Envelope.newBuilder().setHello(localHello.get()).build());
      context.fireChannelActive();
    }

    @Override
    protected void channelRead0(ChannelHandlerContext context, Envelope envelope) {
      switch (envelope.getMessageCase()) {
        case HELLO -> receiveHello(envelope.getHello());
        case HEARTBEAT -> {}
        default -> {
          if (helloReceived) {
            listener.received(connection, envelope);
          } else {
            LOGGER.log(Logger.Level.WARNING, "peer sent a message before its hello; closing");
            context.close();
          }
        }
      }
    }

    private void receiveHello(Hello hello) {
      connection.remoteHello(hello);
      if (!helloReceived) {
        helloReceived = true;
        listener.connected(connection, hello);
      }
    }

    @Override
    public void userEventTriggered(ChannelHandlerContext context, Object event) {
      if (event instanceof IdleStateEvent idle) {
        if (idle.state() == IdleState.READER_IDLE) {
          context.close();
        } else if (idle.state() == IdleState.WRITER_IDLE) {
          connection.send(HEARTBEAT);
        }
      }
      context.fireUserEventTriggered(event);
    }

    @Override
    public void channelInactive(ChannelHandlerContext context) {
      if (helloReceived) {
        listener.disconnected(connection);
      }
      context.fireChannelInactive();
    }

    @Override
    public void exceptionCaught(ChannelHandlerContext context, Throwable cause) {
      LOGGER.log(Logger.Level.DEBUG, "closing connection after an error", cause);
      context.close();
    }
  }
}
