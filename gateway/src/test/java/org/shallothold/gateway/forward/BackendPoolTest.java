package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.EventLoop;
import io.netty.channel.EventLoopGroup;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.Objects;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.backend.BackendListener;
import org.shallothold.gateway.forward.backend.BackendPool;
import org.shallothold.gateway.forward.port.ResponseMetadata;
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.connection.Transport;

/** Which connections to a backend server are used for further requests. */
class BackendPoolTest {

  private static final long SETTLE_MILLIS = 150;
  private static final String LEFTOVER = "HTTP/1.1 200 OK";

  private final EventLoopGroup group = Transport.group("test", 1);
  private final EventLoop eventLoop = group.next();
  private final CompletableFuture<Socket> firstConnection = new CompletableFuture<>();
  private final AtomicInteger connectionsAccepted = new AtomicInteger();
  private final CompletableFuture<Integer> additionalBytes = new CompletableFuture<>();
  private ServerSocket server = unboundSocket();
  private BackendPool pool = poolOf(server);

  private static ServerSocket unboundSocket() {
    try {
      return new ServerSocket();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private BackendPool poolOf(ServerSocket socket) {
    return BackendPool.of(
        eventLoop,
        new BackendPool.Server(
            "server",
            new InetSocketAddress(
                InetAddress.getLoopbackAddress(), Math.max(0, socket.getLocalPort()))),
        ReadScheduler.create("test", eventLoop),
        new TestTranslation(),
        foreignBytes -> additionalBytes.complete(foreignBytes.length()));
  }

  @BeforeEach
  void start() throws IOException {
    server = new ServerSocket(0, 50, InetAddress.getLoopbackAddress());
    pool = poolOf(server);
    Thread.ofVirtual().start(this::acceptConnections);
  }

  @AfterEach
  void stop() throws IOException {
    server.close();
    group.shutdownGracefully();
  }

  private void acceptConnections() {
    try {
      while (true) {
        Socket connection = server.accept();
        int number = connectionsAccepted.incrementAndGet();
        firstConnection.complete(connection);
        Thread.ofVirtual().start(() -> respond(connection, number));
      }
    } catch (IOException e) {
      // The test has ended.
    }
  }

  /** Answers each request with the number of its connection as the body. */
  private static void respond(Socket connection, int number) {
    try {
      BufferedReader input =
          new BufferedReader(
              new InputStreamReader(connection.getInputStream(), StandardCharsets.UTF_8));
      String id = "";
      for (String line = input.readLine(); line != null; line = input.readLine()) {
        if (line.toLowerCase(Locale.ROOT).startsWith("x-request: ")) {
          id = line.substring(11);
        }
        if (line.isEmpty()) {
          write(
              connection,
              "HTTP/1.1 500 X\r\nX-Request: " + id + "\r\nContent-Length: 1\r\n\r\n" + number);
        }
      }
    } catch (IOException e) {
      // The pool closed the connection.
    }
  }

  private static void write(Socket connection, String text) throws IOException {
    connection.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
  }

  /** Records a response as its status and body. */
  private static final class Recorder implements BackendListener {
    private final CompletableFuture<String> result = new CompletableFuture<>();
    private final StringBuilder text = new StringBuilder();
    private Runnable onContent = () -> {};

    @Override
    public void sending() {}

    @Override
    public void headReceived(HttpResponse head, ResponseMetadata metadata) {
      text.append(head.status().code()).append(' ');
    }

    @Override
    public void contentReceived(ByteBuf content) {
      text.append(content.toString(StandardCharsets.UTF_8));
      onContent.run();
    }

    @Override
    public void completed() {
      result.complete(text.toString());
    }

    @Override
    public void failed(String reason, boolean neverSent) {
      result.complete("failed: " + reason);
    }

    private String await() throws Exception {
      return result.get(5, TimeUnit.SECONDS);
    }
  }

  private static FullHttpRequest request(String id) {
    FullHttpRequest request =
        new DefaultFullHttpRequest(
            HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
    request.headers().set("X-Request", id);
    request.headers().set("Content-Length", 0);
    return request;
  }

  private BackendPool.Exchange send(String id, Recorder recorder) {
    return Objects.requireNonNull(
        eventLoop
            .submit(() -> pool.send(request(id), id, recorder))
            .syncUninterruptibly()
            .getNow());
  }

  private String call(String id) throws Exception {
    Recorder recorder = new Recorder();
    send(id, recorder);
    return recorder.await();
  }

  private void sendLeftover() throws Exception {
    write(firstConnection.get(5, TimeUnit.SECONDS), LEFTOVER);
    assertEquals(LEFTOVER.length(), additionalBytes.get(5, TimeUnit.SECONDS));
  }

  @Nested
  class AdditionalBytes {

    /** Guards against reading bytes on an idle connection as the begin of the next response. */
    @Test
    void idleConnectionIsClosed() throws Exception {
      assertEquals("500 1", call("a"));
      sendLeftover();
      assertEquals("500 2", call("b"));
    }

    /** Guards against the same on a connection that only served to check the server. */
    @Test
    void connectionKeptAfterCheckIsClosed() throws Exception {
      CompletableFuture<BackendPool.Reachability> reachability = new CompletableFuture<>();
      eventLoop.execute(() -> pool.checkReachable(reachability::complete));
      assertEquals(BackendPool.Reachability.ACCEPTED, reachability.get(5, TimeUnit.SECONDS));
      sendLeftover();
      assertEquals("500 2", call("a"));
    }

    /** Guards against the same on a connection whose request was abandoned before it was sent. */
    @Test
    void connectionOfAbandonedRequestIsClosed() throws Exception {
      eventLoop
          .submit(() -> pool.send(request("a"), "a", new Recorder()).abandon())
          .syncUninterruptibly();
      sendLeftover();
      assertEquals("500 2", call("b"));
    }

    /** Guards against leaving such bytes unread because reading was paused for a slow caller. */
    @Test
    void connectionWhoseReadingIsPausedIsNotUsedAgain() throws Exception {
      Recorder slow = new Recorder();
      eventLoop
          .submit(
              () -> {
                BackendPool.Exchange[] exchange = {BackendPool.Exchange.none()};
                slow.onContent = () -> exchange[0].setAutoRead(false);
                exchange[0] = pool.send(request("a"), "a", slow);
              })
          .syncUninterruptibly();
      assertEquals("500 1", slow.await());
      assertEquals("500 2", call("b"));
    }
  }

  @Nested
  class RepeatedRequest {

    /**
     * Guards against taking a second copy of the response to the first send, such as a rejection,
     * for the response to the second one: both name the same request.
     */
    @Test
    void sameRequestUsesAnotherConnection() throws Exception {
      assertEquals("500 1", call("a"));
      Thread.sleep(SETTLE_MILLIS);
      assertEquals("500 2", call("a"));
    }

    @Test
    void otherRequestUsesSameConnection() throws Exception {
      assertEquals("500 1", call("a"));
      Thread.sleep(SETTLE_MILLIS);
      assertEquals("500 1", call("b"));
    }
  }
}
