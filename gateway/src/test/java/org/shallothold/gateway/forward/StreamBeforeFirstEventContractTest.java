package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/**
 * What callers of a stream receive if a server sends the head of its response and fails before the
 * end of the first event, so that nothing was forwarded yet.
 */
class StreamBeforeFirstEventContractTest {

  private static final int READ_TIMEOUT_MILLIS = 5_000;
  private static final String PART_OF_EVENT = "id: 0\ndata: fir";
  private static final String OVERLONG_EVENT = "data: " + "x".repeat(1024 * 1024 + 1);
  private static final String LAST_CHUNK = "0\r\n\r\n";
  private static final Script SOUND = stream("second", event(0) + event(1));
  // Keeps the connection open after the head.
  private static final Script SILENT = exchange -> exchange.send(chunkedHead(exchange, "first"));

  /** How a server's response fails after its head. */
  private enum Failure implements Script {
    CLOSED_AFTER_HEAD {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first"));
        exchange.connection().close();
      }
    },
    RESET_AFTER_HEAD {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first"));
        pause();
        exchange.reset();
      }
    },
    CLOSED_WITHIN_EVENT {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first") + Exchange.chunk(PART_OF_EVENT));
        pause();
        exchange.connection().close();
      }
    },
    RESET_WITHIN_EVENT {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first") + Exchange.chunk(PART_OF_EVENT));
        pause();
        exchange.reset();
      }
    },
    COMPLETED_WITHIN_EVENT {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first") + Exchange.chunk(PART_OF_EVENT) + LAST_CHUNK);
      }
    },
    MALFORMED_CHUNK {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first"));
        pause();
        exchange.send("no size\r\n");
      }
    },
    OVERLONG_EVENT_CHUNKED {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(chunkedHead(exchange, "first") + Exchange.chunk(OVERLONG_EVENT));
      }
    },
    OVERLONG_EVENT_WITHOUT_LENGTH {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(exchange.head(200, "X-Signed: first") + OVERLONG_EVENT);
      }
    },
    CLOSED_WITHOUT_LENGTH_AFTER_HEAD {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(exchange.head(200, "X-Signed: first"));
        pause();
        exchange.connection().close();
      }
    },
    CLOSED_WITHOUT_LENGTH_WITHIN_EVENT {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(exchange.head(200, "X-Signed: first") + PART_OF_EVENT);
        pause();
        exchange.connection().close();
      }
    },
    RESET_WITHOUT_LENGTH {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(exchange.head(200, "X-Signed: first") + PART_OF_EVENT);
        pause();
        exchange.reset();
      }
    },
    SHORTER_THAN_LENGTH {
      @Override
      public void handle(Exchange exchange) throws IOException {
        exchange.send(exchange.head(200, "X-Signed: first\r\nContent-Length: 99") + PART_OF_EVENT);
        exchange.connection().close();
      }
    }
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private static String chunkedHead(Exchange exchange, String signature) {
    return exchange.head(200, "X-Signed: " + signature + "\r\nTransfer-Encoding: chunked");
  }

  /** Sends a complete stream. */
  private static Script stream(String signature, String events) {
    return exchange ->
        exchange.send(
            chunkedHead(exchange, signature)
                + (events.isEmpty() ? "" : Exchange.chunk(events))
                + LAST_CHUNK);
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(20);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Asserts that a response is one complete refusal of a request that may have run. */
  private static void assertRefused(int status, String reason, String response) {
    assertTrue(response.startsWith("HTTP/1.1 " + status + " "), "response: " + response);
    assertTrue(response.contains("Shallothold-Verdict: may_have_run"), response);
    assertTrue(response.contains("\"" + reason + "\""), response);
    assertFalse(response.contains("X-Signed"), response);
    int bodyStart = response.indexOf("\r\n\r\n") + 4;
    String length = Integer.toString(response.length() - bodyStart);
    assertTrue(
        response.toLowerCase(Locale.ROOT).contains("content-length: " + length + "\r\n"), response);
  }

  /** Asserts that a response is the whole stream of the second server, with that server's head. */
  private static void assertSecondStream(String response) {
    assertTrue(response.startsWith("HTTP/1.1 200 "), "response: " + response);
    assertTrue(response.contains("X-Signed: second\r\n"), response);
    assertFalse(response.contains("first"), response);
    assertEquals(1, occurrences(response, "HTTP/1.1"), response);
    assertEquals(1, occurrences(response, event(0)), response);
    assertEquals(1, occurrences(response, event(1)), response);
    assertTrue(response.endsWith(LAST_CHUNK), response);
  }

  private static int occurrences(String text, String part) {
    return text.split(part, -1).length - 1;
  }

  @Nested
  class StreamsThatRunOnce {

    /**
     * Guards against closing the caller's connection without an answer, and against a second run.
     */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void callerIsToldThatTheRequestMayHaveRun(Failure failure) throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(failure, SOUND)) {
        assertRefused(502, "backend_failed", fixture.call("/stream-once/x", ""));
        assertEquals(1, fixture.receivedRequests());
      }
    }

    /** Guards against the same for a server that sends nothing more until the deadline. */
    @Test
    void callerIsToldSoAtTheDeadline() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(SILENT, SOUND)) {
        assertRefused(504, "deadline", fixture.call("/stream-once/x", "X-Deadline: 300\r\n"));
        assertEquals(1, fixture.receivedRequests());
      }
    }

    /** Guards against closing a kept connection, on which the caller's next request is served. */
    @Test
    void connectionIsKeptAfterTheRefusal() throws IOException {
      try (ForwardFixture fixture =
              ForwardFixture.withServers(Failure.CLOSED_WITHIN_EVENT, Exchange::reset);
          Socket caller = fixture.connect()) {
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        ForwardFixture.send(caller, "/stream-once/x", "", "");
        ForwardFixture.send(caller, "/unknown/x", "Connection: close\r\n", "");
        String responses = ForwardFixture.readAll(caller);
        int second = responses.indexOf("HTTP/1.1 404 ");
        assertTrue(second > 0, "responses: " + responses);
        assertRefused(502, "backend_failed", responses.substring(0, second));
      }
    }

    /** Guards against the same for a caller to which streams end with the connection. */
    @Test
    void callerOfHttp10IsToldSo() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(Failure.CLOSED_WITHIN_EVENT, SOUND);
          Socket caller = fixture.connect()) {
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        String fields = "Host: a.example\r\nX-Request: r1\r\nContent-Length: 0\r\n\r\n";
        String head = "POST /stream-once/x HTTP/1.0\r\n" + fields;
        caller.getOutputStream().write(head.getBytes(StandardCharsets.UTF_8));
        assertRefused(502, "backend_failed", ForwardFixture.readAll(caller));
      }
    }

    /** Guards against the same for a stream that is open at the end of a planned stop. */
    @Test
    void callerIsToldSoAtShutdown() throws Exception {
      ForwardFixture.Limits limits =
          ForwardFixture.Limits.defaults().withShutdownTimeoutMillis(1_000);
      try (ForwardFixture fixture = ForwardFixture.withLimits(limits, SILENT, SILENT);
          Socket caller = fixture.connect()) {
        caller.setSoTimeout(READ_TIMEOUT_MILLIS);
        ForwardFixture.send(caller, "/stream-once/x", "", "");
        for (int i = 0; i < 100 && fixture.receivedRequests() == 0; i++) {
          pause();
        }
        CompletableFuture<Boolean> drained = fixture.drain();
        assertRefused(502, "gateway_leaving", ForwardFixture.readAll(caller));
        assertFalse(drained.join());
      }
    }
  }

  @Nested
  class ResumableStreams {

    /** Guards against the head of a server of which no event is forwarded. */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void streamOfTheNextServerIsForwardedWithItsOwnHead(Failure failure) throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(failure, SOUND)) {
        assertSecondStream(fixture.call("/stream/x", ""));
        assertEquals("", fixture.second().requests().getFirst().header("X-After"));
      }
    }

    /** Guards against closing the caller's connection without an answer if all servers fail. */
    @ParameterizedTest
    @EnumSource(Failure.class)
    void callerIsToldIfAllServersFail(Failure failure) throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(failure, failure)) {
        assertRefused(502, "backend_failed", fixture.call("/stream/x", ""));
        assertEquals(2, fixture.receivedRequests());
      }
    }

    /** Guards against the same for a server that sends nothing more until the deadline. */
    @Test
    void callerIsToldAtTheDeadline() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(SILENT, SOUND)) {
        assertRefused(504, "deadline", fixture.call("/stream/x", "X-Deadline: 300\r\n"));
      }
    }

    /** Guards against the promise that a request was not run after its stream began at a server. */
    @ParameterizedTest
    @ValueSource(ints = {429, 503, 408})
    void statusThatPromisesNotRunIsNotForwarded(int status) throws IOException {
      Script error = exchange -> exchange.respond(status, "error");
      try (ForwardFixture fixture =
          ForwardFixture.withServers(Failure.CLOSED_WITHIN_EVENT, error)) {
        assertRefused(502, "backend_failed", fixture.call("/stream/x", ""));
      }
    }

    /** Guards against the same promise if the other servers reject the request. */
    @Test
    void rejectionByTheNextServerIsNoPromise() throws IOException {
      Script rejection =
          exchange -> exchange.send(exchange.head(503, "X-Not-Run: 1\r\nContent-Length: 0"));
      AtomicInteger requests = new AtomicInteger();
      Script failThenReject =
          exchange -> {
            Script script =
                requests.getAndIncrement() == 0 ? Failure.CLOSED_WITHIN_EVENT : rejection;
            script.handle(exchange);
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(failThenReject, rejection)) {
        assertRefused(502, "no_server", fixture.call("/stream/x", ""));
      }
    }

    /** Guards against a closed connection in place of the next server's own answer. */
    @ParameterizedTest
    @ValueSource(ints = {404, 500})
    void errorOfTheNextServerIsForwarded(int status) throws IOException {
      Script error = exchange -> exchange.respond(status, "error");
      try (ForwardFixture fixture =
          ForwardFixture.withServers(Failure.CLOSED_WITHIN_EVENT, error)) {
        String response = fixture.call("/stream/x", "");
        assertTrue(response.startsWith("HTTP/1.1 " + status + " "), "response: " + response);
        assertTrue(response.endsWith("\r\n\r\nerror"), response);
      }
    }

    /** Guards against events that the caller already has, sent again by the next server. */
    @Test
    void lastEventOfTheCallerIsRespected() throws IOException {
      Script whole = stream("second", event(0) + event(1) + event(2));
      try (ForwardFixture fixture =
          ForwardFixture.withServers(Failure.CLOSED_WITHIN_EVENT, whole)) {
        String response = fixture.call("/stream/x", "X-After: 1\r\n");
        assertEquals("1", fixture.second().requests().getFirst().header("X-After"));
        assertTrue(response.contains("X-Signed: second\r\n"), response);
        assertFalse(response.contains("data: e0") || response.contains("data: e1"), response);
        assertTrue(response.contains(event(2)), response);
        assertTrue(response.endsWith(LAST_CHUNK), response);
      }
    }

    /** Guards against a second head, or that of another server, in a stream that was begun. */
    @Test
    void resumedStreamKeepsTheHeadThatTheCallerHas() throws IOException {
      Script cut =
          exchange -> {
            exchange.send(
                chunkedHead(exchange, "first") + Exchange.chunk(event(0) + "id: 1\ndata: e"));
            pause();
            exchange.connection().close();
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(cut, stream("second", event(1)))) {
        String response = fixture.call("/stream/x", "");
        assertEquals(1, occurrences(response, "HTTP/1.1"), response);
        assertTrue(response.contains("X-Signed: first\r\n"), response);
        assertFalse(response.contains("second"), response);
        assertTrue(response.contains(event(0)) && response.contains(event(1)), response);
        assertTrue(response.endsWith(LAST_CHUNK), response);
      }
    }
  }

  @Nested
  class StreamsWithoutNewEvents {

    /** Guards against a stream without events, or with known ones only, that is never begun. */
    @ParameterizedTest
    @ValueSource(strings = {"/stream/x", "/stream-once/x"})
    void completeStreamIsForwarded(String path) throws IOException {
      for (String events : new String[] {"", event(0) + event(1)}) {
        try (ForwardFixture fixture =
            ForwardFixture.withServers(stream("first", events), Exchange::reset)) {
          String response = fixture.call(path, "X-After: 1\r\n");
          assertTrue(response.startsWith("HTTP/1.1 200 "), "response: " + response);
          assertTrue(response.contains("X-Signed: first\r\n"), response);
          assertTrue(response.endsWith("\r\n\r\n" + LAST_CHUNK), response);
        }
      }
    }
  }
}
