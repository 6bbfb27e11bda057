package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What callers receive whose requests have very many header lines. */
class RequestMemoryContractTest {

  private static final String LINE = "a:\r\n";
  private static final int LINES_WITHIN_BYTE_LIMIT = 4_000;
  private static final int LINES_ABOVE_LIMIT = 4_200;
  private static final int LINES_OF_LARGE_REQUEST = 1_000;
  // Room for one large request, and for some of the ordinary ones.
  private static final long SMALL_BUDGET = 400_000;
  private static final int ORDINARY_REQUESTS = 40;
  private static final long POLL_MILLIS = 5;

  private static final Script SOUND = exchange -> exchange.respond(200, "whole");

  /** Guards against a limit that a client inside the byte limits meets. */
  @Test
  void requestWithAsManyLinesAsTheByteLimitAllowsIsServed() throws IOException {
    try (ForwardFixture fixture = ForwardFixture.withServers(SOUND, SOUND)) {
      String response = fixture.call("/once/x", LINE.repeat(LINES_WITHIN_BYTE_LIMIT));
      assertTrue(response.startsWith("HTTP/1.1 200 "), response);
      assertEquals(0, fixture.requestMemoryBytes());
    }
  }

  @Test
  void requestWithMoreLinesIsRefusedAsNotRun() throws IOException {
    try (ForwardFixture fixture = ForwardFixture.withServers(SOUND, SOUND)) {
      String response = fixture.call("/once/x", LINE.repeat(LINES_ABOVE_LIMIT));
      assertTrue(response.startsWith("HTTP/1.1 431 "), response);
      assertTrue(response.contains("headers_too_large"), response);
      assertEquals(0, fixture.receivedRequests());
    }
  }

  /**
   * Guards against refusing ordinary callers because a large request holds the memory, and against
   * telling the caller of a request that was sent that it was not run.
   */
  @Test
  void largeRequestThatWasSentMakesRoomForOrdinaryOnes() throws Exception {
    CountDownLatch largeEnded = new CountDownLatch(1);
    Script script =
        exchange -> {
          try {
            largeEnded.await();
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
          exchange.respond(200, "whole");
        };
    ForwardFixture.Limits limits = ForwardFixture.Limits.defaults().withBufferBytes(SMALL_BUDGET);
    try (ForwardFixture fixture = ForwardFixture.withLimits(limits, script, script);
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      Future<String> large =
          callers.submit(() -> fixture.call("/once/x", LINE.repeat(LINES_OF_LARGE_REQUEST)));
      while (fixture.receivedRequests() == 0) {
        Thread.sleep(POLL_MILLIS);
      }
      List<Future<String>> ordinary = new ArrayList<>();
      for (int i = 0; i < ORDINARY_REQUESTS; i++) {
        ordinary.add(callers.submit(() -> fixture.call("/once/x", "")));
      }
      String response = large.get();
      largeEnded.countDown();
      assertTrue(response.startsWith("HTTP/1.1 502 "), response);
      assertTrue(response.contains("memory_full"), response);
      assertTrue(response.contains("may_have_run"), response);
      for (Future<String> answer : ordinary) {
        assertTrue(answer.get().startsWith("HTTP/1.1 200 "), answer.get());
      }
    }
  }
}
