package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.net.SocketException;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What callers receive and which requests servers get when servers fail in various ways. */
class ForwardContractTest {

  private static final Script GOOD = exchange -> exchange.respond(200, "whole");
  private static final Script RESET = Exchange::reset;
  private static final Script REJECT =
      exchange -> exchange.send(exchange.head(503, "X-Not-Run: 1\r\nContent-Length: 0"));
  private static final Script ERROR = exchange -> exchange.respond(500, "broken");
  private static final Script SILENT = exchange -> {};
  private static final Script UNSIGNED =
      exchange -> exchange.send(exchange.head(200, "Content-Length: 5") + "whole");
  private static final Script TRUNCATED =
      exchange -> {
        exchange.send(exchange.head(200, "X-Signed: s\r\nContent-Length: 50") + "part");
        exchange.connection().close();
      };
  private static final Script WITHOUT_LENGTH =
      exchange -> {
        exchange.send(exchange.head(200, "X-Signed: s") + "whole");
        exchange.connection().close();
      };

  private static String event(int id) {
    return "id: " + id + "\ndata: e" + id + "\n\n";
  }

  private static Script stream(String events, boolean ends) {
    return exchange -> {
      exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
      exchange.send(Exchange.chunk(events));
      if (ends) {
        exchange.send("0\r\n\r\n");
      } else {
        exchange.connection().close();
      }
    };
  }

  @Nested
  class WholeResponses {

