package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.stream.Stream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What callers receive if a server stops in the middle of the head of its response. */
class CutHeadContractTest {

  private static final String STREAM = "id: 0\ndata: e0\n\nid: 1\ndata: e1\n\n";

  /** How the server ends the connection. */
  private enum Ending {
    CLOSE,
    RESET
  }

  private static Stream<Arguments> framingsAndEndings() {
    return Stream.of("Content-Length: 5", "Transfer-Encoding: chunked", "X-Framing: none")
        .flatMap(
            framing -> Stream.of(Ending.values()).map(ending -> Arguments.of(framing, ending)));
  }

  /** Cuts the head of the first response to each request; the second response is whole. */
  private static Script cutFirst(String framing, Ending ending, Set<String> seen) {
    return exchange -> {
      String path = exchange.request().head().split(" ", 3)[1];
      if (!seen.add(path)) {
        respond(exchange, path);
        return;
      }
      String head = exchange.head(200, "X-Signed: s\r\n" + framing);
      exchange.send(head.substring(0, cutOf(path)));
      if (ending == Ending.CLOSE) {
        exchange.connection().close();
      } else {
        exchange.reset();
      }
    };
  }

  private static int cutOf(String path) {
    return Integer.parseInt(path.substring(path.lastIndexOf('/') + 1));
  }

  private static void respond(Exchange exchange, String path) throws IOException {
    if (path.startsWith("/stream")) {
      exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
      exchange.send(Exchange.chunk(STREAM) + "0\r\n\r\n");
    } else {
      exchange.respond(200, "whole");
    }
  }

  /**
   * Guards against giving a caller an empty or short response as a whole one, because its server
   * closed or reset the connection within the head, wherever that is.
   */
  @ParameterizedTest
  @MethodSource("framingsAndEndings")
  void responseWithCutHeadIsNoSuccess(String framing, Ending ending) throws IOException {
    int headLength =
        ("HTTP/1.1 200 X\r\nX-Request: r1\r\nX-Signed: s\r\n" + framing + "\r\n\r\n").length();
    Set<String> seen = ConcurrentHashMap.newKeySet();
    Script script = cutFirst(framing, ending, seen);
    try (ForwardFixture fixture = ForwardFixture.withServers(script, script)) {
      for (int cut = 0; cut < headLength; cut++) {
        for (String path : List.of("/once/", "/stream-once/")) {
          int received = fixture.receivedRequests();
          String response = fixture.call(path + cut, "");
          assertTrue(response.startsWith("HTTP/1.1 502 "), path + cut + ": " + response);
          assertTrue(response.contains("may_have_run"), response);
          assertEquals(received + 1, fixture.receivedRequests(), "sent again");
        }
        String call = fixture.call("/repeatable/" + cut, "");
        assertTrue(call.endsWith("\r\n\r\nwhole") || isFailure(call), cut + ": " + call);
        String stream = fixture.call("/stream/" + cut, "");
        boolean whole = stream.contains("data: e0") && stream.contains("data: e1");
        assertTrue(whole || isFailure(stream), cut + ": " + stream);
        assertFalse(!whole && stream.endsWith("0\r\n\r\n"), stream);
      }
    }
  }

  /** The shared retry budget may be used up. */
  private static boolean isFailure(String response) {
    return response.startsWith("HTTP/1.1 502 ");
  }
}
