package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Calls of a plain service while the slots of its servers are taken. */
class PlainQueueContractTest {

  // Slots of the two servers of the fixture.
  private static final int SLOTS = 12;
  private static final int CALLS = 30;
  private static final int ANSWERS_FOR_ESTIMATE = 8;
  private static final long ANSWER_MILLIS = 150;

  private final AtomicInteger running = new AtomicInteger();
  private final AtomicInteger mostRunning = new AtomicInteger();

  private void answerSlowly(ScriptedServer.Exchange exchange) throws IOException {
    mostRunning.accumulateAndGet(running.incrementAndGet(), Math::max);
    try {
      Thread.sleep(ANSWER_MILLIS);
    } catch (InterruptedException e) {
      throw new IOException(e);
    } finally {
      running.decrementAndGet();
    }
    exchange.respond(200, "whole");
  }

  /** Guards against a burst that fills the servers, so that urgent calls wait behind others. */
  @Test
  void burstWaitsInTheGatewayAndIsAnswered() throws IOException {
    try (ForwardFixture fixture =
            ForwardFixture.withServers(this::answerSlowly, this::answerSlowly);
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      IntStream.range(0, ANSWERS_FOR_ESTIMATE).forEach(number -> call(fixture));
      List<CompletableFuture<String>> responses =
          IntStream.range(0, CALLS)
              .mapToObj(number -> CompletableFuture.supplyAsync(() -> call(fixture), callers))
              .toList();
      responses.forEach(
          response -> assertTrue(response.join().startsWith("HTTP/1.1 200"), response.join()));
      assertEquals(ANSWERS_FOR_ESTIMATE + CALLS, fixture.receivedRequests());
      assertTrue(mostRunning.get() <= SLOTS, "calls at servers: " + mostRunning.get());
    }
  }

  private static String call(ForwardFixture fixture) {
    try {
      return fixture.call("/once/x", "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
