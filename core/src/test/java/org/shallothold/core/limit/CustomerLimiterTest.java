package org.shallothold.core.limit;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards against a customer that gets more than its limit, or that is refused below it. */
class CustomerLimiterTest {

  private static final String CUSTOMER = "miller";

  private static CustomerLimiter limiter(double perSecond, int gateways) {
    CustomerLimiter limiter = CustomerLimiter.create();
    limiter.limits(Map.of(CUSTOMER, perSecond), 0);
    limiter.gateways(gateways, 0);
    return limiter;
  }

  /** Returns the requests granted when one arrives each millisecond of a span. */
  private static long granted(CustomerLimiter limiter, long fromMillis, long toMillis) {
    return LongStream.range(fromMillis, toMillis)
        .filter(now -> limiter.tryAcquire(CUSTOMER, now) == 0)
        .count();
  }

  @ParameterizedTest(name = "limit {0}/s over {1} gateways, {2} ms after {3} idle ms: {4}")
  @CsvSource({
    "100, 1,  1,     0,     0", // starts empty
    "100, 1,  1000,  0,     99",
    "100, 4,  10000, 0,     249",
    "100, 1,  1,     60000, 1",
    "100, 1,  1000,  60000, 199", // a burst of one second's share at most
    "1,   10, 60000, 0,     5", // a share below one a second is still granted
  })
  void grantsItsShareWithABoundedBurst(
      double perSecond, int gateways, long spanMillis, long idleMillis, long expected) {
    CustomerLimiter limiter = limiter(perSecond, gateways);
    assertEquals(expected, granted(limiter, idleMillis, idleMillis + spanMillis));
  }

  @Test
  void refusalSaysWhenTheNextRequestIsGranted() {
    CustomerLimiter limiter = limiter(4, 2);
    long wait = limiter.tryAcquire(CUSTOMER, 100);
    assertEquals(400, wait);
    assertTrue(limiter.tryAcquire(CUSTOMER, 100 + wait - 1) > 0);
    assertEquals(0, limiter.tryAcquire(CUSTOMER, 100 + wait));
  }

  @Test
  void loweredLimitTakesAwayWhatWasSaved() {
    CustomerLimiter limiter = limiter(100, 1);
    limiter.limits(Map.of(CUSTOMER, 2.0), 5_000);
    assertEquals(2, granted(limiter, 5_000, 5_400));
  }

  @Test
  void removedCustomerGetsNothing() {
    CustomerLimiter limiter = limiter(100, 1);
    limiter.limits(Map.of(), 5_000);
    assertTrue(limiter.tryAcquire(CUSTOMER, 5_000) > 0);
  }

  /**
   * Measures the error of a membership list that lags by a minute while the number of gateways
   * changes from {@code before} to {@code after}; all gateways are saturated. The first row's
   * figure is in docs/decisions/0012-customer-limits.md.
   */
  @ParameterizedTest(name = "{0} to {1} gateways: {2} times the limit while stale, {3} after")
  @CsvSource({"3, 4, 1.33, 1.00", "4, 3, 0.75, 1.00", "3, 2, 0.67, 1.00", "10, 20, 2.00, 1.00"})
  void errorOfAStaleListIsTheRatioOfTheCounts(
      int before, int after, double whileStale, double afterwards) {
    double limit = 600;
    long lagMillis = 60_000;
    long stale = 0;
    long fresh = 0;
    for (int gateway = 0; gateway < after; gateway++) {
      CustomerLimiter limiter = limiter(limit, before);
      // What a gateway saved up before is no part of the error.
      granted(limiter, 0, 5_000);
      stale += granted(limiter, 5_000, 5_000 + lagMillis);
      limiter.gateways(after, 5_000 + lagMillis);
      fresh += granted(limiter, 5_000 + lagMillis, 5_000 + 2 * lagMillis);
    }
    double expected = limit * lagMillis / 1_000;
    System.out.printf(
        "customer limit, %d gateways counted as %d: %.3f while stale, %.3f after%n",
        after, before, stale / expected, fresh / expected);
    assertEquals(whileStale, stale / expected, 0.01);
    assertEquals(afterwards, fresh / expected, 0.01);
  }
}
