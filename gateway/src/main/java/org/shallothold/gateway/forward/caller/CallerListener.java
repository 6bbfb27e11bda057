package org.shallothold.gateway.forward.caller;

import io.netty.bootstrap.ServerBootstrap;
import io.netty.channel.AdaptiveRecvByteBufAllocator;
import io.netty.channel.Channel;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpServerCodec;
import java.net.InetSocketAddress;
import java.util.EnumMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.stream.Collectors;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.connection.Transport;

/** Accepts the connections of callers. Not thread-safe; used on the event loop after the start. */
public final class CallerListener {

  private static final int MAX_REQUEST_LINE_BYTES = 8 * 1024;
  private static final int MAX_CHUNK_BYTES = 64 * 1024;
  private static final int ACCEPT_BACKLOG = 1_024;
  // A header line that is not complete keeps the whole buffer that it was read into.
  private static final int MIN_READ_BYTES = 64;
  private static final int INITIAL_READ_BYTES = 2 * 1024;
  private static final int MAX_READ_BYTES = 16 * 1024;
  // Bounds what is left to be read at once when the caller closes its side.
  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;

  private final Set<CallerConnection> connections = new HashSet<>();
  private @Nullable CallerService service;
  private @Nullable Channel serverChannel;

  private CallerListener() {}

  /**
   * Starts to listen without accepting connections yet. They wait in the operating system's accept
   * queue, so that callers that connect while the gateway starts are not refused. Blocks until the
   * address is bound.
   *
   * @param group event loop group with a single event loop
   * @throws IllegalStateException if the address can't be bound
   */
  public static CallerListener bind(EventLoopGroup group, InetSocketAddress address) {
    CallerListener listener = new CallerListener();
    var bound =
        new ServerBootstrap()
            .group(group)
            .channel(Transport.serverChannel(group))
            .option(ChannelOption.SO_REUSEADDR, true)
            .option(ChannelOption.SO_BACKLOG, ACCEPT_BACKLOG)
            .option(ChannelOption.AUTO_READ, false)
            .childOption(ChannelOption.TCP_NODELAY, true)
            .childOption(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .childOption(
                ChannelOption.RCVBUF_ALLOCATOR,
                new AdaptiveRecvByteBufAllocator(
                    MIN_READ_BYTES, INITIAL_READ_BYTES, MAX_READ_BYTES))
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
    listener.serverChannel = bound.channel();
    return listener;
  }

  /** Accepts connections from now on, and passes their requests to a service. */
  public void serve(CallerService requestService) {
    service = requestService;
    Channel open = serverChannel;
    if (open != null) {
      open.config().setAutoRead(true);
    }
  }

  /** Returns the port that callers connect to. */
  public int port() {
    Channel open = serverChannel;
    return open == null ? 0 : ((InetSocketAddress) open.localAddress()).getPort();
  }

  /** Stops accepting connections; open ones stay open. */
  public void stopAccepting() {
    Channel open = serverChannel;
    if (open != null) {
      open.close();
    }
  }

  /** Closes the connections on which no request is being received, queued or answered. */
  public void closeIdle() {
    List.copyOf(connections).forEach(CallerConnection::closeIfIdle);
  }

  /** Refuses the requests that are not received in full yet. */
  public void refuseIncompleteRequests() {
    List.copyOf(connections).forEach(CallerConnection::refuseIncompleteRequest);
  }

  /** Returns the number of connections on which a request is being received or answered. */
  public long busyConnections() {
    return connections.stream().filter(CallerConnection::isBusy).count();
  }

  /** Returns the number of open connections. */
  public int connections() {
    return connections.size();
  }

  /** Returns the memory of requests, in bytes, by what happens to them. */
  public Map<RequestMemoryState, Long> requestMemory() {
    return connections.stream()
        .collect(
            Collectors.groupingBy(
                RequestMemoryState::of,
                () -> new EnumMap<>(RequestMemoryState.class),
                Collectors.summingLong(CallerConnection::requestMemoryBytes)));
  }

  private void initialize(Channel channel) {
    CallerService currentService = Objects.requireNonNull(service);
    CallerConnection connection = new CallerConnection(currentService, channel);
    connections.add(connection);
    channel.closeFuture().addListener(ignored -> connections.remove(connection));
    int maxHeadBytes = currentService.limits().maxHeaderBytes();
    HttpDecoderConfig decoding =
        new HttpDecoderConfig()
            .setMaxInitialLineLength(Math.min(MAX_REQUEST_LINE_BYTES, maxHeadBytes))
            .setMaxHeaderSize(maxHeadBytes)
            .setMaxChunkSize(MAX_CHUNK_BYTES);
    channel
        .pipeline()
        .addLast(currentService.readScheduler().newReads(channel))
        .addLast(new HttpServerCodec(connection.headerCounter().countWith(decoding)))
        .addLast(connection);
  }
}