    @Test
    void responseIsForwardedUnchanged() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(GOOD, GOOD)) {
        String response = fixture.call("/once/x?q=1", "");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.endsWith("\r\n\r\nwhole"), response);
        assertTrue(fixture.first().requests().getFirst().head().startsWith("POST /once/x?q=1 "));
        assertEquals("first", fixture.first().requests().getFirst().header("X-Server"));
      }
    }

    @Test
    void responseWithoutLengthEndsWhenConnectionCloses() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(WITHOUT_LENGTH, RESET)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
      }
    }

    /** Guards against hiding from the caller that the server reported an error. */
    @Test
    void serverErrorOfOrderIsForwarded() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(ERROR, GOOD)) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 500 "), response);
        assertEquals(1, fixture.receivedRequests());
      }
    }

    /** Guards against delivering the response to an earlier request to this request's caller. */
    @Test
    void responseToAnotherRequestIsSkipped() throws IOException {
      Script crossed =
          exchange -> {
            exchange.send("HTTP/1.1 200 X\r\nX-Request: r0\r\nX-Signed: s\r\n");
            exchange.send("Content-Length: 5\r\n\r\nother");
            exchange.respond(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(crossed, RESET)) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.endsWith("whole"), response);
        assertFalse(response.contains("other"), response);
      }
    }

    /** Guards against taking a reset of the server's connection for the end of the response. */
    @Test
    void resetIsNotTheEndOfResponseWithoutLength() throws IOException {
      Script reset =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s") + "part");
            exchange.reset();
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(reset, GOOD)) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 502 "));
      }
    }

    /** Guards against taking surplus bytes after a response for the next response. */
    @Test
    void surplusBytesAreNotTheNextResponse() throws IOException {
      Script surplus =
          exchange -> {
            exchange.respond(200, "whole");
            exchange.respond(200, "again");
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(surplus, RESET);
          Socket socket = fixture.connect()) {
        for (int i = 0; i < 3; i++) {
          ForwardFixture.send(socket, "/once/x", i == 2 ? "Connection: close\r\n" : "", "");
        }
        String responses = ForwardFixture.readAll(socket);
        assertEquals(3, responses.split("whole", -1).length - 1, responses);
        assertFalse(responses.contains("again"), responses);
      }
    }
  }

  @Nested
  class Orders {

    /**
     * Guards against running an order twice: the server may have run it before the connection
     * broke.
     */
    @Test
    void orderIsNotRetriedAfterLostResponse() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(RESET, GOOD)) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 502 "), response);
        assertTrue(response.contains("may_have_run"), response);
        assertEquals(1, fixture.receivedRequests());
      }
    }

    @Test
    void rejectedOrderIsRetriedOnAnotherServer() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(REJECT, GOOD)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        assertEquals(2, fixture.receivedRequests());
      }
    }

    @Test
    void orderIsSentToAnotherServerIfFirstIsUnreachable() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(GOOD, GOOD)) {
        fixture.first().close();
        fixture.first().awaitRefusal();
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
      }
    }

    @Test
    void orderRejectedByAllServersIsRefusedAsNotRun() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(REJECT, REJECT)) {
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertTrue(response.contains("not_run"), response);
        assertTrue(response.toLowerCase(java.util.Locale.ROOT).contains("retry-after"), response);
      }
    }

    /** Guards against reporting a success that the server did not sign. */
    @Test
    void orderWithUnsignedResponseIsNotCompleted() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(UNSIGNED, GOOD)) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 502 "));
      }
    }

    /** Guards against delivering a truncated response as a complete one. */
    @Test
    void orderWithTruncatedResponseIsNotCompleted() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(TRUNCATED, GOOD)) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 502 "));
        assertEquals(1, fixture.receivedRequests());
      }
    }

    /** Guards against the verdict "not run" for an order that was already sent. */
    @Test
    void orderPastItsDeadlineMayHaveRun() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(SILENT, SILENT)) {
        String response = fixture.call("/once/x", "X-Deadline: 200\r\n");
        assertTrue(response.startsWith("HTTP/1.1 504 "), response);
        assertTrue(response.contains("may_have_run"), response);
      }
    }
  }

  @Nested
  class RepeatableCalls {

    @Test
    void callIsRetriedAfterLostResponse() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(RESET, GOOD)) {
        assertTrue(fixture.call("/repeatable/x", "").endsWith("whole"));
      }
    }

    @Test
    void callIsRetriedAfterTruncatedResponse() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(TRUNCATED, GOOD)) {
        assertTrue(fixture.call("/repeatable/x", "").endsWith("whole"));
      }
    }

    @Test
    void callIsRetriedAfterServerError() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(ERROR, GOOD)) {
        assertTrue(fixture.call("/repeatable/x", "").endsWith("whole"));
      }
    }

    /** Guards against more attempts than the route allows. */
    @Test
    void callIsNotSentMoreOftenThanRouteAllows() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(ERROR, ERROR)) {
        assertTrue(fixture.call("/repeatable/x", "").startsWith("HTTP/1.1 500 "));
        assertEquals(2, fixture.receivedRequests());
      }
    }
  }

  @Nested
  class RepeatedRefusals {

    /**
     * Guards against a refusal that a server writes once more on a kept connection: the caller of
     * the next request would be told that it was not run, or the request would run twice.
     */
    @ParameterizedTest
    @ValueSource(strings = {"/once/x", "/repeatable/x"})
    void refusalOfAnEarlierRequestIsSkipped(String path) throws IOException {
      Script repeatsRefusal =
          exchange -> {
            exchange.send(
                "HTTP/1.1 503 X\r\nX-Request: earlier\r\nX-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
            exchange.respond(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(repeatsRefusal, GOOD)) {
        String response = fixture.call(path, "");
        assertTrue(response.startsWith("HTTP/1.1 200 "), response);
        assertTrue(response.endsWith("whole"), response);
        assertEquals(1, fixture.receivedRequests());
      }
    }
  }

  @Nested
  class Streams {

    @Test
    void streamIsForwardedCompletely() throws IOException {
      Script whole = stream(event(1) + event(2), true);
      try (ForwardFixture fixture = ForwardFixture.withServers(whole, RESET)) {
        String response = fixture.call("/stream/x", "");
        assertTrue(response.contains("data: e1") && response.contains("data: e2"), response);
        assertTrue(response.endsWith("0\r\n\r\n"), response);
      }
    }

    /**
     * Guards against events that are missing, repeated or mixed from two attempts after a resume.
     */
    @Test
    void streamCutWithinEventResumesOnNextServer() throws IOException {
      Script cut = stream(event(1) + "id: 2\nda", false);
      Script rest = stream(event(2) + event(3), true);
      try (ForwardFixture fixture = ForwardFixture.withServers(cut, rest)) {
        String response = fixture.call("/stream/x", "");
        assertEquals("1", fixture.second().requests().getFirst().header("X-After"));
        for (int id = 1; id <= 3; id++) {
          assertEquals(2, response.split("data: e" + id, -1).length, response);
        }
        assertTrue(response.endsWith("0\r\n\r\n"), response);
        assertEquals(1, response.split("HTTP/1.1", -1).length - 1, response);
      }
    }

    /** Guards against forwarding events again that the resumed attempt repeats. */
    @Test
    void deliveredEventsAreNotRepeated() throws IOException {
      Script cut = stream(event(1) + event(2), false);
      Script again = stream(event(1) + event(2) + event(3), true);
      try (ForwardFixture fixture = ForwardFixture.withServers(cut, again)) {
        String response = fixture.call("/stream/x", "");
        assertEquals(2, response.split("data: e2", -1).length, response);
        assertTrue(response.contains("data: e3"), response);
      }
    }

    /** Guards against losing an event that came in the same read as one after a gap. */
    @Test
    void eventBeforeGapIsForwardedOnce() throws IOException {
      Script gap =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
            exchange.send(Exchange.chunk(event(1)));
            awaitForwarding();
            exchange.send(Exchange.chunk(event(2) + event(4)));
          };
      Script rest = stream(event(3) + event(4), true);
      try (ForwardFixture fixture = ForwardFixture.withServers(gap, rest)) {
        String response = fixture.call("/stream/x", "");
        assertEquals("2", fixture.second().requests().getFirst().header("X-After"));
        for (int id = 1; id <= 4; id++) {
          assertEquals(2, response.split("data: e" + id, -1).length, response);
        }
      }
    }

    private void awaitForwarding() throws IOException {
      try {
        Thread.sleep(50);
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    /**
     * Guards against the text of an error in the middle of a stream, and against a stream that ends
     * as complete, when the server that should resume it answers with an error.
     */
    @ParameterizedTest
    @ValueSource(ints = {500, 503, 404, 429})
    void errorOfResumingServerIsNotPartOfTheStream(int status) throws IOException {
      Script cut = stream(event(1), false);
      Script error = exchange -> exchange.respond(status, "broken");
      try (ForwardFixture fixture = ForwardFixture.withServers(cut, error)) {
        String response = fixture.call("/stream/x", "");
        assertTrue(response.contains("data: e1"), response);
        assertFalse(response.contains("broken"), response);
        assertEquals(1, response.split("HTTP/1.1", -1).length - 1, response);
        assertFalse(response.endsWith("0\r\n\r\n"), response);
      }
    }

    /** Guards against completing a stream of which the resumed attempt left out an event. */
    @Test
    void streamWithMissingEventIsNotComplete() throws IOException {
      Script cut = stream(event(1), false);
      Script gap = stream(event(3), true);
      try (ForwardFixture fixture = ForwardFixture.withServers(cut, gap)) {
        String response = fixture.call("/stream/x", "");
        assertFalse(response.contains("data: e3"), response);
        assertFalse(response.endsWith("0\r\n\r\n"), response);
      }
    }

    /** Guards against ending a broken stream as complete, and against running the request again. */
    @Test
    void nonResumableStreamIsAborted() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(stream(event(1), false), GOOD)) {
        String response = fixture.call("/stream-once/x", "");
        assertFalse(response.endsWith("0\r\n\r\n"), response);
        assertEquals(1, fixture.receivedRequests());
      }
    }

    /** Guards against taking a reset of the server's connection for the end of the stream. */
    @Test
    void resetOfStreamWithoutLengthAbortsIt() throws IOException {
      Script reset =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s") + event(1));
            exchange.reset();
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(reset, GOOD)) {
        String response = fixture.call("/stream-once/x", "");
        assertFalse(response.endsWith("0\r\n\r\n"), response);
      }
    }

    /**
     * Guards against taking a reset for the end of the stream while the caller is slow, so that the
     * gateway has paused reading from the server.
     */
    @Test
    void resetWhileCallerIsSlowAbortsStream() throws IOException, InterruptedException {
      CountDownLatch reset = new CountDownLatch(1);
      String events =
          IntStream.rangeClosed(1, 200_000)
              .mapToObj(ForwardContractTest::event)
              .collect(Collectors.joining());
      Script slow =
          exchange -> {
            try {
              exchange.connection().setSoTimeout(0);
              exchange.send(exchange.head(200, "X-Signed: s"));
              Thread.ofVirtual().start(() -> resetLater(exchange, reset));
              exchange.send(events);
            } catch (IOException e) {
              // The connection is reset while the server still writes.
            }
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(slow, GOOD);
          Socket socket = fixture.connect()) {
        ForwardFixture.send(socket, "/stream-once/x", "Connection: close\r\n", "");
        reset.await();
        String response = ForwardFixture.readAll(socket);
        assertTrue(response.contains("data: e1"), "no event arrived");
        assertFalse(response.endsWith("0\r\n\r\n"), "the stream looks complete");
      }
    }

    private static void resetLater(Exchange exchange, CountDownLatch done) {
      try {
        Thread.sleep(300);
        exchange.reset();
      } catch (IOException | InterruptedException e) {
        throw new IllegalStateException(e);
      } finally {
        done.countDown();
      }
    }

    /** Guards against an engine that goes on generating for a caller that has disconnected. */
    @Test
    void streamIsClosedAtServerWhenCallerDisconnects() throws IOException, InterruptedException {
      Script open =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
            exchange.send(Exchange.chunk(event(1)));
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(open, open)) {
        try (Socket socket = fixture.connect()) {
          ForwardFixture.send(socket, "/stream/x", "", "");
          assertEquals('H', socket.getInputStream().read());
        }
        fixture.first().awaitConnectionClosed();
      }
    }
  }

  @Nested
  class Servers {

    private static final Script LEAVING =
        exchange ->
            exchange.send(
                exchange.head(200, "X-Signed: s\r\nX-Leaving: 1\r\nContent-Length: 5") + "whole");
    private static final Script BACKOFF =
        exchange ->
            exchange.send(
                exchange.head(503, "X-Not-Run: 1\r\nX-Closed-Millis: 60000\r\nContent-Length: 0"));

    /**
     * Guards against sending requests to a leaving server because the platform still lists it as
     * ready.
     */
    @Test
    void leavingServerGetsNoFurtherRequests() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(LEAVING, GOOD)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        assertEquals(1, fixture.first().requests().size());
        assertEquals(1, fixture.second().requests().size());
      }
    }

    /** Guards against using a leaving server again because the platform lists it again. */
    @Test
    void leavingServerStaysUnusedWhenListedAgain() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(LEAVING, GOOD)) {
        fixture.call("/once/x", "");
        fixture.delistAndRelistServers();
        fixture.call("/once/x", "");
        assertEquals(1, fixture.first().requests().size());
      }
    }

    /** Guards against sending requests to a server during the backoff that it requested. */
    @Test
    void serverThatRequestsBackoffGetsNoRequests() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(BACKOFF, GOOD)) {
        for (int i = 0; i < 3; i++) {
          assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        }
        assertEquals(1, fixture.first().requests().size());
      }
    }

    /** Guards against a forgotten backoff because the server's entry lapsed for a moment. */
    @Test
    void requestedBackoffOutlivesServerListing() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(BACKOFF, GOOD)) {
        fixture.call("/once/x", "");
        fixture.delistAndRelistServers();
        fixture.call("/once/x", "");
        assertEquals(1, fixture.first().requests().size());
      }
    }

    /**
     * Guards against attributing what another server at the same address states about itself to the
     * server that was expected there.
     */
    @Test
    void statementsOfAnotherServerAreIgnored() throws IOException {
      AtomicLong calls = new AtomicLong();
      Script otherServerAtFirst =
          exchange -> {
            if (calls.getAndIncrement() == 0) {
              exchange.send(exchange.head(421, "X-Leaving: 1\r\nX-Limit: 0\r\nContent-Length: 0"));
            } else {
              exchange.respond(200, "whole");
            }
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(otherServerAtFirst, GOOD)) {
        fixture.call("/once/x", "");
        fixture.call("/once/x", "");
        assertEquals(2, fixture.first().requests().size());
      }
    }

    /** Guards against a Retry-After that ends before any server accepts requests again. */
    @Test
    void retryAfterCoversBackoffOfAllServers() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(BACKOFF, BACKOFF)) {
        fixture.call("/once/x", "");
        String response = fixture.call("/once/x", "");
        assertTrue(response.startsWith("HTTP/1.1 503 "), response);
        assertEquals(2, fixture.receivedRequests());
        double seconds =
            response
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("retry-after:"))
                .mapToDouble(line -> Double.parseDouble(line.substring("retry-after:".length())))
                .findFirst()
                .orElseThrow();
        assertTrue(seconds > 50 && seconds <= 60, response);
      }
    }
  }

  @Nested
  class UnboundedResponses {

    // The largest response that the gateway buffers, and room for the sockets' buffers.
    private static final long MAX_ACCEPTED_BYTES = 24L * 1024 * 1024;
    private static final int PART_BYTES = 64 * 1024;
    private static final String PART = "x".repeat(PART_BYTES);

    /** Sends parts until the gateway closes the connection or the server's own limit is reached. */
    private static Script endless(String prefix, String part, AtomicLong sentBytes) {
      return exchange -> {
        exchange.send(prefix.replace("ID", "r1"));
        try {
          while (sentBytes.get() < 64L * 1024 * 1024) {
            exchange.send(part);
            sentBytes.addAndGet(part.length());
          }
        } catch (IOException e) {
          // The gateway closed the connection.
        }
        exchange.connection().close();
      };
    }

    private static void assertBounded(String path, String prefix, String part) throws IOException {
      AtomicLong sent = new AtomicLong();
      try (ForwardFixture fixture =
          ForwardFixture.withServers(endless(prefix, part, sent), Exchange::reset)) {
        String response = fixture.call(path, "");
        assertFalse(response.endsWith("0\r\n\r\n"), "the response looks complete");
        assertFalse(
            response.startsWith("HTTP/1.1 200 ") && path.startsWith("/once/"),
            "the order succeeded");
        assertTrue(
            sent.get() < MAX_ACCEPTED_BYTES, "the gateway accepted " + sent.get() + " bytes");
      }
    }

    /** Guards against a response head that grows until memory is exhausted. */
    @Test
    void endlessHeadIsAborted() throws IOException {
      assertBounded("/once/x", "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Filler: ", PART);
    }

    /** Guards against an endless sequence of interim (1xx) responses. */
    @Test
    void endlessInterimResponsesAreAborted() throws IOException {
      assertBounded("/once/x", "", "HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n".repeat(100));
    }

    /** Guards against skipping an endless response to another request. */
    @Test
    void endlessResponseToAnotherRequestIsAborted() throws IOException {
      assertBounded("/once/x", "HTTP/1.1 200 X\r\nX-Request: r0\r\nX-Signed: s\r\n\r\n", PART);
    }

    /** Guards against buffering a body without length that never ends. */
    @Test
    void endlessBodyIsAborted() throws IOException {
      assertBounded("/once/x", "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\n\r\n", PART);
    }

    /** Guards against an incomplete event that grows without bound and is copied at each read. */
    @Test
    void endlessEventIsAborted() throws IOException {
      assertBounded(
          "/stream-once/x",
          "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\n\r\n" + event(0) + "data: ",
          PART);
    }

    /** Guards against a chunk extension that never ends. */
    @Test
    void endlessChunkExtensionIsAborted() throws IOException {
      assertBounded(
          "/stream-once/x",
          "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
          PART);
    }

    /** Guards against trailers that never end. */
    @Test
    void endlessTrailersAreAborted() throws IOException {
      assertBounded(
          "/stream-once/x",
          "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-T: ",
          PART);
    }
  }

  @Nested
  class Refusals {

    /** Guards against a 404 for an existing route from a gateway that has no configuration yet. */
    @Test
    void requestWithoutConfigurationGets503() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.unconfigured()) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 503 "));
      }
    }

    /**
     * Guards against refusing requests that arrive after the start and before the first
     * configuration: after the loss of all gateways, callers often have no attempt left.
     */
    @Test
    void requestWaitsForFirstConfiguration() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.unconfigured();
          Socket socket = fixture.connect()) {
        ForwardFixture.send(socket, "/once/x", "Connection: close\r\n", "");
        fixture.configure(exchange -> exchange.respond(200, "whole"));
        assertTrue(ForwardFixture.readAll(socket).startsWith("HTTP/1.1 200 "));
      }
    }

    /** Guards against refusals at the gateway's share of connections while servers have room. */
    @Test
    void requestsBeyondConnectionShareAreNotRefused() throws IOException, InterruptedException {
      CountDownLatch allArrived = new CountDownLatch(25);
      Script slow =
          exchange -> {
            allArrived.countDown();
            awaitAll(allArrived);
            exchange.respond(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(slow, slow)) {
        List<Socket> sockets = new ArrayList<>();
        for (int i = 0; i < 25; i++) {
          Socket socket = fixture.connect();
          sockets.add(socket);
          ForwardFixture.send(socket, "/once/x", "Connection: close\r\n", "");
        }
        for (Socket socket : sockets) {
          assertTrue(ForwardFixture.readAll(socket).endsWith("whole"));
          socket.close();
        }
      }
    }

    private static void awaitAll(CountDownLatch latch) {
      try {
        latch.await();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }

    @Test
    void unknownRoutesAndKeysAreRefused() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(GOOD, GOOD)) {
        assertTrue(fixture.call("/nowhere/", "").startsWith("HTTP/1.1 404 "));
        assertTrue(fixture.call("/private/x", "").startsWith("HTTP/1.1 401 "));
        assertTrue(fixture.call("/private/x", "X-Key: bad\r\n").startsWith("HTTP/1.1 401 "));
        assertTrue(fixture.call("/private/x", "X-Key: good\r\n").startsWith("HTTP/1.1 200 "));
        assertEquals("mill", fixture.first().requests().getFirst().header("X-Customer"));
      }
    }

    /** Guards against request smuggling: a request that is hidden in the body of another one. */
    @Test
    void requestWithAmbiguousLengthIsRefused() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.withServers(GOOD, GOOD);
          Socket socket = fixture.connect()) {
        String request =
            """
            POST /once/x HTTP/1.1
            Host: a.example
            X-Request: r1
            Content-Length: 4
            Transfer-Encoding: chunked

            0

            POST /once/y HTTP/1.1

            """
                .replace("\n", "\r\n");
        socket.getOutputStream().write(request.getBytes(StandardCharsets.UTF_8));
        String response = ForwardFixture.readAll(socket);
        assertTrue(response.startsWith("HTTP/1.1 400 "), response);
        assertEquals(0, fixture.receivedRequests());
      }
    }
  }

  @Nested
  class Shutdown {

    /** Guards against accepting requests until the end of a shutdown, which then cuts them off. */
    @Test
    void newRequestsAreRefusedAndEarlierOnesFinish() throws IOException, InterruptedException {
      assertLateRequestIsRefused(Duration.ZERO);
    }

    /**
     * Guards against a shutdown that takes the first half of a request, which it has not read, for
     * a request in progress. The gateway closes that connection with bytes unread, so the caller
     * can meet the reset when it writes.
     */
    @Test
    void halfRequestThatIsUnreadAtShutdownIsNotServed() throws IOException, InterruptedException {
      assertLateRequestIsRefused(Duration.ofMillis(300));
    }

    private static void assertLateRequestIsRefused(Duration busyTime)
        throws IOException, InterruptedException {
      CountDownLatch release = new CountDownLatch(1);
      CountDownLatch arrived = new CountDownLatch(1);
      Script slow =
          exchange -> {
            arrived.countDown();
            awaitOrFail(release);
            exchange.respond(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.withServers(slow, slow);
          Socket earlier = fixture.connect();
          Socket later = fixture.connect()) {
        ForwardFixture.send(earlier, "/once/x", "Connection: close\r\n", "");
        arrived.await();
        fixture.keepEventLoopBusy(busyTime);
        String half = "POST /once/y HTTP/1.1\r\nHost: a.example\r\nX-Request: r2\r\n";
        later.getOutputStream().write(half.getBytes(StandardCharsets.UTF_8));
        fixture.stopAcceptingRequests();
        String rest = "Connection: close\r\nContent-Length: 0\r\n\r\n";
        try {
          String refusal = writeAndReadAll(later, rest);
          assertTrue(
              refusal.isEmpty() || refusal.equals("<reset>") || refusal.contains("gateway_leaving"),
              refusal);
        } finally {
          release.countDown();
        }
        assertTrue(ForwardFixture.readAll(earlier).endsWith("whole"));
        assertEquals(1, fixture.receivedRequests());
        assertThrows(IOException.class, fixture::connect);
      }
    }

    /** Returns what the peer sends; a reset that the write meets counts like one while reading. */
    private static String writeAndReadAll(Socket socket, String text) throws IOException {
      try {
        socket.getOutputStream().write(text.getBytes(StandardCharsets.UTF_8));
      } catch (SocketException e) {
        return "<reset>";
      }
      return ForwardFixture.readAll(socket);
    }

    private static void awaitOrFail(CountDownLatch latch) throws IOException {
      try {
        latch.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }
}
