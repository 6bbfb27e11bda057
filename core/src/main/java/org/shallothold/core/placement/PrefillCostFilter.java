package org.shallothold.core.placement;

/**
 * Estimates the cost of a prefill from the times to first events with a Kalman filter over three
 * costs: a fixed time, a time per thousand tokens and a time per million pairs of tokens. The
 * filter tracks its own uncertainty, so it adapts quickly at first and slowly later, and needs no
 * history. Owned by one thread.
 */
final class PrefillCostFilter {

  private static final int COST_COUNT = 3;
  private static final double TOKENS_PER_UNIT = 1_000;

  // Costs assumed before the first sample, in milliseconds: fixed, per thousand tokens, and per
  // million pairs. The variances are wide enough that the first samples replace them.
  private static final double[] PRIOR_COSTS = {10, 20, 0.2};
  private static final double[] PRIOR_VARIANCE = {100, 225, 0.04};
  private static final double[] MIN_COSTS = {0, 0.2, 0};
  // Fraction of the prior variance that is added with each sample, so that the costs can drift.
  private static final double DRIFT_FRACTION = 0.000_5;
  // Variance from the delays of the network, of decode steps in progress and of other gateways'
  // prompts, in square milliseconds.
  private static final double SAMPLE_VARIANCE = 225;
  private static final double MAX_RESIDUAL_DEVIATIONS = 3;
  // Unknown prompts of other gateways delay first events, and hardly anything makes them early, so
  // positive residuals count less.
  private static final double POSITIVE_RESIDUAL_WEIGHT = 0.4;

  private final double[] costs = PRIOR_COSTS.clone();
  private final double[][] covariance = new double[COST_COUNT][COST_COUNT];
  private int samples;

  private PrefillCostFilter() {
    for (int i = 0; i < COST_COUNT; i++) {
      covariance[i][i] = PRIOR_VARIANCE[i];
    }
  }

  /** Returns a filter with the prior costs. */
  static PrefillCostFilter create() {
    return new PrefillCostFilter();
  }

  /**
   * Adds the time to the first event of a prompt that an engine prefilled with no other prompts.
   *
   * @param uncachedTokens tokens that the engine prefilled
   * @param millionPairs {@link EngineTimings#millionPairs} of the prompt
   * @param elapsedMillis time from sending the prompt to its first event
   */
  void add(double uncachedTokens, double millionPairs, double elapsedMillis) {
    double[] inputs = {1, uncachedTokens / TOKENS_PER_UNIT, millionPairs};
    double[] crossCovariance = new double[COST_COUNT];
    double expectedMillis = 0;
    double variance = SAMPLE_VARIANCE;
    for (int i = 0; i < COST_COUNT; i++) {
      covariance[i][i] += DRIFT_FRACTION * PRIOR_VARIANCE[i];
      expectedMillis += costs[i] * inputs[i];
    }
    for (int i = 0; i < COST_COUNT; i++) {
      for (int j = 0; j < COST_COUNT; j++) {
        crossCovariance[i] += covariance[i][j] * inputs[j];
      }
      variance += inputs[i] * crossCovariance[i];
    }
    double maxResidual = MAX_RESIDUAL_DEVIATIONS * Math.sqrt(variance);
    double residual = Math.clamp(elapsedMillis - expectedMillis, -maxResidual, maxResidual);
    double weightedResidual = residual > 0 ? residual * POSITIVE_RESIDUAL_WEIGHT : residual;
    for (int i = 0; i < COST_COUNT; i++) {
      costs[i] =
          Math.max(MIN_COSTS[i], costs[i] + crossCovariance[i] / variance * weightedResidual);
      for (int j = 0; j < COST_COUNT; j++) {
        covariance[i][j] -= crossCovariance[i] * crossCovariance[j] / variance;
      }
    }
    samples++;
  }

  double millisPerPrefillToken() {
    return costs[1] / TOKENS_PER_UNIT;
  }

  double millisPerMillionPairs() {
    return costs[2];
  }

  int samples() {
    return samples;
  }
}
