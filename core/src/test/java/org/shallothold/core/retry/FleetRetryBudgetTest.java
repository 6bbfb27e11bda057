package org.shallothold.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** Repeats of all gateways together stay within the service's limit. */
class FleetRetryBudgetTest {

  private static final long WINDOW_MILLIS = 10_000;

  private static long granted(FleetRetryBudget budget, int gateways, long nowMillis) {
    return IntStream.range(0, 1_000).filter(i -> budget.tryRepeat(gateways, nowMillis)).count();
  }

  /** Guards against gateways that together send more repeats than the service allows. */
  @Test
  void sharesOfAllGatewaysStayBelowTheLimit() {
    long all =
        IntStream.range(0, 5)
            .mapToLong(
                gateway -> {
                  FleetRetryBudget budget = FleetRetryBudget.of(0.2, 56, WINDOW_MILLIS);
                  IntStream.range(0, 100).forEach(i -> budget.requestArrived(i));
                  return granted(budget, 5, 100);
                })
            .sum();
    assertTrue(all <= 0.2 * 500 + 56, "repeats: " + all);
  }

  @Test
  void repeatsBecomeFreeWhenTheWindowHasPassed() {
    FleetRetryBudget budget = FleetRetryBudget.of(0, 10, WINDOW_MILLIS);
    assertEquals(7, granted(budget, 1, 0));
    assertFalse(budget.tryRepeat(1, WINDOW_MILLIS - 1));
    assertEquals(7, granted(budget, 1, WINDOW_MILLIS));
  }

  /** Guards against a long outage of one server using up the budget of requests to come. */
  @Test
  void moreRequestsAllowMoreRepeats() {
    FleetRetryBudget budget = FleetRetryBudget.of(0.5, 0, WINDOW_MILLIS);
    assertFalse(budget.tryRepeat(1, 0));
    IntStream.range(0, 10).forEach(i -> budget.requestArrived(1));
    assertTrue(budget.tryRepeat(1, 2));
  }
}
