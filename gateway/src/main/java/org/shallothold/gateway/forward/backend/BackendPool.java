package org.shallothold.gateway.forward.backend;

import io.netty.bootstrap.Bootstrap;
import io.netty.channel.Channel;
import io.netty.channel.ChannelFuture;
import io.netty.channel.ChannelInitializer;
import io.netty.channel.ChannelOption;
import io.netty.channel.ConnectTimeoutException;
import io.netty.channel.EventLoop;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.util.ReferenceCountUtil;
import java.net.ConnectException;
import java.net.InetSocketAddress;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashSet;
import java.util.Iterator;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.connection.Transport;

/**
 * Pool of the connections to one backend server. A request uses the most recently used idle
 * connection, so that surplus connections stay idle and expire. Not thread-safe; used on the event
 * loop only.
 */
public final class BackendPool {

  /** Keep-alive time of a connection whose server specifies none, in milliseconds. */
  static final long DEFAULT_KEEP_ALIVE_MILLIS = 4_000;

  // The server counts the keep-alive time from the end of its response and closes the connection as
  // soon as it is over. The margin keeps a request from crossing that close.
  private static final long KEEP_ALIVE_MARGIN_MILLIS = 500;
  private static final int CONNECT_TIMEOUT_MILLIS = 400;
  // Bounds what is left to be read at once when the server closes its side.
  private static final int RECEIVE_BUFFER_BYTES = 256 * 1024;
  // A connection that a server accepted while it was ending is closed within this time.
  private static final long CHECK_OPEN_MILLIS = 20;
  private static final int MAX_CHECKS = 4;

  private final Bootstrap bootstrap;
  private final Server server;
  private final ReadScheduler readScheduler;
  private final HeaderTranslation translation;
  private final ForeignBytesListener foreignBytesListener;
  private final Deque<IdleConnection> idleConnections = new ArrayDeque<>();
  private final Set<BackendConnection> openConnections = new HashSet<>();
  private final BackendConnection.Owner connectionOwner = new ConnectionOwner();
  private int connectionsBeingOpened;

  private record IdleConnection(BackendConnection connection, long sinceNanos) {}

  /** Receives what servers send beside the responses to the requests in flight. */
  public interface ForeignBytesListener {

    /** Called for each response, or part of one, that does not belong to the request in flight. */
    void foreignBytesReceived(ForeignBytes foreignBytes);
  }

  /**
   * A backend server.
   *
   * @param id id by which logs name it
   */
  public record Server(String id, InetSocketAddress address) {}

  private BackendPool(
      EventLoop eventLoop,
      Server server,
      ReadScheduler readScheduler,
      HeaderTranslation translation,
      ForeignBytesListener foreignBytesListener) {
    this.server = server;
    this.readScheduler = readScheduler;
    this.translation = translation;
    this.foreignBytesListener = foreignBytesListener;
    this.bootstrap =
        new Bootstrap()
            .group(eventLoop)
            .channel(Transport.socketChannel(eventLoop.parent()))
            .remoteAddress(server.address())
            .option(ChannelOption.TCP_NODELAY, true)
            .option(ChannelOption.SO_RCVBUF, RECEIVE_BUFFER_BYTES)
            .option(ChannelOption.CONNECT_TIMEOUT_MILLIS, CONNECT_TIMEOUT_MILLIS)
            .handler(
                new ChannelInitializer<Channel>() {
                  @Override
                  protected void initChannel(Channel channel) {
                    initialize(channel);
                  }
                });
    Transport.enableDeadPeerDetection(bootstrap, eventLoop.parent());
  }

  /** Returns a pool without connections; they are opened on demand. */
  public static BackendPool of(
      EventLoop eventLoop,
      Server server,
      ReadScheduler readScheduler,
      HeaderTranslation translation,
      ForeignBytesListener foreignBytesListener) {
    return new BackendPool(eventLoop, server, readScheduler, translation, foreignBytesListener);
  }

  /** Handle of a request in flight. */
  public static final class Exchange {
    private @Nullable BackendConnection connection;
    // Until a connection is open.
    private @Nullable FullHttpRequest unsent;
    private boolean abandoned;

    private Exchange() {}

    /** Returns a handle that belongs to no request; its methods have no effect. */
    public static Exchange none() {
      return new Exchange();
    }

    /**
     * Abandons the request. Its listener is not called any more, and its connection, if it was sent
     * already, is closed.
     */
    public void abandon() {
      abandoned = true;
      if (unsent != null) {
        // The memory of its copied lines is given back before the connection attempt ends.
        unsent.headers().clear();
      }
      if (connection != null) {
        connection.abandon();
      }
    }

    /** Stops or resumes reading the response; has no effect before the request is sent. */
    public void setAutoRead(boolean enabled) {
      if (connection != null) {
        connection.setAutoRead(enabled);
      }
    }
  }

  /**
   * Sends a request on an idle connection or a new one, and releases its buffer.
   *
   * @param requestId id by which the server's response names the request
   * @param listener receives the response, or the failure to connect
   * @return handle by which the request can be abandoned
   */
  public Exchange send(FullHttpRequest request, String requestId, BackendListener listener) {
    Exchange exchange = new Exchange();
    BackendConnection reused = takeIdle(requestId);
    if (reused != null) {
      exchange.connection = reused;
      reused.send(request, requestId, listener);
      return exchange;
    }
    connectionsBeingOpened++;
    exchange.unsent = request;
    bootstrap
        .connect()
        .addListener(
            (ChannelFuture future) ->
                connectCompleted(future, exchange, request, requestId, listener));
    return exchange;
  }

