package org.shallothold.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.http.HttpResponse;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.VerdictKind;

/**
 * Guards against answers with duplicate tokens, missing tokens or tokens of another request,
 * against truncated answers reported as complete, and against a false "not run" verdict (G3, G4).
 */
class CompletionContractTest {

  private final GatewayFixture fixture = new GatewayFixture();

  @AfterEach
  void close() {
    fixture.close();
  }

  /**
   * Scripts for the first and later submissions to two engines, and the answer that the caller
   * gets. The text is that of a streamed answer; an unstreamed answer has it only if it is
   * complete.
   */
  @ParameterizedTest(name = "{0} then {1}")
  @CsvSource({
    "WHOLE,         SILENT,       200, abcdef, true,  '',              '',           1",
    "DOUBLED,       SILENT,       200, abcdef, true,  '',              '',           1",
    "WRONG_ATTEMPT, SILENT,       200, abcdef, true,  '',              '',           1",
    "GAP,           WHOLE,        200, abcdef, true,  '',              '',           2",
    "CUT,           WHOLE,        200, abcdef, true,  '',              '',           2",
    "BROKEN,        WHOLE,        200, abcdef, true,  '',              '',           2",
    "SHORT_COUNT,   WHOLE,        200, abcdef, true,  '',              '',           2",
    "ACK_LOST,      WHOLE,        200, abcdef, true,  '',              '',           2",
    "STALLED,       WHOLE,        200, abcdef, true,  '',              '',           2",
    "STARTED_ONLY,  WHOLE,        200, abcdef, true,  '',              '',           2",
    "SILENT,        WHOLE,        200, abcdef, true,  '',              '',           2",
    "FULL,          WHOLE,        200, abcdef, true,  '',              '',           2",
    "MAY_HAVE_RUN,  WHOLE,        200, abcdef, true,  '',              '',           2",
    "FULL,          FULL_SOONER,  503, '',     false, queue_full,      not_run,      2",
    "ACK_LOST,      FULL,         503, '',     false, queue_full,      may_have_run, 2",
    "ACK_LOST,      ACK_LOST,     502, '',     false, connection_lost, may_have_run, 2",
    "MAY_HAVE_RUN,  MAY_HAVE_RUN, 502, '',     false, backend_failed,  may_have_run, 2",
    "BROKEN,        FULL,         503, ab,     false, queue_full,      may_have_run, 2",
    "CUT,           BROKEN,       502, ab,     false, backend_failed,  may_have_run, 2",
  })
  void callerSeesItsOwnAnswerOrATrueRefusal(
      Play first,
      Play second,
      int status,
      String text,
      boolean done,
      String code,
      String verdict,
      int attempts) {
    fixture.engine("engine-1");
    fixture.engine("engine-2");
    fixture.start();
    for (boolean stream : new boolean[] {true, false}) {
      fixture.arrivals.clear();
      fixture.script(first);
      fixture.script(second);
      HttpResponse<String> response = fixture.join(fixture.complete(stream));
      SeenAnswer seen = SeenAnswer.of(response);
      boolean shown = stream && !text.isEmpty();
      assertEquals(
          new SeenAnswer(shown ? 200 : status, stream || done ? text : "", done, code, verdict),
          seen);
      assertEquals(attempts, fixture.arrivals.size(), "attempts");
      assertEquals(
          attempts,
          fixture.arrivals.stream().map(arrival -> arrival.sidecar().serverId()).distinct().count(),
          "each attempt at another server");
      assertTrue(response.headers().firstValue("Shallothold-Request-Id").isPresent());
      if (!done && !shown) {
        assertEquals(verdict, response.headers().firstValue("Shallothold-Verdict").orElse(""));
        assertTrue(
            response.headers().firstValueAsLong("Retry-After").orElse(0)
                >= (verdict.equals("not_run") ? 1 : 0));
      }
      fixture.script.clear();
      reconnected();
    }
  }

  private void reconnected() {
    GatewayFixture.await(
        "connected again", () -> fixture.connectedServers() == fixture.servers.size());
  }

  @Test
  void refusalCarriesTheBestRetryAfter() {
    fixture.engine("engine-1");
    fixture.engine("engine-2");
    fixture.start();
    fixture.script(Play.FULL);
    fixture.script(Play.FULL_SOONER);
    assertEquals(
        2,
        fixture.join(fixture.complete(false)).headers().firstValueAsLong("Retry-After").orElse(0));
  }

