package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Supplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** Responses that have neither a length nor chunks and end with their connection. */
class ConnectionDelimitedContractTest {

  private static final Script GOOD = exchange -> exchange.respond(200, "other");
  private static final Duration DOWN_TIME = Duration.ofSeconds(5);
  private static final String SIGNED = "X-Signed: s";
  private static final String LEAVING = SIGNED + "\r\nX-Leaving: 1";

  /** How the server ends the connection. */
  private enum End {
    CLOSE,
    RESET
  }

  /** Where in the stream the server ends the connection. */
  private enum Place {
    AFTER_EVENT,
    IN_EVENT,
    IN_HEAD
  }

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private static void end(Exchange exchange, End end) throws IOException {
    if (end == End.RESET) {
      // Lets the gateway read what was sent before the reset discards it.
      pause();
      exchange.reset();
    } else {
      exchange.connection().close();
    }
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(50);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private static Script stream(Place place, End end) {
    return exchange -> {
      String head = exchange.head(200, "X-Signed: s");
      exchange.send(
          switch (place) {
            case AFTER_EVENT -> head + event(1) + event(2);
            case IN_EVENT -> head + event(1) + "id: 2\nda";
            case IN_HEAD -> head.substring(0, head.length() - 6);
          });
      end(exchange, end);
    };
  }

  private static Script rest() {
    return exchange -> {
      int after = Integer.parseInt("0" + exchange.request().header("X-After").replace("-1", ""));
      exchange.send(exchange.head(200, "X-Signed: s"));
      for (int id = after + 1; id <= 3; id++) {
        exchange.send(event(id));
      }
      exchange.connection().close();
    };
  }

  @Nested
  class Streams {

    /** Guards against a broken stream that looks complete to its caller. */
    @ParameterizedTest
    @CsvSource({
      "AFTER_EVENT, CLOSE, true",
      "AFTER_EVENT, RESET, false",
      "IN_EVENT, CLOSE, false",
      "IN_EVENT, RESET, false",
      "IN_HEAD, CLOSE, false",
      "IN_HEAD, RESET, false"
    })
    void streamIsCompleteOnlyIfClosedAfterAnEvent(Place place, End end, boolean complete)
        throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(stream(place, end), GOOD)) {
        String response = fixture.call("/stream-once/x", "");
        assertEquals(complete, response.endsWith("0\r\n\r\n"), response);
        assertFalse(response.contains("other"), response);
      }
    }

