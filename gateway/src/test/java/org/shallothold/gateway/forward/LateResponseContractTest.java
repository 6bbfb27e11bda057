package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.concurrent.atomic.AtomicReference;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What callers receive from servers that respond to a request twice, the second time late. */
class LateResponseContractTest {

  private static final long PAUSE_MILLIS = 5;
  private static final String OWN_BODY = "0123456789".repeat(40);
  private static final String OWN_EVENTS = "id: 0\ndata: own\n\nid: 1\ndata: own\n\n";

  private static final String CHUNKED_BODY = "5\r\nother\r\n0\r\n\r\n";
  private static final String ID = "X-Request: earlier";
  private static final String SIGNATURE = "X-Signed: late";
  private static final List<String> LATE_RESPONSES =
      List.of(
          response("200 OK", "other", ID, SIGNATURE, "Content-Length: 5"),
          response("200 OK", "other", SIGNATURE, "Content-Length: 5"),
          response("200 OK", CHUNKED_BODY, ID, SIGNATURE, "Transfer-Encoding: chunked"),
          response("200 OK", "other", ID, SIGNATURE),
          response("503 Busy", "", ID, "X-Not-Run: 1", "Content-Length: 0"));

  private static String response(String status, String body, String... fields) {
    return "HTTP/1.1 " + status + "\r\n" + String.join("\r\n", fields) + "\r\n\r\n" + body;
  }

  private static void pause() throws IOException {
    try {
      Thread.sleep(PAUSE_MILLIS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  /** Sends the parts of a response with pauses between them. */
  private static void sendParts(Exchange exchange, List<String> parts) throws IOException {
    for (String part : parts) {
      exchange.send(part);
      pause();
    }
  }

  /** Guards against a late response within the body of the next one, which its caller received. */
  @Test
  void lateResponseWithinBodyIsNotForwarded() throws IOException {
    AtomicReference<String> late = new AtomicReference<>("");
    Script script =
        exchange ->
            sendParts(
                exchange,
                List.of(
                    exchange.head(200, "X-Signed: s\r\nContent-Length: " + OWN_BODY.length())
                        + OWN_BODY.substring(0, 100),
                    late.get(),
                    OWN_BODY.substring(100)));
    try (ForwardFixture fixture = ForwardFixture.unconfigured()) {
      fixture.configure(script);
      for (String response : LATE_RESPONSES) {
        late.set(response);
        int runs = fixture.receivedRequests();
        String received = fixture.call("/once/order", "");
        boolean own = received.endsWith("\r\n\r\n" + OWN_BODY);
        boolean failed = received.startsWith("HTTP/1.1 502 ");
        assertTrue(own || failed, response + " -> " + received);
        assertEquals(runs + 1, fixture.receivedRequests(), response);
      }
    }
  }

  /** Guards against the same in a stream that ends with its connection. */
  @Test
  void lateResponseWithinStreamIsNotForwarded() throws IOException {
    AtomicReference<String> late = new AtomicReference<>("");
    Script script =
        exchange -> {
          sendParts(
              exchange,
              List.of(exchange.head(200, "X-Signed: s") + OWN_EVENTS, late.get(), "id: 2\n\n"));
          exchange.connection().close();
        };
    try (ForwardFixture fixture = ForwardFixture.unconfigured()) {
      fixture.configure(script);
      for (String response : LATE_RESPONSES) {
        late.set(response);
        String received = fixture.call("/stream-once/prompt", "");
        assertTrue(!received.contains("late") && !received.contains("X-Not-Run"), received);
        assertTrue(!received.endsWith("0\r\n\r\n"), "looks complete: " + received);
      }
    }
  }

  /**
   * Guards against a request that waits until its deadline because the response to it is read as
   * the rest of a cut late one. An order must be refused at once as one that may have run.
   */
  @Test
  void orderBehindCutLateResponseIsRefusedBeforeDeadline() throws IOException {
    AtomicReference<String> late = new AtomicReference<>("");
    try (ForwardFixture fixture = ForwardFixture.unconfigured()) {
      fixture.configure(exchange -> respondAfter(late.get(), exchange));
      List<String> withBody =
          LATE_RESPONSES.stream()
              .filter(response -> !response.endsWith("Length: 0\r\n\r\n"))
              .toList();
      for (String response : withBody) {
        // Cut after the first byte of the body.
        late.set(response.substring(0, response.indexOf("\r\n\r\n") + 5));
        String received = fixture.call("/once/order", "");
        assertTrue(received.startsWith("HTTP/1.1 502 "), late.get() + " -> " + received);
      }
    }
  }

  /** Guards against the same for a request that may run again: another server responds to it. */
  @Test
  void repeatableRequestBehindCutLateResponseIsAnswered() throws IOException {
    String response = LATE_RESPONSES.getFirst();
    String cut = response.substring(0, response.length() - 2);
    try (ForwardFixture fixture =
        ForwardFixture.withServers(
            exchange -> respondAfter(cut, exchange), exchange -> exchange.respond(200, "sound"))) {
      String received = fixture.call("/repeatable/lookup", "");
      assertTrue(received.endsWith("\r\n\r\nsound"), received);
    }
  }

  private static void respondAfter(String late, Exchange exchange) throws IOException {
    exchange.send(late);
    pause();
    exchange.respond(200, OWN_BODY);
  }
}
