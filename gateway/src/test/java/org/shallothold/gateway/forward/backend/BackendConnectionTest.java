package org.shallothold.gateway.forward.backend;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.channel.embedded.EmbeddedChannel;
import io.netty.handler.codec.http.DefaultFullHttpRequest;
import io.netty.handler.codec.http.FullHttpRequest;
import io.netty.handler.codec.http.HttpMethod;
import io.netty.handler.codec.http.HttpRequestEncoder;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpVersion;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.stream.IntStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.gateway.forward.TestTranslations;
import org.shallothold.gateway.forward.port.ResponseMetadata;
import org.shallothold.wire.connection.ReadScheduler;

/**
 * To which request the bytes on a connection belong, if a server responds to an earlier request
 * once more: before, within or after the response to the next one, whole or cut anywhere.
 */
class BackendConnectionTest {

  // A shorter beginning of a response is not told from a body.
  private static final int RECOGNIZABLE_LENGTH = "HTTP/1.1 200".length();

  // Of the reads that ScheduledReads passes on.
  private static final int SLICE_BYTES = 2 * 1024;

  private static final String PENDING = "pending";
  private static final String FAILED = "failed";

  private static final String OWN_BODY = "{\"own\": \"0123456789 0123456789 0123456789\"}";

  private static String response(String status, String body, String... fields) {
    return "HTTP/1.1 " + status + "\r\n" + String.join("\r\n", fields) + "\r\n\r\n" + body;
  }

  /** Frames a body in each way, after the given fields. */
  private static Stream<String> framed(String status, String body, String... fields) {
    String all = String.join("\r\n", fields);
    int half = body.length() / 2;
    String first = body.substring(0, half);
    String second = body.substring(half);
    return Stream.of(
        response(status, body, all, "Content-Length: " + body.length()),
        response(
            status, chunk(first) + chunk(second) + chunk(""), all, "Transfer-Encoding: chunked"),
        response(status, body, all));
  }

  private static String chunk(String text) {
    return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
  }

  private static List<String> ownResponses() {
    return Stream.of("200 OK", "500 Failed")
        .flatMap(status -> framed(status, OWN_BODY, "X-Request: own", "X-Signed: own"))
        .toList();
  }

  private static List<String> lateResponses() {
    return Stream.of(List.of("X-Request: earlier"), List.<String>of())
        .flatMap(
            id ->
                Stream.of(
                        framed("200 OK", "late late", fields(id, "X-Signed: late")),
                        framed("500 Failed", "late late", fields(id, "X-Signed: late")),
                        Stream.of(
                            response(
                                "503 Busy", "", fields(id, "X-Not-Run: 1", "Content-Length: 0"))))
                    .flatMap(responses -> responses))
        .toList();
  }

  private static String[] fields(List<String> id, String... others) {
    return Stream.concat(id.stream(), Stream.of(others)).toArray(String[]::new);
  }

  private static Stream<Arguments> pairs() {
    return ownResponses().stream()
        .flatMap(own -> lateResponses().stream().map(late -> Arguments.of(own, late)));
  }

  /** A connection that carries one request, and what its listener received. */
  private static final class Connection implements BackendConnection.Owner, BackendListener {
    private final EmbeddedChannel channel = new EmbeddedChannel();
    private long nowNanos;
    // Each look at the clock finds the connection's credit used up.
    private final ReadScheduler scheduler =
        ReadScheduler.withClock(
            channel.eventLoop(), () -> nowNanos += TimeUnit.MILLISECONDS.toNanos(1));
    private final StringBuilder received = new StringBuilder();
    private String outcome = PENDING;
    private final List<ForeignBytes> foreignBytes = new ArrayList<>();

    private Connection() {
      BackendConnection connection =
          new BackendConnection(this, TestTranslations.create(), channel, "server", scheduler);
      channel
          .pipeline()
          .addLast(connection.reads(), connection.decoder(), new HttpRequestEncoder(), connection);
      FullHttpRequest request =
          new DefaultFullHttpRequest(
              HttpVersion.HTTP_1_1, HttpMethod.POST, "/x", Unpooled.EMPTY_BUFFER);
      connection.send(request, "own", this);
      channel.runPendingTasks();
    }

    private void read(String bytes) {
      if (!bytes.isEmpty() && channel.isActive()) {
        channel.writeInbound(Unpooled.copiedBuffer(bytes, StandardCharsets.ISO_8859_1));
      }
      while (scheduler.deferredConnections() > 0) {
        channel.runPendingTasks();
      }
    }

