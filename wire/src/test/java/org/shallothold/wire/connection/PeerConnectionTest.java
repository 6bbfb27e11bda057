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
 * Guards the rules of a connection: hello first, bounded frames, silence ends, loss is repaired.
 */
class PeerConnectionTest {

  private static final int PATIENCE_SECONDS = 30;
  private static final ConnectionLimits PATIENT = new ConnectionLimits(4_096, 50, 60_000, 2_000);
  private static final ConnectionLimits IMPATIENT = new ConnectionLimits(4_096, 50, 300, 2_000);
  private static final Envelope STATUS_REQUEST =
      Envelope.newBuilder().setStatusRequest(StatusRequest.getDefaultInstance()).build();

  private final EventLoopGroup group = new NioEventLoopGroup(2);
  private final Recorder serverSide = new Recorder();
  private final Recorder clientSide = new Recorder();
  private @Nullable PeerServer server;

  private record Event(String kind, PeerConnection connection) {}

  private static final class Recorder implements PeerListener {

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
      Event event = events.poll(PATIENCE_SECONDS, TimeUnit.SECONDS);
      assertNotNull(event, () -> "no event; expected " + kind);
      assertEquals(kind, event.kind());
      return event;
    }
  }

  @BeforeEach
  void nothingIsLeftFromBefore() {
    server = null;
  }

  @AfterEach
  void stop() {
    if (server != null) {
      server.close();
    }
    group.shutdownGracefully(0, 1, TimeUnit.SECONDS).awaitUninterruptibly();
  }

  private int serve(ConnectionLimits limits, int port) {
    InetSocketAddress address = new InetSocketAddress(InetAddress.getLoopbackAddress(), port);
    PeerServer bound =
        PeerServer.bind(group, address, limits, () -> hello("server"), serverSide, null);
    server = bound;
    return bound.port();
  }

  private PeerClient connect(int port) {
    return PeerClient.start(
        group,
        new InetSocketAddress(InetAddress.getLoopbackAddress(), port),
        PATIENT,
        () -> hello("client"),
        clientSide,
        null);
  }

  private static Hello hello(String id) {
    return Hello.newBuilder().setProcessId(id).build();
  }

  private static void write(Socket socket, Envelope envelope) throws IOException {
    envelope.writeDelimitedTo(socket.getOutputStream());
  }

  private static void expectEnd(Socket socket) throws IOException {
    socket.setSoTimeout(PATIENCE_SECONDS * 1_000);
    try {
      while (Envelope.parseDelimitedFrom(socket.getInputStream()) != null) {
        // Hello and heartbeats of the server.
      }
    } catch (SocketException e) {
      // A reset is an end too.
    }
  }

  @Test
  void messageBeforeHelloClosesTheConnection() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), serve(PATIENT, 0))) {
      write(socket, STATUS_REQUEST);
      expectEnd(socket);
    }
    assertNull(serverSide.events.poll());
  }

  @Test
  void tooLongFrameClosesTheConnection() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), serve(PATIENT, 0))) {
      write(socket, Envelope.newBuilder().setHello(hello("raw")).build());
      socket.getOutputStream().write(new byte[] {(byte) 0x81, 0x20});
      expectEnd(socket);
    }
    serverSide.expect("connected raw");
    serverSide.expect("disconnected");
  }

  @Test
  void bytesThatAreNoMessageCloseTheConnection() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), serve(PATIENT, 0))) {
      socket.getOutputStream().write("GET / HTTP/1.1\r\n\r\n".getBytes(StandardCharsets.US_ASCII));
      socket.shutdownOutput();
      expectEnd(socket);
    }
    assertNull(serverSide.events.poll());
  }

  @Test
  void silenceClosesTheConnection() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), serve(IMPATIENT, 0))) {
      write(socket, Envelope.newBuilder().setHello(hello("raw")).build());
      serverSide.expect("connected raw");
      serverSide.expect("disconnected");
      expectEnd(socket);
    }
  }

  @Test
  void idleConnectionCarriesHeartbeats() throws Exception {
    try (Socket socket = new Socket(InetAddress.getLoopbackAddress(), serve(PATIENT, 0))) {
      socket.setSoTimeout(PATIENCE_SECONDS * 1_000);
      assertTrue(Envelope.parseDelimitedFrom(socket.getInputStream()).hasHello());
      for (int heartbeat = 0; heartbeat < 3; heartbeat++) {
        assertTrue(Envelope.parseDelimitedFrom(socket.getInputStream()).hasHeartbeat());
      }
    }
  }

  @Test
  void clientConnectsAgainAfterLoss() throws Exception {
    try (PeerClient _ = connect(serve(PATIENT, 0))) {
      PeerConnection first = clientSide.expect("connected server").connection();
      serverSide.expect("connected client").connection().close();
      clientSide.expect("disconnected");
      PeerConnection second = clientSide.expect("connected server").connection();
      assertFalse(first.send(STATUS_REQUEST), "a closed connection must not take a message");
      serverSide.expect("disconnected");
      serverSide.expect("connected client");
      assertTrue(second.send(STATUS_REQUEST));
      serverSide.expect("received STATUS_REQUEST");
    }
    clientSide.expect("disconnected");
  }

  @Test
  void clientWaitsForAServerThatComesLater() throws Exception {
    int port;
    try (ServerSocket probe = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
      port = probe.getLocalPort();
    }
    try (PeerClient _ = connect(port)) {
      serve(PATIENT, port);
      clientSide.expect("connected server");
    }
  }
}
