package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Heartbeat;

/**
 * Guards against connections whose bytes make much work each and keep the event loop from all
 * others, so that callers of sound servers get no answer.
 */
class EventLoopShareContractTest {

  // The timeout of the fixture's routes, and the half second after it in which a request that
  // can't be served must still be refused.
  private static final int LATEST_ANSWER_MILLIS = 2_000;
  private static final int SOUND_CALLS = 12;
  private static final long CALL_INTERVAL_MILLIS = 50;
  private static final int CONNECTIONS = 200;
  private static final int SLOTS_OF_A_SERVER = 6;
  private static final int BLOCK_BYTES = 48 * 1024;
  private static final String SOUND_BODY = "whole";

  /** Forms of responses without end that consist of many small pieces. */
  private enum Form {
    /** Chunks with an event each. */
    EVENTS("/stream-once/", "6\r\nzzzz\n\n\r\n"),
    /** Chunks with a comment each. */
    COMMENTS("/stream-once/", "3\r\n:\n\n\r\n"),
    /** Chunks of one byte, of which nothing is forwarded before the response ends. */
    BYTES("/once/", "1\r\nx\r\n"),
    /** Informational responses before any response. */
    INFORMATIONAL("/once/", "HTTP/1.1 102 X\r\n\r\n");

    private final String route;
    private final String block;

    Form(String route, String piece) {
      this.route = route;
      this.block = piece.repeat(BLOCK_BYTES / piece.length());
    }

    private void send(ScriptedServer.Exchange exchange) throws IOException {
      if (this != INFORMATIONAL) {
        exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
      }
      if (route.startsWith("/stream")) {
        exchange.send(ScriptedServer.Exchange.chunk("id: 0\ndata: a\n\n"));
      }
      while (true) {
        exchange.send(block);
      }
    }
  }

  private static ScriptedServer.Script scriptOf(Form form) {
    return exchange -> {
      if (exchange.request().head().contains("endless")) {
        form.send(exchange);
      } else {
        exchange.respond(200, SOUND_BODY);
      }
    };
  }

  /** Calls a sound server repeatedly, and asserts that each call is served in time. */
  private static void assertSoundCallsServed(ForwardFixture fixture)
      throws IOException, InterruptedException {
    for (int i = 0; i < SOUND_CALLS; i++) {
      try (Socket socket = fixture.connect()) {
        socket.setSoTimeout(LATEST_ANSWER_MILLIS);
        ForwardFixture.send(socket, "/once/sound", "Connection: close\r\n", "");
        String response = ForwardFixture.readAll(socket);
        assertEquals(SOUND_BODY, response.substring(response.indexOf("\r\n\r\n") + 4));
      }
      Thread.sleep(CALL_INTERVAL_MILLIS);
    }
  }

  /** A caller that makes work. */
  private interface Caller {
    void call(Socket socket) throws IOException;
  }

  /** Opens a connection. */
  private interface Connector {
    Socket connect() throws IOException;
  }

  private static void assertSoundCallsServedBeside(ForwardFixture fixture, Caller caller)
      throws IOException, InterruptedException {
    assertSoundCallsServedBeside(fixture::connect, fixture, caller);
  }

  /** Runs callers, each again and again, while sound calls are made. */
  private static void assertSoundCallsServedBeside(
      Connector connector, ForwardFixture fixture, Caller caller)
      throws IOException, InterruptedException {
    ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    try {
      IntStream.range(0, CONNECTIONS)
          .forEach(i -> executor.submit(() -> repeat(connector, caller)));
      Thread.sleep(300);
      assertSoundCallsServed(fixture);
    } finally {
      executor.shutdownNow();
      executor.awaitTermination(5, TimeUnit.SECONDS);
    }
  }

  private static void repeat(Connector connector, Caller caller) {
    while (!Thread.currentThread().isInterrupted()) {
      try (Socket socket = connector.connect()) {
        caller.call(socket);
      } catch (IOException e) {
        // The gateway may close the connection of such a caller.
      }
    }
  }

  private static void drain(Socket socket) {
    try (InputStream input = socket.getInputStream()) {
      byte[] buffer = new byte[BLOCK_BYTES];
      while (input.read(buffer) >= 0) {
        // Responses of other callers are of no interest.
      }
    } catch (IOException e) {
      // The connection was reset.
    }
  }

  @Nested
  class Responses {

    @ParameterizedTest
    @EnumSource(Form.class)
    void smallPiecesWithoutEndLeaveTimeForOthers(Form form) throws Exception {
      List<ScriptedServer> servers = new ArrayList<>();
      for (int i = 0; i <= CONNECTIONS / SLOTS_OF_A_SERVER; i++) {
        servers.add(ScriptedServer.start("server-" + i, scriptOf(form)));
      }
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, servers)) {
        assertSoundCallsServedBeside(
            fixture,
            socket -> {
              ForwardFixture.send(socket, form.route + "endless", "Connection: close\r\n", "");
              drain(socket);
            });
      }
    }
  }

  @Nested
  class Peers {

    @Test
    void messagesWithoutEndLeaveTimeForOthers() throws Exception {
      byte[] heartbeat =
          Envelope.newBuilder().setHeartbeat(Heartbeat.getDefaultInstance()).build().toByteArray();
      ByteArrayOutputStream block = new ByteArrayOutputStream();
      while (block.size() < BLOCK_BYTES) {
        // The length of the frame as a varint.
        block.write(heartbeat.length);
        block.write(heartbeat);
      }
      ScriptedServer.Script sound = exchange -> exchange.respond(200, SOUND_BODY);
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, sound, sound)) {
        assertSoundCallsServedBeside(
            () -> new Socket(fixture.seed().getAddress(), fixture.seed().getPort()),
            fixture,
            socket -> {
              Thread.ofVirtual().start(() -> drain(socket));
              while (true) {
                block.writeTo(socket.getOutputStream());
              }
            });
      }
    }
  }

  @Nested
  class Callers {

    private static ForwardFixture soundServers() throws IOException {
      return ForwardFixture.withServers(
          exchange -> exchange.respond(200, SOUND_BODY),
          exchange -> exchange.respond(200, SOUND_BODY));
    }

    @Test
    void uploadsInSmallPiecesLeaveTimeForOthers() throws Exception {
      byte[] block = "1\r\nx\r\n".repeat(BLOCK_BYTES / 6).getBytes(StandardCharsets.US_ASCII);
      try (ForwardFixture fixture = soundServers()) {
        assertSoundCallsServedBeside(
            fixture,
            socket -> {
              socket
                  .getOutputStream()
                  .write(
                      "POST /once/upload HTTP/1.1\r\nHost: a.example\r\nX-Request: u\r\nTransfer-Encoding: chunked\r\n\r\n"
                          .getBytes(StandardCharsets.US_ASCII));
              while (true) {
                socket.getOutputStream().write(block);
              }
            });
      }
    }

    @Test
    void pipelinedRequestsLeaveTimeForOthers() throws Exception {
      String request = "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n";
      byte[] block =
          request.repeat(BLOCK_BYTES / request.length()).getBytes(StandardCharsets.US_ASCII);
      try (ForwardFixture fixture = soundServers()) {
        assertSoundCallsServedBeside(
            fixture,
            socket -> {
              Thread.ofVirtual().start(() -> drain(socket));
              while (true) {
                socket.getOutputStream().write(block);
              }
            });
      }
    }
  }
}