  /** Whether a server accepts connections. */
  public enum Reachability {
    /** It accepted a connection. */
    ACCEPTED,
    /** No process listens at its address. */
    REFUSED,
    /** It did not answer, so that nothing is known. */
    NO_ANSWER
  }

  /**
   * Opens a connection to find out whether the server accepts any; it is kept for later requests.
   * The connection must stay open for a short time: a process that is ending may accept some and
   * then close them.
   *
   * @param listener receives the result
   */
  public void checkReachable(Consumer<Reachability> listener) {
    checkReachable(MAX_CHECKS, listener);
  }

  private void checkReachable(int checks, Consumer<Reachability> listener) {
    connectionsBeingOpened++;
    bootstrap
        .connect()
        .addListener((ChannelFuture future) -> checkCompleted(future, checks, listener));
  }

  private void checkCompleted(ChannelFuture future, int checks, Consumer<Reachability> listener) {
    connectionsBeingOpened--;
    if (future.isSuccess()) {
      BackendConnection connection = future.channel().pipeline().get(BackendConnection.class);
      if (connection != null) {
        openConnections.add(connection);
      }
      future
          .channel()
          .eventLoop()
          .schedule(
              () -> connectionChecked(connection, checks, listener),
              CHECK_OPEN_MILLIS,
              TimeUnit.MILLISECONDS);
      return;
    }
    boolean refused =
        future.cause() instanceof ConnectException
            && !(future.cause() instanceof ConnectTimeoutException);
    listener.accept(refused ? Reachability.REFUSED : Reachability.NO_ANSWER);
  }

  private void connectionChecked(
      @Nullable BackendConnection connection, int checks, Consumer<Reachability> listener) {
    if (connection != null && connection.isUsable()) {
      connectionReleased(connection);
      listener.accept(Reachability.ACCEPTED);
    } else if (checks > 1) {
      checkReachable(checks - 1, listener);
    } else {
      listener.accept(Reachability.NO_ANSWER);
    }
  }

  /** Returns the number of connections that are open or being opened. */
  public int size() {
    return openConnections.size() + connectionsBeingOpened;
  }

  /** Closes the idle connections. Those in use stay open until the server closes them. */
  public void close() {
    idleConnections.forEach(entry -> entry.connection().close());
    idleConnections.clear();
  }

  /** Closes connections whose idle time has almost reached their keep-alive time. */
  public void closeExpired() {
    Iterator<IdleConnection> entries = idleConnections.iterator();
    while (entries.hasNext()) {
      IdleConnection entry = entries.next();
      if (isExpired(entry)) {
        entries.remove();
        entry.connection().close();
      }
    }
  }

  private void connectionReleased(BackendConnection connection) {
    if (connection.isUsable()) {
      connection.setAutoRead(true);
      idleConnections.addFirst(new IdleConnection(connection, System.nanoTime()));
    } else {
      connection.close();
    }
  }

  private void connectionClosed(BackendConnection connection) {
    openConnections.remove(connection);
    idleConnections.removeIf(entry -> entry.connection() == connection);
  }

  private void initialize(Channel channel) {
    BackendConnection connection =
        new BackendConnection(connectionOwner, translation, channel, server.id(), readScheduler);
    channel
        .pipeline()
        .addLast(connection.reads())
        .addLast(connection.decoder())
        .addLast(new HttpRequestEncoder())
        .addLast(connection);
  }

  /**
   * Removes and returns an idle connection for a request; null if there is none. A connection whose
   * last request was the same one is closed: a second copy of the response to it would be taken for
   * the response to this one.
   */
  private @Nullable BackendConnection takeIdle(String requestId) {
    while (!idleConnections.isEmpty()) {
      IdleConnection entry = idleConnections.removeFirst();
      BackendConnection connection = entry.connection();
      boolean sameRequest = !requestId.isEmpty() && connection.lastRequestId().equals(requestId);
      if (connection.isUsable() && !isExpired(entry) && !sameRequest) {
        return connection;
      }
      connection.close();
    }
    return null;
  }

  private static boolean isExpired(IdleConnection entry) {
    long idleMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - entry.sinceNanos());
    return idleMillis >= entry.connection().keepAliveMillis() - KEEP_ALIVE_MARGIN_MILLIS;
  }

  private void connectCompleted(
      ChannelFuture future,
      Exchange exchange,
      FullHttpRequest request,
      String requestId,
      BackendListener listener) {
    connectionsBeingOpened--;
    exchange.unsent = null;
    BackendConnection connection =
        future.isSuccess() ? future.channel().pipeline().get(BackendConnection.class) : null;
    if (connection != null) {
      openConnections.add(connection);
    }
    if (exchange.abandoned) {
      ReferenceCountUtil.release(request);
      if (connection != null) {
        connectionReleased(connection);
      }
      return;
    }
    if (connection == null) {
      ReferenceCountUtil.release(request);
      String reason = future.isSuccess() ? "closed" : future.cause().getClass().getSimpleName();
      listener.failed("cannot connect: " + reason, true);
      return;
    }
    exchange.connection = connection;
    connection.send(request, requestId, listener);
  }

  private final class ConnectionOwner implements BackendConnection.Owner {

    @Override
    public void connectionReleased(BackendConnection connection) {
      BackendPool.this.connectionReleased(connection);
    }

    @Override
    public void connectionClosed(BackendConnection connection) {
      BackendPool.this.connectionClosed(connection);
    }

    @Override
    public void foreignBytesReceived(ForeignBytes foreignBytes) {
      foreignBytesListener.foreignBytesReceived(foreignBytes);
    }
  }
}
