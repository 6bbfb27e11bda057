package org.shallothold.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Guards against retries of all gateways together that exceed the limit of the service. */
class FleetRetryBudgetTest {

  private static final long WINDOW_MILLIS = 10_000;

  private static long granted(FleetRetryBudget budget, int gateways, long nowMillis) {
    return IntStream.range(0, 1_000).filter(i -> budget.tryRetry(gateways, nowMillis)).count();
  }

  /** Guards against shares that add up to more retries than the service allows. */
  @Test
  void sharesOfAllGatewaysStayWithinTheLimit() {
    long totalRetries =
        IntStream.range(0, 5)
            .mapToLong(
                gateway -> {
                  FleetRetryBudget budget = FleetRetryBudget.of(0.2, 56, WINDOW_MILLIS);
                  IntStream.range(0, 100).forEach(i -> budget.requestArrived(i));
                  return granted(budget, 5, 100);
                })
            .sum();
    assertTrue(totalRetries <= 0.2 * 500 + 56, "retries: " + totalRetries);
  }

  @Test
  void retriesAreAvailableAgainAfterTheWindow() {
    FleetRetryBudget budget = FleetRetryBudget.of(0, 10, WINDOW_MILLIS);
    assertEquals(7, granted(budget, 1, 0));
    assertFalse(budget.tryRetry(1, WINDOW_MILLIS - 1));
    assertEquals(7, granted(budget, 1, WINDOW_MILLIS));
  }

  /** Guards against a long outage of one server that uses up the budget of later requests. */
  @Test
  void moreRequestsAllowMoreRetries() {
    FleetRetryBudget budget = FleetRetryBudget.of(0.5, 0, WINDOW_MILLIS);
    assertFalse(budget.tryRetry(1, 0));
    IntStream.range(0, 10).forEach(i -> budget.requestArrived(1));
    assertTrue(budget.tryRetry(1, 2));
  }
}