    /** Guards against missing, repeated or joined events when such a stream is resumed. */
    @ParameterizedTest
    @CsvSource({
      "AFTER_EVENT, RESET",
      "IN_EVENT, CLOSE",
      "IN_EVENT, RESET",
      "IN_HEAD, CLOSE",
      "IN_HEAD, RESET"
    })
    void brokenStreamIsResumed(Place place, End end) throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(stream(place, end), rest())) {
        String response = fixture.call("/stream/x", "");
        for (int id = 1; id <= 3; id++) {
          assertEquals(2, response.split("data: e" + id, -1).length, response);
        }
        assertTrue(response.endsWith("0\r\n\r\n"), response);
      }
    }

    /**
     * Guards against a stream that ends as complete when its server ended between two events, so
     * that the operating system closed the connection as usual.
     */
    @Test
    void streamWhoseServerEndedIsResumed() throws IOException {
      List<ScriptedServer> servers = new ArrayList<>();
      servers.add(
          ScriptedServer.start(
              "first",
              exchange -> {
                exchange.send(exchange.head(200, "X-Signed: s") + event(1));
                pause();
                servers.getFirst().end(DOWN_TIME);
              }));
      servers.add(ScriptedServer.start("second", rest()));
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, servers)) {
        String response = fixture.call("/stream/x", "");
        assertTrue(response.contains("data: e3"), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
      }
    }
  }

  @Nested
  class EndAfterOtherLosses {

    /**
     * Guards against missing a server's end because another connection to it had closed as usual
     * just before.
     */
    @Test
    void endSoonAfterACompleteResponseIsDetected() throws IOException {
      AtomicInteger calls = new AtomicInteger();
      List<ScriptedServer> servers = new ArrayList<>();
      servers.add(
          ScriptedServer.start(
              "first",
              exchange -> {
                if (calls.incrementAndGet() == 1) {
                  stream(Place.AFTER_EVENT, End.CLOSE).handle(exchange);
                  return;
                }
                exchange.send(exchange.head(200, "X-Signed: s") + event(1));
                pause();
                servers.getFirst().end(DOWN_TIME);
              }));
      servers.add(ScriptedServer.start("second", rest()));
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, servers)) {
        assertTrue(fixture.call("/stream/x", "").endsWith("0\r\n\r\n"));
        String response = fixture.call("/stream/x", "");
        assertTrue(response.contains("data: e3"), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
      }
    }
  }

  @Nested
  class WholeResponses {

    /** Guards against the first half of an answer that reaches the caller as a success. */
    @Test
    void responseWhoseServerEndedIsNotComplete() throws IOException {
      List<ScriptedServer> servers = new ArrayList<>();
      servers.add(
          ScriptedServer.start(
              "first",
              exchange -> {
                exchange.send(exchange.head(200, "X-Signed: s") + "half");
                pause();
                servers.getFirst().end(DOWN_TIME);
              }));
      servers.add(ScriptedServer.start("second", GOOD));
      try (ForwardFixture fixture = ForwardFixture.withGateways(1, servers)) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        assertTrue(response.contains("may_have_run"), response);
      }
    }
  }

  @Nested
  class EndsOfServers {

    private static final int ENDS = 12;

    /** Answers half of the first request to it and ends at once; answers others soundly. */
    private static Script endingAfter(String half, Script sound, Supplier<ScriptedServer> server) {
      AtomicInteger requests = new AtomicInteger();
      return exchange -> {
        if (requests.incrementAndGet() > 1) {
          sound.handle(exchange);
          return;
        }
        exchange.send(exchange.head(200, half.startsWith("leaving ") ? LEAVING : SIGNED));
        exchange.send(half.replace("leaving ", ""));
        server.get().end(DOWN_TIME);
      };
    }

    private static ForwardFixture fixture(String half, Script sound) throws IOException {
      List<ScriptedServer> servers = new ArrayList<>();
      servers.add(ScriptedServer.start("first", endingAfter(half, sound, servers::getFirst)));
      servers.add(ScriptedServer.start("second", sound));
      return ForwardFixture.withGateways(1, servers);
    }

    /**
     * Guards against half of a response that reaches the caller as a success because its last bytes
     * and the end of its server are read in the same millisecond.
     */
    @Test
    void halfResponseOfServerThatEndsAtOnceIsNotComplete() throws IOException {
      for (int i = 0; i < ENDS; i++) {
        try (ForwardFixture fixture = fixture("half", GOOD)) {
          String response = fixture.call("/once/x", "");
          assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        }
      }
    }

    /** Guards against a stream that ends as complete for the same reason. */
    @Test
    void streamOfServerThatEndsAtOnceIsResumed() throws IOException {
      for (int i = 0; i < ENDS; i++) {
        try (ForwardFixture fixture = fixture(event(1), rest())) {
          assertWhole(fixture.call("/stream/x", ""));
        }
      }
    }

    /**
     * Guards against a stream or response that ends as complete because its server, which was
     * leaving, exited before it was done.
     */
    @Test
    void responsesOfLeavingServerThatExitsAreNotComplete() throws IOException {
      try (ForwardFixture fixture = fixture("leaving " + event(1), rest())) {
        assertWhole(fixture.call("/stream/x", ""));
      }
      try (ForwardFixture fixture = fixture("leaving half", GOOD)) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
      }
    }

    /** Guards against failing what a leaving server completes before it exits. */
    @Test
    void wholeResponseOfLeavingServerIsForwarded() throws IOException {
      Script leaving =
          exchange -> {
            exchange.send(exchange.head(200, LEAVING) + "whole");
            exchange.connection().close();
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(leaving, GOOD)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
      }
    }

    private static void assertWhole(String response) {
      for (int id = 1; id <= 3; id++) {
        assertEquals(2, response.split("data: e" + id, -1).length, response);
      }
      assertTrue(response.endsWith("0\r\n\r\n"), response);
    }
  }

  @Nested
  class CallersOfHttp10 {

    private String call(ForwardFixture fixture, String path) throws IOException {
      try (Socket socket = fixture.connect()) {
        socket
            .getOutputStream()
            .write(
                ("POST "
                        + path
                        + " HTTP/1.0\r\nHost: a.example\r\nX-Request: r1\r\n"
                        + "Connection: keep-alive\r\nContent-Length: 0\r\n\r\n")
                    .getBytes(StandardCharsets.UTF_8));
        return ForwardFixture.readAll(socket);
      }
    }

    /** Guards against chunks for a caller that takes them for a part of the stream. */
    @Test
    void streamHasNoChunksAndEndsWithTheConnection() throws IOException {
      Script whole = stream(Place.AFTER_EVENT, End.CLOSE);
      try (ForwardFixture fixture = ForwardFixture.withServers(whole, GOOD)) {
        String response = call(fixture, "/stream/x");
        assertFalse(response.toLowerCase(Locale.ROOT).contains("chunked"), response);
        assertTrue(response.endsWith("\r\n\r\n" + event(1) + event(2)), response);
      }
    }

    /** Guards against a broken stream that looks complete, as it ends with the connection. */
    @Test
    void brokenStreamIsReset() throws IOException {
      Script broken = stream(Place.IN_EVENT, End.CLOSE);
      try (ForwardFixture fixture = ForwardFixture.withServers(broken, GOOD)) {
        String response = call(fixture, "/stream-once/x");
        assertTrue(response.endsWith("<reset>"), response);
      }
    }
  }
}
