package org.shallothold.wire.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.StatusRequest;

/**
 * Guards against connections that accept messages before the hello, too long frames or malformed
 * bytes, that stay open to a silent peer, or that are not reopened after a loss.
 */
class PeerConnectionTest {

  private static final int EVENT_TIMEOUT_SECONDS = 30;
  private static final ConnectionLimits LONG_SILENCE_LIMITS =
      new ConnectionLimits(4_096, 50, 60_000, 2_000);
  private static final ConnectionLimits SHORT_SILENCE_LIMITS =
      new ConnectionLimits(4_096, 50, 300, 2_000);
  private static final Envelope STATUS_REQUEST =
      Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance()).build();

  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final EventRecorder serverEvents = new EventRecorder();
  private final EventRecorder clientEvents = new EventRecorder();
  private @Nullable PeerServer server;

  private record Event(String kind, PeerConnection connection) {}

  private static final class EventRecorder implements PeerListener {

    private final BlockingQueue<Event> events = new LinkedBlockingQueue<>();

    @Override
    public void connected(PeerConnection connection, Hello hello) {
      events.add(new Event("connected " + hello.getProcessId(), connection));
    }

    @Override
    public void received(PeerConnection connection, Envelope envelope) {
      events.add(new Event("received " + envelope.getMessageCase(), connection));
    }

    @Override
    public void disconnected(PeerConnection connection) {
      events.add(new Event("disconnected", connection));
    }

    Event expect(String kind) throws InterruptedException {
      Event event = events.poll(EVENT_TIMEOUT_SECONDS, TimeUnit.SECONDS);
      assertNotNull(event, () -> "no event; expected " + kind);
      assertEquals(kind, event.kind());
      return event;
    }
  }

  @BeforeEach
  void resetServer() {
    server = null;
  }

  @AfterEach
  void shutDown() {
    if (server != null) {
      server.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private int startServer(ConnectionLimits limits, int port) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    PeerServer bound =
        PeerServer.bind(group, address, limits, () -> hello("server"), serverEvents, null);
    server = bound;
    return bound.port();
  }

  private PeerClient startClient(int port) {
    return PeerClient.start(
        group,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        LONG_SILENCE_LIMITS,
        () -> hello("client"),
        clientEvents,
        null);
  }

  private static Hello hello(String id) {
    return Hello.newBuilder().setProcessId(id).build();
  }

  private static void write(Socket socket, Envelope envelope) throws IOException {
    envelope.writeDelimitedTo(socket.getOutputStream());
  }

  private static void expectEndOfStream(Socket socket) throws IOException {
    socket.setSoTimeout(EVENT_TIMEOUT_SECONDS * 1_000);
    try {
      while (Envelope.parseDelimitedFrom(socket.getInputStream()) != null) {
        // Skips the hello and heartbeats of the server.
      }
    } catch (SocketException e) {
      // A connection reset also ends the stream.
    }
  }

  @Test
  void messageBeforeHelloClosesTheConnection() throws Exception {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), startServer(LONG_SILENCE_LIMITS, 0))) {
      write(socket, STATUS_REQUEST);
      expectEndOfStream(socket);
    }
    assertNull(serverEvents.events.poll());
  }

  @Test
  void tooLongFrameClosesTheConnection() throws Exception {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), startServer(LONG_SILENCE_LIMITS, 0))) {
      write(socket, Envelope.newBuilder().setHello(hello("raw")).build());
      socket.getOutputStream().write(new byte[] {(byte) 0x81, 0x20});
      expectEndOfStream(socket);
    }
    serverEvents.expect("connected raw");
    serverEvents.expect("disconnected");
  }

  @Test
  void malformedBytesCloseTheConnection() throws Exception {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), startServer(LONG_SILENCE_LIMITS, 0))) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      expectEndOfStream(socket);
    }
    assertNull(serverEvents.events.poll());
  }

  @Test
  void silenceClosesTheConnection() throws Exception {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), startServer(SHORT_SILENCE_LIMITS, 0))) {
      write(socket, Envelope.newBuilder().setHello(hello("raw")).build());
      serverEvents.expect("connected raw");
      serverEvents.expect("disconnected");
      expectEndOfStream(socket);
    }
  }

  @Test
  void idleConnectionSendsHeartbeats() throws Exception {
    try (Socket socket =
        new Socket(InetAddress.getLoopbackAddress(), startServer(LONG_SILENCE_LIMITS, 0))) {
      socket.setSoTimeout(EVENT_TIMEOUT_SECONDS * 1_000);
      assertTrue(Envelope.parseDelimitedFrom(socket.getInputStream()).hasHello());
      for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
        assertTrue(Envelope.parseDelimitedFrom(socket.getInputStream()).hasHeartbeat());
      }
    }
  }

  @Test
  void clientReconnectsAfterConnectionLoss() throws Exception {
    try (PeerClient _ = startClient(startServer(LONG_SILENCE_LIMITS, 0))) {
      PeerConnection firstConnection = clientEvents.expect("connected server").connection();
      serverEvents.expect("connected client").connection().close();
      clientEvents.expect("disconnected");
      PeerConnection secondConnection = clientEvents.expect("connected server").connection();
      assertFalse(
          firstConnection.send(STATUS_REQUEST), "a closed connection must not accept a message");
      serverEvents.expect("disconnected");
      serverEvents.expect("connected client");
      assertTrue(secondConnection.send(STATUS_REQUEST));
      serverEvents.expect("received STATUS_REQUEST");
    }
    clientEvents.expect("disconnected");
  }

  @Test
  void clientRetriesUntilServerListens() throws Exception {
    int port;
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = probe.getLocalPort();
    }
    try (PeerClient _ = startClient(port)) {
      startServer(LONG_SILENCE_LIMITS, port);
      clientEvents.expect("connected server");
    }
  }
}
