package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.shallothold.core.placement.PrefillPace;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;

/** Which streams that can't be resumed are started while engines are busy with prefills. */
class StreamAdmissionContractTest {

  private static final int EVENTS = 14;
  // Takes twice the time in which peers send their state.
  private static final int SLOW_EVENTS = 28;
  private static final long MAX_WAIT_MILLIS = 5_000;
  // Longer than the time in which a gateway measures the gaps of one engine only once.
  private static final long EVENT_INTERVAL_MILLIS = 45;
  private static final long LONG_PREFILL_MILLIS = 700;
  private static final String SHORT_PROMPT = "X-Tokens: 300\r\nX-Parts: a\r\n";
  private static final String LONG_PROMPT = "X-Tokens: 30000\r\nX-Parts: b\r\n";
  // Takes far longer than the deadline of 1.5 s.
  private static final String LONG_OUTPUT = "X-Output: 4000\r\nX-Max-Output: 4000\r\n";

  /** Answers with a stream; prompts of the path {@code /stream-once/long} are prefilled slowly. */
  private static void answer(Exchange exchange) throws IOException {
    boolean longPrompt = exchange.request().head().contains("/long ");
    exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
    pause(longPrompt ? LONG_PREFILL_MILLIS : 10);
    boolean slow = exchange.request().head().contains("/slow ");
    for (int id = 0; id < (longPrompt ? 2 : slow ? SLOW_EVENTS : EVENTS); id++) {
      exchange.send(Exchange.chunk("id: " + id + "\ndata: text\n\n"));
      pause(EVENT_INTERVAL_MILLIS);
    }
    exchange.send("0\r\n\r\n");
  }

  private static void pause(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }

  private static Supplier<String> call(ForwardFixture fixture, String path, String headers) {
    return () -> {
      try {
        return fixture.call(path, headers);
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    };
  }

  private static void awaitRequests(ForwardFixture fixture, int count) {
    awaitTrue("requests at servers", () -> fixture.receivedRequests() >= count);
  }

  private static void awaitTrue(String what, BooleanSupplier condition) {
    long endMillis = MonotonicClock.millis() + MAX_WAIT_MILLIS;
    while (!condition.getAsBoolean()) {
      assertTrue(MonotonicClock.millis() < endMillis, what);
      pause(5);
    }
  }

  /** Guards against streams that run at busy engines until their deadlines cut them. */
  @Test
  void streamThatCannotFinishIsRefusedWhileEnginesAreBusyAndSentInCalm() throws IOException {
    try (ForwardFixture fixture =
        ForwardFixture.withEngines(
            1, StreamAdmissionContractTest::answer, StreamAdmissionContractTest::answer)) {
      // Measures the duration of a decode step.
      assertTrue(fixture.call("/stream-once/x", SHORT_PROMPT).contains("id: " + (EVENTS - 1)));
      List<CompletableFuture<String>> prefills =
          Stream.of(0, 1)
              .map(
                  number -> {
                    CompletableFuture<String> response =
                        CompletableFuture.supplyAsync(
                            call(fixture, "/stream-once/long", LONG_PROMPT));
                    awaitRequests(fixture, 2 + number);
                    return response;
                  })
              .toList();
      String refused = fixture.call("/stream-once/x", SHORT_PROMPT + LONG_OUTPUT);
      assertTrue(refused.startsWith("HTTP/1.1 503"), refused);
      assertTrue(refused.contains("cannot_finish"), refused);
      assertTrue(refused.toLowerCase(Locale.ROOT).contains("retry-after"), refused);
      assertEquals(3, fixture.receivedRequests());
      prefills.forEach(prefill -> assertTrue(prefill.join().contains("id: 1"), prefill.join()));
      assertTrue(
          fixture.call("/stream-once/x", SHORT_PROMPT + LONG_OUTPUT).startsWith("HTTP/1.1 200"));
    }
  }

  /** Guards against gateways that slow an engine's prefills only for their own streams. */
  @Test
  void peersSlowPrefillsForAStream() throws IOException {
    try (ForwardFixture fixture =
        ForwardFixture.withEngines(
            2, StreamAdmissionContractTest::answer, StreamAdmissionContractTest::answer)) {
      assertTrue(fixture.call(0, "/stream-once/x", SHORT_PROMPT).startsWith("HTTP/1.1 200"));
      assertTrue(fixture.call(1, "/stream-once/x", SHORT_PROMPT).startsWith("HTTP/1.1 200"));
      assertEquals(PrefillPace.MAX_SHARE, fixture.lowestPrefillShare(1));
      CompletableFuture<String> stream =
          CompletableFuture.supplyAsync(
              call(fixture, "/stream-once/slow", SHORT_PROMPT + "X-Output: 40\r\n"));
      awaitTrue("slowed", () -> fixture.lowestPrefillShare(1) < PrefillPace.MAX_SHARE);
      assertTrue(stream.join().contains("id: 1"), stream.join());
      awaitTrue("usual", () -> fixture.lowestPrefillShare(1) == PrefillPace.MAX_SHARE);
    }
  }

  /** Guards against refusals by an estimate of a decode step that nothing has measured. */
  @Test
  void beforeADecodeStepWasMeasuredNoStreamIsRefusedForItsLength() throws IOException {
    try (ForwardFixture fixture =
        ForwardFixture.withEngines(
            1, StreamAdmissionContractTest::answer, StreamAdmissionContractTest::answer)) {
      CompletableFuture<String> prefill =
          CompletableFuture.supplyAsync(call(fixture, "/stream-once/long", LONG_PROMPT));
      awaitRequests(fixture, 1);
      String response = fixture.call("/stream-once/x", SHORT_PROMPT + LONG_OUTPUT);
      assertTrue(response.startsWith("HTTP/1.1 200"), response);
      assertTrue(prefill.join().contains("id: 1"), prefill.join());
    }
  }
}