  @Test
  void resumedAttemptCarriesTheTokensSoFar() {
    fixture.engine("engine-1");
    fixture.engine("engine-2");
    fixture.start();
    fixture.script(Play.CUT);
    fixture.join(fixture.complete(true));
    assertEquals(
        List.of("a", "b"), fixture.arrivals.get(1).submit().getCompletion().getResumeTokensList());
  }

  @Test
  void interleavedAnswersReachTheirOwnCallers() {
    fixture.engine("engine-1");
    fixture.start();
    fixture.script(arrival -> {});
    fixture.script(
        second -> {
          var first = fixture.arrivals.get(0);
          second.started();
          first.started();
          second.tokens(0, "xy");
          first.tokens(0, "ab");
          second.tokens(2, "z");
          second.finished(FinishKind.FINISH_KIND_COMPLETE, 3);
          first.tokens(2, "c");
          first.finished(FinishKind.FINISH_KIND_COMPLETE, 3);
        });
    CompletableFuture<HttpResponse<String>> first = fixture.complete(true);
    GatewayFixture.await("first arrived", () -> fixture.arrivals.size() == 1);
    CompletableFuture<HttpResponse<String>> second = fixture.complete(false);
    assertEquals("abc", SeenAnswer.of(fixture.join(first)).text());
    assertEquals("xyz", SeenAnswer.of(fixture.join(second)).text());
  }

  @Test
  void framesOfAnOldConnectionAreIgnored() {
    FakeSidecar one = fixture.engine("engine-1");
    FakeSidecar two = fixture.engine("engine-2");
    fixture.start();
    fixture.script(Play.CUT);
    fixture.script(second -> second.started());
    CompletableFuture<HttpResponse<String>> answer = fixture.complete(true);
    GatewayFixture.await("second attempt", () -> fixture.arrivals.size() == 2);
    reconnected();
    var lost = fixture.arrivals.get(0);
    FakeSidecar sidecar = lost.sidecar() == one ? one : two;
    GatewayFixture.await("new connection", () -> !sidecar.connections.isEmpty());
    PeerConnection fresh = sidecar.connections.getLast();
    lost.over(fresh).tokens(2, "XX");
    lost.over(fresh).finished(FinishKind.FINISH_KIND_COMPLETE, 4);
    var current = fixture.arrivals.get(1);
    current.over(fresh).tokens(2, "YY");
    current.tokens(2, "cdef");
    current.finished(FinishKind.FINISH_KIND_COMPLETE, 6);
    assertEquals(Play.ANSWER, SeenAnswer.of(fixture.join(answer)).text());
  }

  @Test
  void retriesStopAtTheBudget() {
    fixture.setting("retry.budget_percent", "0");
    fixture.setting("retry.budget_floor_per_second", "0");
    fixture.engine("engine-1");
    fixture.engine("engine-2");
    fixture.start();
    fixture.script(Play.BROKEN);
    SeenAnswer seen = SeenAnswer.of(fixture.join(fixture.complete(true)));
    assertEquals(new SeenAnswer(200, "ab", false, "backend_failed", "may_have_run"), seen);
    assertEquals(1, fixture.arrivals.size());
  }

