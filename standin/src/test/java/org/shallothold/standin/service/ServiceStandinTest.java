package org.shallothold.standin.service;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.nio.file.Path;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;
import org.shallothold.standin.StandinClient;

/** Guards the counts of orders, on which the verdicts of the experiments rest. */
@Timeout(60)
class ServiceStandinTest {

  private final CountDownLatch crashed = new CountDownLatch(1);
  private StandinClient service;

  @BeforeEach
  void start() {
    service = start(new String[0]);
  }

  @AfterEach
  void stop() {
    service.close();
  }

  private StandinClient start(String... arguments) {
    return StandinClient.start(
        ServiceStandin.OPTIONS,
        (parsed, loop) -> ServiceStandin.create(parsed, loop, crashed::countDown),
        arguments);
  }

  private static int order(StandinClient service, String key) {
    return service.post("/orders", "{}", "Idempotency-Key", key).status();
  }

  private static String ledger(StandinClient service) {
    return service.get("/ledger").body().toString();
  }

  @Nested
  class Orders {

    @Test
    void eachArrivalIsCountedAlsoOfAKnownKey() {
      order(service, "k1");
      order(service, "k1");
      service.post("/orders/dispatch", "{}", "Idempotency-Key", "k2");
      assertEquals("{\"orders\":{\"k1\":2,\"k2\":1}}", ledger(service));
    }

    @Test
    void orderWithoutKeyIsCounted() {
      service.post("/orders", "{}");
      assertEquals("{\"orders\":{\"\":1}}", ledger(service));
    }

    @Test
    void countsOutliveTheProcessWithALedgerFile(@TempDir Path directory) {
      String file = directory.resolve("ledger.txt").toString();
      try (StandinClient first = start("--ledger", file)) {
        order(first, "k1");
      }
      try (StandinClient second = start("--ledger", file)) {
        order(second, "k1");
        assertEquals("{\"orders\":{\"k1\":2}}", ledger(second));
      }
    }
  }

  @Nested
  class OtherCalls {

    @Test
    void lookupIsNoOrder() {
      assertEquals(
          service.get("/stock/flour").body().path("in_stock").asInt(),
          service.get("/stock/flour").body().path("in_stock").asInt());
      assertEquals("{\"orders\":{}}", ledger(service));
    }

    @Test
    void anyMethodAndPathIsAnswered() {
      assertEquals("DELETE", service.call("DELETE", "/a/b", "").body().path("method").asText());
      service.call("PUT", "/orders/1", "{}");
      service.post("/ordersheet", "{}");
      assertEquals("{\"orders\":{}}", ledger(service));
    }
  }

  @Nested
  class Faults {

    @Test
    void crashBeforeActingLeavesTheOrderUncounted() throws InterruptedException {
      service.post("/faults", "{\"crash_before_acting\": true}");
      var answer = service.postLater("/orders", "{}", "Idempotency-Key", "k1");
      crashed.await();
      assertEquals("{\"orders\":{}}", ledger(service));
      assertFalse(answer.isDone());
    }

    @Test
    void crashAfterActingCountsTheOrderWithoutAnAnswer() throws InterruptedException {
      service.post("/faults", "{\"crash_after_acting\": true}");
      var answer = service.postLater("/orders", "{}", "Idempotency-Key", "k1");
      crashed.await();
      assertEquals("{\"orders\":{\"k1\":1}}", ledger(service));
      assertFalse(answer.isDone());
    }

    @Test
    void orderIsActedOnOnlyAfterTheDelay() {
      service.post("/faults", "{\"delay_ms\": 600000}");
      var answer = service.postLater("/orders", "{}", "Idempotency-Key", "k1");
      assertEquals("{\"orders\":{}}", ledger(service));
      assertFalse(answer.isDone());
      service.post("/faults", "{\"delay_ms\": 1}");
      assertEquals(200, order(service, "k2"));
    }

    @Test
    void frozenServiceAnswersOnceItResumes() {
      assertEquals(200, service.post("/faults", "{\"freeze_ms\": 50}").status());
      assertEquals(200, order(service, "k1"));
    }
  }
}
