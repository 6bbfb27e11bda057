package org.shallothold.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against more retries than the percentage of requests plus the constant rate. */
class RetryBudgetTest {

  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "start holds ten seconds of the floor,  10, 1, 0,      0,      10",
    "share of the requests,                 10, 0, 200,    0,      20",
    "floor without requests,                10, 1, 0,      5000,   15",
    "share and floor,                       10, 1, 100,    5000,   25",
    "bounded after many requests,           10, 1, 100000, 0,      100",
    "bounded after a long idle time,        10, 1, 0,      900000, 100",
    "no budget at all,                      0,  0, 1000,   900000, 0",
    "backward clock adds nothing,            10, 1, 0,      -5000,  10",
  })
  void grantsNoMoreThanItsBalance(
      String name, int percent, int floor, int requests, long elapsedMillis, long granted) {
    RetryBudget budget = RetryBudget.of(percent, floor, 1_000_000);
    IntStream.range(0, requests).forEach(request -> budget.requestArrived());
    long taken =
        IntStream.range(0, 500)
            .filter(retry -> budget.tryWithdraw(1_000_000 + elapsedMillis))
            .count();
    assertEquals(granted, taken);
  }
}
