package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** Responses that a server sends before it has read the whole request, or with no real status. */
class EarlyResponseContractTest {

  // More than the sockets between gateway and server hold.
  private static final String LONG_BODY = "x".repeat(4 * 1024 * 1024);
  private static final String EVENT = "id: 1\ndata: part\n\n";
  private static final long LONG_PAUSE_MILLIS = 60;

  /** How the server ends the connection, with the rest of the request unread. */
  private enum End {
    RESET,
    CLOSE,
    HALF_CLOSE_THEN_RESET
  }

  private static Script respondsAndEnds(End end, long pauseMillis) {
    return exchange -> {
      exchange.send(exchange.head(200, "X-Signed: s") + EVENT);
      pause(pauseMillis);
      switch (end) {
        case RESET -> exchange.reset();
        case CLOSE -> exchange.connection().close();
        case HALF_CLOSE_THEN_RESET -> {
          exchange.connection().shutdownOutput();
          pause(LONG_PAUSE_MILLIS);
          exchange.reset();
        }
      }
    };
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static String upload(ForwardFixture fixture, String path, String body)
      throws IOException {
    try (Socket socket = fixture.connect()) {
      ForwardFixture.send(socket, path, "Connection: close\r\n", body);
      return ForwardFixture.readAll(socket);
    }
  }

  @Nested
  class WithoutLength {

    /** Guards against the part of a response of which the rest was reset during the upload. */
    @ParameterizedTest
    @CsvSource({
      "/once/, RESET, 0",
      "/once/, RESET, 60",
      "/once/, CLOSE, 0",
      "/once/, CLOSE, 60",
      "/once/, HALF_CLOSE_THEN_RESET, 0",
      "/once/, HALF_CLOSE_THEN_RESET, 60",
      "/repeatable/, RESET, 60",
      "/repeatable/, HALF_CLOSE_THEN_RESET, 0",
      "/stream-once/, RESET, 0",
      "/stream-once/, RESET, 60",
      "/stream-once/, CLOSE, 60",
      "/stream-once/, HALF_CLOSE_THEN_RESET, 0",
      "/stream/, RESET, 60",
      "/stream/, HALF_CLOSE_THEN_RESET, 0"
    })
    void responseThatEndsDuringTheUploadIsNotComplete(String path, End end, long pauseMillis)
        throws IOException {
      ScriptedServer server =
          ScriptedServer.startBeforeBodies("first", respondsAndEnds(end, pauseMillis));
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, List.of(server))) {
        String response = upload(fixture, path + "x", LONG_BODY);
        boolean looksComplete =
            path.startsWith("/stream")
                ? response.endsWith("0\r\n\r\n")
                : response.startsWith("HTTP/1.1 200 ");
        assertFalse(looksComplete, response);
      }
    }
  }

  @Nested
  class WithoutAStatus {

    private static Script respondsWith(String status) {
      return exchange ->
          exchange.send(
              "HTTP/1.1 "
                  + status
                  + " X\r\nX-Request: "
                  + exchange.request().header("X-Request")
                  + "\r\nX-Signed: s\r\nContent-Length: "
                  + EVENT.length()
                  + "\r\n\r\n"
                  + EVENT);
    }

    /** Guards against passing on a status that no response can have. */
    @ParameterizedTest
    @CsvSource({
      "/once/, 000",
      "/once/, 099",
      "/once/, 600",
      "/once/, 999",
      "/stream-once/, 000",
      "/stream-once/, 999"
    })
    void responseIsRefusedAsOneThatMayHaveRun(String path, String status) throws IOException {
      try (ForwardFixture fixture =
          ForwardFixture.withServers(respondsWith(status), respondsWith(status))) {
        String response = fixture.call(path + "x", "");
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        assertFalse(response.contains("part"), response);
        assertEquals(1, fixture.receivedRequests());
      }
    }

    /** Guards against failing a request that another server can answer. */
    @ParameterizedTest
    @ValueSource(strings = {"/repeatable/", "/stream/"})
    void requestThatMayBeRepeatedIsAnsweredByAnotherServer(String path) throws IOException {
      Script sound =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
            exchange.send(Exchange.chunk("id: 1\ndata: whole\n\n") + "0\r\n\r\n");
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(respondsWith("000"), sound)) {
        String response = fixture.call(path + "x", "");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.contains("whole") && !response.contains("part"), response);
      }
    }
  }
}