    private String outcome() {
      return outcome.isEmpty() ? received.toString() : outcome;
    }

    @Override
    public void sending() {}

    @Override
    public void headReceived(HttpResponse head, ResponseMetadata metadata) {
      received.append(head.status().code()).append(' ').append(head.headers().get("X-Signed"));
    }

    @Override
    public void contentReceived(ByteBuf content) {
      received.append(received.indexOf(" | ") < 0 ? " | " : "");
      received.append(content.toString(StandardCharsets.ISO_8859_1));
    }

    @Override
    public void completed() {
      outcome = "";
    }

    @Override
    public void failed(String reason, boolean neverSent) {
      outcome = FAILED;
    }

    @Override
    public void connectionReleased(BackendConnection connection) {}

    @Override
    public void connectionClosed(BackendConnection connection) {}

    @Override
    public void foreignBytesReceived(ForeignBytes found) {
      foreignBytes.add(found);
    }
  }

  private static String outcomeOf(List<String> reads, boolean closes) {
    Connection connection = new Connection();
    reads.forEach(connection::read);
    if (closes) {
      connection.channel.close();
    }
    connection.channel.checkException();
    return connection.outcome();
  }

  private static String ownOutcome(String own) {
    return own.substring(9, 12) + " own | " + OWN_BODY;
  }

  private static boolean isConnectionDelimited(String response) {
    return !response.contains("Content-Length") && !response.contains("chunked");
  }

  private static int headLength(String response) {
    return response.indexOf("\r\n\r\n") + 4;
  }

  /** Asserts the outcome if a part of a late response arrives, in one read or apart. */
  private static void assertMatched(String own, int position, String late, boolean mayStayPending) {
    String before = own.substring(0, position);
    String after = own.substring(position);
    List<String> allowed =
        mayStayPending
            ? List.of(ownOutcome(own), FAILED, PENDING)
            : List.of(ownOutcome(own), FAILED);
    for (List<String> reads :
        List.of(List.of(before, late, after), List.of(before + late + after))) {
      String outcome = outcomeOf(reads, isConnectionDelimited(own));
      assertTrue(allowed.contains(outcome), () -> reads + " -> " + outcome);
    }
  }

  /** Asserts the outcome of one read in which a slice ends at an index of the bytes received. */
  private static void assertMatchedInSlices(String own, int position, String late, int sliceEnd) {
    int endOfStatusLine = own.indexOf("\r\n") + 2;
    String name = "X-Padding: ";
    int paddingLength = SLICE_BYTES - sliceEnd - name.length() - 2;
    String padding = name + "x".repeat(paddingLength) + "\r\n";
    String read =
        own.substring(0, endOfStatusLine)
            + padding
            + own.substring(endOfStatusLine, position)
            + late
            + own.substring(position);
    String outcome = outcomeOf(List.of(read), isConnectionDelimited(own));
    assertTrue(List.of(ownOutcome(own), FAILED).contains(outcome), () -> read + " -> " + outcome);
  }

  /** Returns the lengths up to that of a text, in steps, and that length. */
  private static IntStream lengths(int first, int step, String text) {
    return IntStream.concat(
        IntStream.iterate(first, length -> length < text.length(), length -> length + step),
        IntStream.of(text.length()));
  }

  @Nested
  class LateResponse {

    /** Guards against reading the response to a request as the rest of a late one, cut anywhere. */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void cutAnywhereBeforeResponse(String own, String late) {
      lengths(1, 1, late).forEach(cut -> assertMatched(own, 0, late.substring(0, cut), false));
    }

    /** Guards against the rest of a late response whose beginning was read before. */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void restBeforeResponse(String own, String late) {
      lengths(1, 1, late).forEach(begin -> assertMatched(own, 0, late.substring(begin), false));
    }

    /** Guards against giving up a request because a late response was skipped before its own. */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void wholeBeforeResponseIsSkipped(String own, String late) {
      if (!late.contains("earlier") || isConnectionDelimited(late)) {
        return;
      }
      for (List<String> reads : List.of(List.of(late, own), List.of(late + own))) {
        assertEquals(ownOutcome(own), outcomeOf(reads, isConnectionDelimited(own)));
      }
    }

    /** Guards against taking a late response for a part of the head or body of the next one. */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void wholeWithinResponse(String own, String late) {
      lengths(1, 1, own)
          .forEach(position -> assertMatched(own, position, late, position < headLength(own)));
    }

