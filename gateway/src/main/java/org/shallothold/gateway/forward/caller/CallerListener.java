package org.shallothold.gateway.forward.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Objects;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.connection.Transport;

/** Accepts callers' connections. Owned by the event loop. */
public final class CallerListener {

  private static final int MAX_LINE_BYTES = 8 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int BACKLOG = 1_024;

  private final Set<CallerConnection> connections = new HashSet<>();
  private @Nullable CallerService service;
  private @Nullable Channel listening;

  private CallerListener() {}

  /**
   * Listens without taking connections yet. They wait in the operating system, so that callers that
   * come during the rest of the start are not turned away.
   *
   * @throws IllegalStateException if the address can't be bound
   */
  public static CallerListener bind(EventLoopGroup group, InetSocketAddress address) {
    CallerListener listener = new CallerListener();
    var bound =
        new ServerBootstrap()
            .group(group)
            .channel(Transport.serverChannel(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, BACKLOG)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childHandler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    listener.initialize(channel);
                  }
                })
            .bind(address)
            .awaitUninterruptibly();
    if (!bound.isSuccess()) {
      throw new IllegalStateException("cannot listen on " + address, bound.cause());
    }
    listener.listening = bound.channel();
    return listener;
  }

  /** Takes connections from now on, and passes their requests to a service. */
  public void serve(CallerService forConnections) {
    service = forConnections;
    Channel open = listening;
    if (open != null) {
      open.config().setAutoRead(true);
    }
  }

  /** Returns the port that callers connect to. */
  public int port() {
    Channel open = listening;
    return open == null ? 0 : ((InetSocketAddress) open.localAddress()).getPort();
  }

  /** Takes no more connections; open ones stay. */
  public void stopAccepting() {
    Channel open = listening;
    if (open != null) {
      open.close();
    }
  }

  /** Closes the connections that wait for a request. */
  public void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Returns how many connections have a request without an answer. */
  public long busyConnections() {
    return connections.stream().filter(CallerConnection::isBusy).count();
  }

  /** Returns how many connections are open. */
  public int connections() {
    return connections.size();
  }

  private void initialize(Channel channel) {
    CallerService serving = Objects.requireNonNull(service);
    CallerConnection connection = new CallerConnection(serving, channel);
    connections.add(connection);
    channel.closeFuture().addListener(ignored -> connections.remove(connection));
    int maxHead = serving.limits().maxHeaderBytes();
    channel
        .pipeline()
        .addLast(new HttpServerCodec(Math.min(MAX_LINE_BYTES, maxHead), maxHead, MAX_CHUNK_BYTES))
        .addLast(connection);
  }
}
