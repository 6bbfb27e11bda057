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
    limiter.setLimits(Map.of(CUSTOMER, perSecond), 0);
    limiter.setGatewayCount(gateways, 0);
    return limiter;
  }

  /** Returns the number of requests granted when one arrives in each millisecond of a time span. */
  private static long granted(CustomerLimiter limiter, long fromMillis, long toMillis) {
    return LongStream.range(fromMillis, toMillis)
        .filter(now -> limiter.tryAcquire(CUSTOMER, now) == 0)
        .count();
  }

  @ParameterizedTest(name = "limit {0}/s over {1} gateways, {2} ms after {3} idle ms: {4}")
  @CsvSource({
    "100, 1,  1,     0,     0", // a new bucket is empty
    "100, 1,  1000,  0,     99",
    "100, 4,  10000, 0,     249",
    "100, 1,  1,     60000, 1",
    "100, 1,  1000,  60000, 199", // the burst is at most one second of the share
    "1,   10, 60000, 0,     5", // a share below one request per second is granted
  })
  void grantsShareWithBoundedBurst(
      double perSecond, int gateways, long spanMillis, long idleMillis, long expected) {
    CustomerLimiter limiter = limiter(perSecond, gateways);
    assertEquals(expected, granted(limiter, idleMillis, idleMillis + spanMillis));
  }

  @Test
  void refusalSaysWhenTheNextRequestIsGranted() {
    CustomerLimiter limiter = limiter(4, 2);
    long waitMillis = limiter.tryAcquire(CUSTOMER, 100);
    assertEquals(400, waitMillis);
    assertTrue(limiter.tryAcquire(CUSTOMER, 100 + waitMillis - 1) > 0);
    assertEquals(0, limiter.tryAcquire(CUSTOMER, 100 + waitMillis));
  }

  @Test
  void loweredLimitReducesTheBucket() {
    CustomerLimiter limiter = limiter(100, 1);
    limiter.setLimits(Map.of(CUSTOMER, 2.0), 5_000);
    assertEquals(2, granted(limiter, 5_000, 5_400));
  }

  @Test
  void removedCustomerGetsNothing() {
    CustomerLimiter limiter = limiter(100, 1);
    limiter.setLimits(Map.of(), 5_000);
    assertTrue(limiter.tryAcquire(CUSTOMER, 5_000) > 0);
  }

  /**
   * Measures how far a limit is exceeded or undercut while the membership list lags by a minute
   * behind a change of the number of gateways from {@code before} to {@code after}. All gateways
   * are saturated. docs/decisions/0012-customer-limits.md quotes the figure of the first row.
   */
  @ParameterizedTest(name = "{0} to {1} gateways: {2} times the limit while stale, {3} after")
  @CsvSource({"3, 4, 1.33, 1.00", "4, 3, 0.75, 1.00", "3, 2, 0.67, 1.00", "10, 20, 2.00, 1.00"})
  void errorOfStaleMembershipIsTheRatioOfGatewayCounts(
      int before, int after, double whileStale, double afterwards) {
    double limit = 600;
    long lagMillis = 60_000;
    long staleGranted = 0;
    long freshGranted = 0;
    for (int gateway = 0; gateway < after; gateway++) {
      CustomerLimiter limiter = limiter(limit, before);
      // Empties the bucket, whose content is not part of the error.
      granted(limiter, 0, 5_000);
      staleGranted += granted(limiter, 5_000, 5_000 + lagMillis);
      limiter.setGatewayCount(after, 5_000 + lagMillis);
      freshGranted += granted(limiter, 5_000 + lagMillis, 5_000 + 2 * lagMillis);
    }
    double expected = limit * lagMillis / 1_000;
    System.out.printf(
        "customer limit, %d gateways counted as %d: %.3f while stale, %.3f after%n",
        after, before, staleGranted / expected, freshGranted / expected);
    assertEquals(whileStale, staleGranted / expected, 0.01);
    assertEquals(afterwards, freshGranted / expected, 0.01);
  }
}