    /**
     * Guards against the same where the bytes of one read are handled in slices, so that the bytes
     * behind the response wait while its end is handled.
     */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void wholeWithinBodyAcrossSlices(String own, String late) {
      lengths(headLength(own), 5, own)
          .forEach(
              position ->
                  IntStream.of(
                          position,
                          position + late.length() / 2,
                          position + late.length(),
                          // With a length, the body ends here.
                          own.length())
                      .forEach(sliceEnd -> assertMatchedInSlices(own, position, late, sliceEnd)));
    }

    /**
     * Guards against the same for a cut one. Without a length or chunks, only a field by which a
     * server names or signs a response tells it from the body.
     */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void cutWithinBody(String own, String late) {
      int shortest = isConnectionDelimited(own) ? endOfFirstField(late) : RECOGNIZABLE_LENGTH;
      lengths(headLength(own), 3, own)
          .forEach(
              position ->
                  lengths(shortest, 5, late)
                      .forEach(cut -> assertMatched(own, position, late.substring(0, cut), true)));
    }

    /** Guards against adding the beginning of a late response to a body without a length. */
    @ParameterizedTest
    @MethodSource("org.shallothold.gateway.forward.backend.BackendConnectionTest#pairs")
    void cutAfterResponse(String own, String late) {
      boolean connectionDelimited = isConnectionDelimited(own);
      lengths(connectionDelimited ? RECOGNIZABLE_LENGTH : 1, 1, late)
          .mapToObj(cut -> late.substring(0, cut))
          .forEach(
              part -> {
                if (connectionDelimited) {
                  assertMatched(own, own.length(), part, false);
                } else {
                  assertEquals(ownOutcome(own), outcomeOf(List.of(own, part), false));
                  assertEquals(ownOutcome(own), outcomeOf(List.of(own + part), false));
                }
              });
    }
  }

  private static int endOfFirstField(String response) {
    return response.indexOf("\r\n", response.indexOf("\r\n") + 2) + 2;
  }

  @Nested
  class AbandonedRequest {

    /** Guards against taking the response to a request that was given up for the next one's. */
    @Test
    void connectionIsClosed() {
      Connection connection = new Connection();
      BackendConnection abandoned = connection.channel.pipeline().get(BackendConnection.class);
      abandoned.abandon();
      assertFalse(abandoned.isUsable());
      assertFalse(connection.channel.isOpen());
      assertEquals(PENDING, connection.outcome());
    }
  }

  @Nested
  class Report {

    /** Guards against bytes of one request near another of which no log line tells. */
    @Test
    void namesBothRequestsAndPlace() {
      Connection connection = new Connection();
      connection.read(response("200 OK", "", "X-Request: earlier", "Content-Length: 0"));
      ForeignBytes found = connection.foreignBytes.getFirst();
      assertEquals(ForeignBytes.Place.BEFORE_RESPONSE, found.place());
      assertEquals("own", found.request());
      assertEquals("earlier", found.namedRequest());
      assertEquals(-1, found.idleMillis());
    }

    /** Guards against a server that fills the log with one response of many parts. */
    @Test
    void isMadeOncePerRequest() {
      Connection connection = new Connection();
      String head = response("200 OK", "", "X-Request: earlier", "Transfer-Encoding: chunked");
      connection.read(head + chunk("HTTP/1.1 200 OK\r\n").repeat(50));
      assertEquals(1, connection.foreignBytes.size());
      assertEquals(FAILED, connection.outcome());
    }
  }

  @Nested
  class SoundResponse {

    private static Stream<String> bodies() {
      return Stream.of(
          "HTTP/1.1 200 OK\r\nContent-Type: text/plain\r\n\r\nhello",
          "{\"text\": \"send it with HTTP/1.1 and keep the connection\"}",
          "{\"text\": \"HTTP/1.1 200 OK\\r\\nServer: x\"}",
          "the version is HTTP/1.1");
    }

    /** Guards against refusing responses that speak of HTTP. */
    @ParameterizedTest
    @MethodSource("bodies")
    void bodyMayMentionHttp(String body) {
      framed("200 OK", body, "X-Request: own", "X-Signed: own")
          .forEach(
              own ->
                  assertEquals(
                      "200 own | " + body, outcomeOf(List.of(own), isConnectionDelimited(own))));
    }

    /** Guards against believing a head with the fields of two responses. */
    @ParameterizedTest
    @ValueSource(strings = {"X-Request: own", "X-Request: other", "X-Signed: other"})
    void headWithRepeatedFieldFails(String field) {
      String own =
          response("200 OK", "", "X-Request: own", "X-Signed: own", field, "Content-Length: 0");
      assertEquals(FAILED, outcomeOf(List.of(own), false));
    }
  }
}
