package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What callers are told and what servers get, with servers that fail in all ways known. */
class ForwardContractTest {

  private static final Script GOOD = exchange -> exchange.answer(200, "whole");
  private static final Script RESET = Exchange::reset;
  private static final Script REJECT =
      exchange -> exchange.send(exchange.head(503, "X-Not-Run: 1\r\nContent-Length: 0"));
  private static final Script ERROR = exchange -> exchange.answer(500, "broken");
  private static final Script SILENT = exchange -> {};
  private static final Script UNSIGNED =
      exchange -> exchange.send(exchange.head(200, "Content-Length: 5") + "whole");
  private static final Script CUT =
      exchange -> {
        exchange.send(exchange.head(200, "X-Signed: s\r\nContent-Length: 50") + "part");
        exchange.connection().close();
      };
  private static final Script UNFRAMED =
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
  class WholeAnswers {

    @Test
    void arePassedOnUnchanged() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(GOOD, GOOD)) {
        String answer = fixture.call("/once/x?q=1", "");
        assertTrue(answer.startsWith("HTTP/1.1 200 "), answer);
        assertTrue(answer.endsWith("\r\n\r\nwhole"), answer);
        assertTrue(fixture.first().requests().getFirst().head().startsWith("POST /once/x?q=1 "));
        assertEquals("first", fixture.first().requests().getFirst().field("X-Server"));
      }
    }

    @Test
    void withoutLengthEndWithTheConnection() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(UNFRAMED, RESET)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
      }
    }

    /** Guards against a failure that the server reported being hidden from the caller. */
    @Test
    void ofAFailedOrderArePassedOn() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(ERROR, GOOD)) {
        String answer = fixture.call("/once/x", "");
        assertTrue(answer.startsWith("HTTP/1.1 500 "), answer);
        assertEquals(1, fixture.arrivals());
      }
    }

    /** Guards against an answer to an earlier request reaching this one's caller. */
    @Test
    void ofAnotherRequestAreSkipped() throws IOException {
      Script crossed =
          exchange -> {
            exchange.send("HTTP/1.1 200 X\r\nX-Request: r0\r\nX-Signed: s\r\n");
            exchange.send("Content-Length: 5\r\n\r\nother");
            exchange.answer(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.before(crossed, RESET)) {
        String answer = fixture.call("/once/x", "");
        assertTrue(answer.endsWith("whole"), answer);
        assertFalse(answer.contains("other"), answer);
      }
    }

    /** Guards against a reset of the server's connection being taken for the end of the answer. */
    @Test
    void withoutLengthThatAreResetAreNotComplete() throws IOException {
      Script reset =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s") + "part");
            exchange.reset();
          };
      try (ForwardFixture fixture = ForwardFixture.before(reset, GOOD)) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 502 "));
      }
    }

    /** Guards against surplus bytes after an answer being taken for the next one. */
    @Test
    void areNotFollowedBySurplusBytes() throws IOException {
      Script surplus =
          exchange -> {
            exchange.answer(200, "whole");
            exchange.answer(200, "again");
          };
      try (ForwardFixture fixture = ForwardFixture.before(surplus, RESET);
          Socket socket = fixture.connect()) {
        for (int i = 0; i < 3; i++) {
          ForwardFixture.send(socket, "/once/x", i == 2 ? "Connection: close\r\n" : "", "");
        }
        String answers = ForwardFixture.readAll(socket);
        assertEquals(3, answers.split("whole", -1).length - 1, answers);
        assertFalse(answers.contains("again"), answers);
      }
    }
  }

  @Nested
  class Orders {

    /** Guards against an order that runs twice. */
    @Test
    void areNotSentAgainAfterALostAnswer() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(RESET, GOOD)) {
        String answer = fixture.call("/once/x", "");
        assertTrue(answer.startsWith("HTTP/1.1 502 "), answer);
        assertTrue(answer.contains("may_have_run"), answer);
        assertEquals(1, fixture.arrivals());
      }
    }

    @Test
    void goToAnotherServerWhenTheFirstDidNotRunThem() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(REJECT, GOOD)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        assertEquals(2, fixture.arrivals());
      }
    }

    @Test
    void goToAnotherServerWhenTheFirstCannotBeReached() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(GOOD, GOOD)) {
        fixture.first().close();
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
      }
    }

    @Test
    void thatNoServerTookAreRefusedTruthfully() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(REJECT, REJECT)) {
        String answer = fixture.call("/once/x", "");
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertTrue(answer.contains("not_run"), answer);
        assertTrue(answer.toLowerCase(java.util.Locale.ROOT).contains("retry-after"), answer);
      }
    }

    /** Guards against a success that the server does not vouch for. */
    @Test
    void withAnUnsignedAnswerAreNotCalledDone() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(UNSIGNED, GOOD)) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 502 "));
      }
    }

    /** Guards against a cut answer that looks whole. */
    @Test
    void withACutAnswerAreNotCalledDone() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(CUT, GOOD)) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 502 "));
        assertEquals(1, fixture.arrivals());
      }
    }

    /** Guards against a promise that an order did not run, made after it was sent. */
    @Test
    void thatAreNotAnsweredInTimeMayHaveRun() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(SILENT, SILENT)) {
        String answer = fixture.call("/once/x", "X-Deadline: 200\r\n");
        assertTrue(answer.startsWith("HTTP/1.1 504 "), answer);
        assertTrue(answer.contains("may_have_run"), answer);
      }
    }
  }

  @Nested
  class RepeatableCalls {

    @Test
    void goToAnotherServerAfterALostAnswer() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(RESET, GOOD)) {
        assertTrue(fixture.call("/repeatable/x", "").endsWith("whole"));
      }
    }

    @Test
    void goToAnotherServerAfterACutAnswer() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(CUT, GOOD)) {
        assertTrue(fixture.call("/repeatable/x", "").endsWith("whole"));
      }
    }

    @Test
    void goToAnotherServerAfterAFailure() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(ERROR, GOOD)) {
        assertTrue(fixture.call("/repeatable/x", "").endsWith("whole"));
      }
    }

    /** Guards against more sends than the route allows. */
    @Test
    void stopAfterTheRoutesAttempts() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(ERROR, ERROR)) {
        assertTrue(fixture.call("/repeatable/x", "").startsWith("HTTP/1.1 500 "));
        assertEquals(2, fixture.arrivals());
      }
    }
  }

  @Nested
  class Streams {

    @Test
    void arePassedOnWhole() throws IOException {
      Script whole = stream(event(1) + event(2), true);
      try (ForwardFixture fixture = ForwardFixture.before(whole, RESET)) {
        String answer = fixture.call("/stream/x", "");
        assertTrue(answer.contains("data: e1") && answer.contains("data: e2"), answer);
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
      }
    }

    /** Guards against pieces that are missing, doubled or joined from two runs. */
    @Test
    void cutWithinAnEventGoOnAtTheNextServer() throws IOException {
      Script cut = stream(event(1) + "id: 2\nda", false);
      Script rest = stream(event(2) + event(3), true);
      try (ForwardFixture fixture = ForwardFixture.before(cut, rest)) {
        String answer = fixture.call("/stream/x", "");
        assertEquals("1", fixture.second().requests().getFirst().field("X-After"));
        for (int id = 1; id <= 3; id++) {
          assertEquals(2, answer.split("data: e" + id, -1).length, answer);
        }
        assertTrue(answer.endsWith("0\r\n\r\n"), answer);
        assertEquals(1, answer.split("HTTP/1.1", -1).length - 1, answer);
      }
    }

    /** Guards against events that a second run sends again. */
    @Test
    void dropEventsThatTheCallerHas() throws IOException {
      Script cut = stream(event(1) + event(2), false);
      Script again = stream(event(1) + event(2) + event(3), true);
      try (ForwardFixture fixture = ForwardFixture.before(cut, again)) {
        String answer = fixture.call("/stream/x", "");
        assertEquals(2, answer.split("data: e2", -1).length, answer);
        assertTrue(answer.contains("data: e3"), answer);
      }
    }

    /** Guards against a stream that misses an event and looks complete. */
    @Test
    void withAMissingEventAreNotComplete() throws IOException {
      Script cut = stream(event(1), false);
      Script gap = stream(event(3), true);
      try (ForwardFixture fixture = ForwardFixture.before(cut, gap)) {
        String answer = fixture.call("/stream/x", "");
        assertFalse(answer.contains("data: e3"), answer);
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
      }
    }

    /** Guards against a broken stream that looks complete, and against a second run. */
    @Test
    void thatCannotBeResumedBreakOff() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(stream(event(1), false), GOOD)) {
        String answer = fixture.call("/stream-once/x", "");
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
        assertEquals(1, fixture.arrivals());
      }
    }

    /** Guards against a reset of the server's connection being taken for the end of the stream. */
    @Test
    void withoutLengthThatAreResetBreakOff() throws IOException {
      Script reset =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s") + event(1));
            exchange.reset();
          };
      try (ForwardFixture fixture = ForwardFixture.before(reset, GOOD)) {
        String answer = fixture.call("/stream-once/x", "");
        assertFalse(answer.endsWith("0\r\n\r\n"), answer);
      }
    }

    /** Guards against the same while the caller is slow, so that the server isn't read from. */
    @Test
    void withoutLengthThatAreResetWhileTheCallerIsSlowBreakOff()
        throws IOException, InterruptedException {
      CountDownLatch reset = new CountDownLatch(1);
      String many =
          IntStream.rangeClosed(1, 200_000)
              .mapToObj(ForwardContractTest::event)
              .collect(Collectors.joining());
      Script slow =
          exchange -> {
            try {
              exchange.connection().setSoTimeout(0);
              exchange.send(exchange.head(200, "X-Signed: s"));
              Thread.ofVirtual().start(() -> resetLater(exchange, reset));
              exchange.send(many);
            } catch (IOException e) {
              // The connection is reset while the server still writes.
            }
          };
      try (ForwardFixture fixture = ForwardFixture.before(slow, GOOD);
          Socket socket = fixture.connect()) {
        ForwardFixture.send(socket, "/stream-once/x", "Connection: close\r\n", "");
        reset.await();
        String answer = ForwardFixture.readAll(socket);
        assertTrue(answer.contains("data: e1"), "no event arrived");
        assertFalse(answer.endsWith("0\r\n\r\n"), "the stream looks complete");
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

    /** Guards against an engine that goes on working for a caller that has left. */
    @Test
    void endAtTheServerWhenTheCallerLeaves() throws IOException, InterruptedException {
      Script open =
          exchange -> {
            exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
            exchange.send(Exchange.chunk(event(1)));
          };
      try (ForwardFixture fixture = ForwardFixture.before(open, open)) {
        try (Socket socket = fixture.connect()) {
          ForwardFixture.send(socket, "/stream/x", "", "");
          assertEquals('H', socket.getInputStream().read());
        }
        fixture.first().awaitCallerGone();
      }
    }
  }

  @Nested
  class Servers {

    private static final Script LEAVING =
        exchange ->
            exchange.send(
                exchange.head(200, "X-Signed: s\r\nX-Leaving: 1\r\nContent-Length: 5") + "whole");
    private static final Script CLOSED =
        exchange ->
            exchange.send(
                exchange.head(503, "X-Not-Run: 1\r\nX-Closed-Millis: 60000\r\nContent-Length: 0"));

    /** Guards against new work for a server whose entry still calls it ready while it leaves. */
    @Test
    void thatSayTheyLeaveGetNothingLater() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(LEAVING, GOOD)) {
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        assertEquals(1, fixture.first().requests().size());
        assertEquals(1, fixture.second().requests().size());
      }
    }

    /** Guards against a server that left being in use again when the platform lists it again. */
    @Test
    void thatSaidTheyLeaveStayOutWhenTheyAreListedAgain() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(LEAVING, GOOD)) {
        fixture.call("/once/x", "");
        fixture.forgetServersAndListThemAgain();
        fixture.call("/once/x", "");
        assertEquals(1, fixture.first().requests().size());
      }
    }

    /** Guards against more requests for a server that asked for a pause. */
    @Test
    void thatAskForAPauseAreLeftAlone() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(CLOSED, GOOD)) {
        for (int i = 0; i < 3; i++) {
          assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        }
        assertEquals(1, fixture.first().requests().size());
      }
    }

    /** Guards against callers that come back before any server takes requests again. */
    @Test
    void thatAllAskForAPauseLetCallersComeBackAfterIt() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(CLOSED, CLOSED)) {
        fixture.call("/once/x", "");
        String answer = fixture.call("/once/x", "");
        assertTrue(answer.startsWith("HTTP/1.1 503 "), answer);
        assertEquals(2, fixture.arrivals());
        double seconds =
            answer
                .lines()
                .filter(line -> line.toLowerCase(Locale.ROOT).startsWith("retry-after:"))
                .mapToDouble(line -> Double.parseDouble(line.substring("retry-after:".length())))
                .findFirst()
                .orElseThrow();
        assertTrue(seconds > 50 && seconds <= 60, answer);
      }
    }
  }

  @Nested
  class BytesWithoutEnd {

    // The largest answer that is held, and what the sockets' buffers take.
    private static final long MAX_TAKEN_BYTES = 24L * 1024 * 1024;
    private static final int PART_BYTES = 64 * 1024;
    private static final String PART = "x".repeat(PART_BYTES);

    /** Sends parts until the gateway closes the connection, which it must do before the limit. */
    private static Script endless(String beginning, String part, AtomicLong sentBytes) {
      return exchange -> {
        exchange.send(beginning.replace("ID", "r1"));
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

    private static void assertBounded(String path, String beginning, String part)
        throws IOException {
      AtomicLong sent = new AtomicLong();
      try (ForwardFixture fixture =
          ForwardFixture.before(endless(beginning, part, sent), Exchange::reset)) {
        String answer = fixture.call(path, "");
        assertFalse(answer.endsWith("0\r\n\r\n"), "called complete");
        assertFalse(answer.startsWith("HTTP/1.1 200 ") && path.startsWith("/once/"), "success");
        assertTrue(sent.get() < MAX_TAKEN_BYTES, "took " + sent.get() + " bytes");
      }
    }

    /** Guards against a head that fills the memory. */
    @Test
    void inAHead() throws IOException {
      assertBounded("/once/x", "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Filler: ", PART);
    }

    /** Guards against an endless run of interim answers. */
    @Test
    void asInterimAnswers() throws IOException {
      assertBounded("/once/x", "", "HTTP/1.1 103 Early\r\nX-A: b\r\n\r\n".repeat(100));
    }

    /** Guards against an answer to another request that goes on for ever. */
    @Test
    void inAnAnswerToAnotherRequest() throws IOException {
      assertBounded("/once/x", "HTTP/1.1 200 X\r\nX-Request: r0\r\nX-Signed: s\r\n\r\n", PART);
    }

    /** Guards against a body without length that never ends. */
    @Test
    void inABody() throws IOException {
      assertBounded("/once/x", "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\n\r\n", PART);
    }

    /** Guards against the rest of an event that grows without bound and is copied at each read. */
    @Test
    void inAnEvent() throws IOException {
      assertBounded(
          "/stream-once/x",
          "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\n\r\n" + event(0) + "data: ",
          PART);
    }

    /** Guards against a chunk extension that never ends. */
    @Test
    void inAChunkExtension() throws IOException {
      assertBounded(
          "/stream-once/x",
          "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n5;a=",
          PART);
    }

    /** Guards against trailers that never end. */
    @Test
    void inTrailers() throws IOException {
      assertBounded(
          "/stream-once/x",
          "HTTP/1.1 200 X\r\nX-Request: ID\r\nX-Signed: s\r\nTransfer-Encoding: chunked\r\n\r\n0\r\nX-T: ",
          PART);
    }
  }

  @Nested
  class Refusals {

    /** Guards against a wrong 404 by a gateway that knows no configuration yet. */
    @Test
    void withoutConfigurationAskToComeBack() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.unconfigured()) {
        assertTrue(fixture.call("/once/x", "").startsWith("HTTP/1.1 503 "));
      }
    }

    /**
     * Guards against refusing callers that come in the moment between the start and the first
     * configuration: after the loss of all gateways they often have no attempt left.
     */
    @Test
    void areNotGivenWhileTheFirstConfigurationIsRead() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.unconfigured();
          Socket socket = fixture.connect()) {
        ForwardFixture.send(socket, "/once/x", "Connection: close\r\n", "");
        fixture.configure(exchange -> exchange.answer(200, "whole"));
        assertTrue(ForwardFixture.readAll(socket).startsWith("HTTP/1.1 200 "));
      }
    }

    /** Guards against refusals at the gateway's share of connections while servers are free. */
    @Test
    void areNotGivenAtTheShareOfConnections() throws IOException, InterruptedException {
      CountDownLatch allArrived = new CountDownLatch(25);
      Script slow =
          exchange -> {
            allArrived.countDown();
            awaitAll(allArrived);
            exchange.answer(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.before(slow, slow)) {
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
    void ofUnknownRoutesAndKeys() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(GOOD, GOOD)) {
        assertTrue(fixture.call("/nowhere/", "").startsWith("HTTP/1.1 404 "));
        assertTrue(fixture.call("/private/x", "").startsWith("HTTP/1.1 401 "));
        assertTrue(fixture.call("/private/x", "X-Key: bad\r\n").startsWith("HTTP/1.1 401 "));
        assertTrue(fixture.call("/private/x", "X-Key: good\r\n").startsWith("HTTP/1.1 200 "));
        assertEquals("mill", fixture.first().requests().getFirst().field("X-Customer"));
      }
    }

    /** Guards against a request that hides in the body of another one. */
    @Test
    void ofRequestsWhoseLengthIsAmbiguous() throws IOException {
      try (ForwardFixture fixture = ForwardFixture.before(GOOD, GOOD);
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
        String answer = ForwardFixture.readAll(socket);
        assertTrue(answer.startsWith("HTTP/1.1 400 "), answer);
        assertEquals(0, fixture.arrivals());
      }
    }
  }

  @Nested
  class Shutdown {

    /** Guards against requests that are taken until the end of a shutdown and cut by it. */
    @Test
    void refusesLateRequestsTruthfullyAndFinishesEarlierOnes()
        throws IOException, InterruptedException {
      CountDownLatch answer = new CountDownLatch(1);
      CountDownLatch arrived = new CountDownLatch(1);
      Script slow =
          exchange -> {
            arrived.countDown();
            awaitUninterruptibly(answer);
            exchange.answer(200, "whole");
          };
      try (ForwardFixture fixture = ForwardFixture.before(slow, slow);
          Socket earlier = fixture.connect();
          Socket later = fixture.connect()) {
        ForwardFixture.send(earlier, "/once/x", "Connection: close\r\n", "");
        arrived.await();
        String half = "POST /once/y HTTP/1.1\r\nHost: a.example\r\nX-Request: r2\r\n";
        later.getOutputStream().write(half.getBytes(StandardCharsets.UTF_8));
        fixture.stopAcceptingRequests();
        String rest = "Connection: close\r\nContent-Length: 0\r\n\r\n";
        try {
          later.getOutputStream().write(rest.getBytes(StandardCharsets.UTF_8));
          String refusal = ForwardFixture.readAll(later);
          assertTrue(
              refusal.isEmpty() || refusal.equals("<reset>") || refusal.contains("gateway_leaving"),
              refusal);
        } finally {
          answer.countDown();
        }
        assertTrue(ForwardFixture.readAll(earlier).endsWith("whole"));
        assertEquals(1, fixture.arrivals());
        assertThrows(IOException.class, fixture::connect);
      }
    }

    private static void awaitUninterruptibly(CountDownLatch latch) throws IOException {
      try {
        latch.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }
  }
}
