package org.shallothold.core.placement;

/**
 * Estimates what an engine's reading costs from the times to first events: a Kalman filter over a
 * fixed time, a time per thousand tokens and a time per million pairs of tokens. A filter keeps its
 * uncertainty, so it moves fast at first and slowly later, and it needs no history. Owned by one
 * thread.
 */
final class ReadingCostFilter {

  private static final int COSTS = 3;
  private static final double TOKENS_UNIT = 1_000;

  // Assumed before any answer came: fixed milliseconds, milliseconds for a thousand tokens, and for
  // a million pairs. The variances are wide enough that the first answers replace them.
  private static final double[] PRIOR = {10, 20, 0.2};
  private static final double[] PRIOR_VARIANCE = {100, 225, 0.04};
  private static final double[] LEAST = {0, 0.2, 0};
  // Part of the prior variance by which each sample lets the costs drift.
  private static final double DRIFT = 0.000_5;
  // Delays of the network, of steps under way and of prompts of other gateways.
  private static final double SAMPLE_VARIANCE = 225;
  private static final double MAX_DEVIATIONS = 3;
  // Unknown prompts of other gateways make first events late, hardly anything makes them early.
  private static final double WEIGHT_OF_LATE = 0.4;

  private final double[] costs = PRIOR.clone();
  private final double[][] covariance = new double[COSTS][COSTS];
  private int samples;

  private ReadingCostFilter() {
    for (int i = 0; i < COSTS; i++) {
      covariance[i][i] = PRIOR_VARIANCE[i];
    }
  }

  static ReadingCostFilter create() {
    return new ReadingCostFilter();
  }

  /** Takes the time to the first event of a prompt that an engine without other prompts read. */
  void add(double freshTokens, double millionPairs, double elapsedMillis) {
    double[] input = {1, freshTokens / TOKENS_UNIT, millionPairs};
    double[] spread = new double[COSTS];
    double expected = 0;
    double variance = SAMPLE_VARIANCE;
    for (int i = 0; i < COSTS; i++) {
      covariance[i][i] += DRIFT * PRIOR_VARIANCE[i];
      expected += costs[i] * input[i];
    }
    for (int i = 0; i < COSTS; i++) {
      for (int j = 0; j < COSTS; j++) {
        spread[i] += covariance[i][j] * input[j];
      }
      variance += input[i] * spread[i];
    }
    double limit = MAX_DEVIATIONS * Math.sqrt(variance);
    double residual = Math.clamp(elapsedMillis - expected, -limit, limit);
    double weighted = residual > 0 ? residual * WEIGHT_OF_LATE : residual;
    for (int i = 0; i < COSTS; i++) {
      costs[i] = Math.max(LEAST[i], costs[i] + spread[i] / variance * weighted);
      for (int j = 0; j < COSTS; j++) {
        covariance[i][j] -= spread[i] * spread[j] / variance;
      }
    }
    samples++;
  }

  double tokenMillis() {
    return costs[1] / TOKENS_UNIT;
  }

  double pairMillis() {
    return costs[2];
  }

  int samples() {
    return samples;
  }
}
