package org.shallothold.core.drain;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalDouble;

/**
 * Estimates within which time requests are usually answered, by route. Uses the smoothed mean and
 * deviation of the measured times, as TCP does for its retransmission timeout (RFC 6298). One per
 * process; not thread-safe.
 */
public final class ResponseTimes {

  private static final double MEAN_GAIN = 1.0 / 8;
  private static final double DEVIATION_GAIN = 1.0 / 4;
  private static final double DEVIATIONS = 4;
  // Routes come and go with configurations; the estimates of former ones are dropped all at once.
  private static final int MAX_ROUTES = 10_000;

  private final Map<String, Estimate> estimatesByRoute = new HashMap<>();

  private record Estimate(double meanMillis, double deviationMillis) {

    private static Estimate ofFirst(double millis) {
      return new Estimate(millis, millis / 2);
    }

    private Estimate with(double millis) {
      double error = millis - meanMillis;
      return new Estimate(
          meanMillis + MEAN_GAIN * error,
          deviationMillis + DEVIATION_GAIN * (Math.abs(error) - deviationMillis));
    }
  }

  private ResponseTimes() {}

  /** Returns estimates of no route. */
  public static ResponseTimes create() {
    return new ResponseTimes();
  }

  /** Records the time from a request's arrival to the end of its response. */
  public void record(String route, double millis) {
    if (estimatesByRoute.size() >= MAX_ROUTES && !estimatesByRoute.containsKey(route)) {
      estimatesByRoute.clear();
    }
    estimatesByRoute.merge(route, Estimate.ofFirst(millis), (known, first) -> known.with(millis));
  }

  /**
   * Returns the time within which nearly all requests of a route are answered, in milliseconds;
   * empty if none was answered yet.
   */
  public OptionalDouble usualMillis(String route) {
    Estimate known = estimatesByRoute.get(route);
    return known == null
        ? OptionalDouble.empty()
        : OptionalDouble.of(known.meanMillis() + DEVIATIONS * known.deviationMillis());
  }
}
