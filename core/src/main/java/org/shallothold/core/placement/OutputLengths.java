package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.Map;

/**
 * Mean lengths of the answers of each route, for requests whose callers give no estimate. One per
 * process; not thread-safe.
 */
public final class OutputLengths {

  private static final double MAX_WEIGHT_SAMPLES = 64;
  private static final int MIN_SAMPLES = 8;
  // Maximum lengths are several times the mean lengths.
  private static final double EXPECTED_FRACTION_OF_MAX = 0.25;
  // Routes come and go with configurations; the lengths of former ones are dropped all at once.
  private static final int MAX_ROUTES = 10_000;

  private final Map<String, Mean> meansByRoute = new HashMap<>();

  private record Mean(double tokens, int samples) {

    private Mean with(double added) {
      int count = samples + 1;
      return new Mean(tokens + (added - tokens) / Math.min(MAX_WEIGHT_SAMPLES, count), count);
    }
  }

  private OutputLengths() {}

  /** Returns a history without answers. */
  public static OutputLengths create() {
    return new OutputLengths();
  }

  /**
   * Records the length of an answer that was finished, or that was cut by its deadline.
   *
   * @param route name of the route
   * @param tokens tokens of the answer
   */
  public void record(String route, int tokens) {
    if (meansByRoute.size() >= MAX_ROUTES && !meansByRoute.containsKey(route)) {
      meansByRoute.clear();
    }
    meansByRoute.put(route, meansByRoute.getOrDefault(route, new Mean(0, 0)).with(tokens));
  }

  /**
   * Returns the estimate for a request: the caller's, or else the mean of the route.
   *
   * @param route name of the route
   * @param hintTokens the caller's estimate; 0 if it gave none
   * @param maxTokens maximum length of the answer; 0 if unspecified
   */
  public OutputEstimate estimate(String route, int hintTokens, int maxTokens) {
    int limit = maxTokens > 0 ? maxTokens : Integer.MAX_VALUE;
    if (hintTokens > 0) {
      return new OutputEstimate(Math.min(hintTokens, limit), limit);
    }
    Mean known = meansByRoute.get(route);
    double expected =
        known != null && known.samples() >= MIN_SAMPLES
            ? known.tokens()
            : maxTokens * EXPECTED_FRACTION_OF_MAX;
    return new OutputEstimate((int) Math.min(Math.ceil(expected), limit), limit);
  }
}
