package org.shallothold.core.drain;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.OptionalDouble;
import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** What a gateway expects of the time that requests take. */
class ResponseTimesTest {

  private final ResponseTimes times = ResponseTimes.create();

  @Test
  void unknownRouteHasNoEstimate() {
    times.record("/orders/", 10);
    assertEquals(OptionalDouble.empty(), times.usualMillis("/stock/"));
  }

  @Test
  void steadyTimesGiveTightEstimate() {
    IntStream.range(0, 100).forEach(i -> times.record("/orders/", 43));
    assertEquals(43, times.usualMillis("/orders/").orElseThrow(), 1);
  }

  /** Guards against taking orders whose long responses the end of the process would cut off. */
  @Test
  void estimateCoversNearlyAllOfVaryingTimes() {
    Random random = new Random(34);
    int covered = 0;
    for (int i = 0; i < 2_000; i++) {
      double millis = 200 + random.nextInt(6_800);
      covered += millis <= times.usualMillis("/orders/").orElse(0) ? 1 : 0;
      times.record("/orders/", millis);
    }
    assertTrue(covered > 1_950, "covered " + covered);
  }
}