  /** Each row: the sidecar's reply to the cancel of a request past its deadline. */
  @ParameterizedTest(name = "{0}, cancel answered with {1}")
  @CsvSource({
    "SILENT,       not_run,  not_run",
    "SILENT,       silence,  may_have_run",
    "SILENT,       finished, may_have_run",
    "STARTED_ONLY, not_run,  may_have_run",
  })
  void deadlineIsAnsweredWithTheTrueVerdict(Play play, String reply, String verdict) {
    FakeSidecar engine = fixture.engine("engine-1");
    engine.onCancel =
        arrival -> {
          switch (reply) {
            case "not_run" -> arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "cancelled", 0);
            case "finished" -> arrival.finished(FinishKind.FINISH_KIND_CANCELLED, 0);
            default -> {}
          }
        };
    // Allows time for a sidecar that replies on a busy machine; the wait for a silent one is short.
    fixture.setting("verdict.wait_ms", reply.equals("silence") ? "100" : "30000");
    fixture.start();
    fixture.script(play);
    SeenAnswer seen =
        SeenAnswer.of(fixture.join(fixture.complete(false, "Shallothold-Deadline-Ms", "50")));
    assertEquals(new SeenAnswer(504, "", false, "deadline", verdict), seen);
    // If "not run" is ruled out, the answer does not wait for the cancel to arrive.
    GatewayFixture.await("cancel", () -> engine.count(Envelope.MessageCase.CANCEL) > 0);
    assertEquals(1, engine.count(Envelope.MessageCase.CANCEL));
  }

  @ParameterizedTest
  @EnumSource(names = {"SILENT", "STARTED_ONLY", "STALLED"})
  void goneCallerIsCancelledAtOnce(Play play) {
    FakeSidecar engine = fixture.engine("engine-1");
    fixture.start();
    fixture.script(play);
    CompletableFuture<HttpResponse<String>> answer = fixture.complete(false);
    GatewayFixture.await("arrived", () -> fixture.arrivals.size() == 1);
    fixture.client.shutdownNow();
    GatewayFixture.await("cancelled", () -> engine.count(Envelope.MessageCase.CANCEL) == 1);
    GatewayFixture.await("the caller's own client notices", answer::isCompletedExceptionally);
    assertFalse(fixture.arrivals.size() > 1);
  }

  @Test
  void higherTierDisplacesALowerTierInAFullGateway() {
    fixture.setting("http.max_in_flight", "2");
    FakeSidecar engine = fixture.engine("engine-1");
    engine.onCancel = arrival -> arrival.refused(VerdictKind.VERDICT_KIND_NOT_RUN, "cancelled", 0);
    fixture.start();
    fixture.script(Play.SILENT);
    fixture.script(Play.SILENT);
    fixture.script(Play.SILENT);
    var oldest = fixture.complete(false, "Shallothold-Class", "batch");
    GatewayFixture.await("first", () -> fixture.arrivals.size() == 1);
    var latest = fixture.complete(false, "Shallothold-Class", "batch");
    GatewayFixture.await("second", () -> fixture.arrivals.size() == 2);
    // The first request of a class is admitted beyond the limit, so the second one must displace.
    var higher = fixture.complete(false);
    GatewayFixture.await("third", () -> fixture.arrivals.size() == 3);
    assertEquals("abcdef", SeenAnswer.of(fixture.join(fixture.complete(false))).text());
    assertEquals(
        new SeenAnswer(503, "", false, "displaced", "not_run"),
        SeenAnswer.of(fixture.join(latest)));
    assertFalse(oldest.isDone());
    assertFalse(higher.isDone());
    assertEquals(
        "queue_full",
        SeenAnswer.of(fixture.join(fixture.complete(false, "Shallothold-Class", "batch"))).code());
  }

  @Test
  void requestOfACallerThatDoesNotReadIsCancelled() throws IOException {
    FakeSidecar engine = fixture.engine("engine-1");
    fixture.start();
    fixture.script(
        arrival -> {
          arrival.started();
          // Each character takes six bytes in JSON, so the tokens exceed all socket buffers.
          for (int offset = 0; offset < 1_900_000; offset += 10_000) {
            arrival.tokens(offset, "\u0001".repeat(10_000));
          }
        });
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(4_096);
      socket.connect(
          new InetSocketAddress(InetAddress.getLoopbackAddress(), fixture.gateway().httpPort()));
      String body =
          "{\"model\":\"m\",\"stream\":true,\"messages\":[{\"role\":\"user\",\"content\":\"q\"}]}";
      socket
          .getOutputStream()
          .write(
              ("POST /v1/chat/completions HTTP/1.1\r\nHost: x\r\nAuthorization: Bearer "
                      + GatewayFixture.KEY
                      + "\r\nContent-Length: "
                      + body.length()
                      + "\r\n\r\n"
                      + body)
                  .getBytes(StandardCharsets.UTF_8));
      GatewayFixture.await("cancelled", () -> engine.count(Envelope.MessageCase.CANCEL) == 1);
      assertEquals(1, fixture.metric("refusals_total", "cancelled", "may_have_run"));
    }
  }

  @Test
  void customerOverItsLimitGetsARetryAfter() {
    fixture.requestsPerSecond = 0.01;
    fixture.engine("engine-1");
    fixture.start();
    HttpResponse<String> response = fixture.join(fixture.complete(false));
    assertEquals(
        new SeenAnswer(429, "", false, "customer_limit", "not_run"), SeenAnswer.of(response));
    long retryAfter = response.headers().firstValueAsLong("Retry-After").orElse(0);
    assertTrue(retryAfter > 1 && retryAfter <= 100, "retry after " + retryAfter);
    assertEquals(0, fixture.arrivals.size());
  }
}
