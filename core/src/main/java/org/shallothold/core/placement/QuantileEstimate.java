package org.shallothold.core.placement;

/**
 * Follows a quantile of a stream of positive samples without keeping them. Each sample moves the
 * estimate by a fixed ratio, whatever its size, so that single outliers do no harm. Owned by one
 * thread.
 */
final class QuantileEstimate {

  // Logarithmic steps: the first samples find the order of magnitude, later ones refine it.
  private static final double FIRST_STEP = 0.5;
  private static final double LAST_STEP = 0.04;
  private static final double MIN_SAMPLE = 0.1;

  private final double quantile;
  private double logValue;
  private int samples;

  private QuantileEstimate(double quantile) {
    this.quantile = quantile;
  }

  static QuantileEstimate of(double quantile) {
    return new QuantileEstimate(quantile);
  }

  void add(double sample) {
    double logSample = Math.log(Math.max(MIN_SAMPLE, sample));
    if (samples == 0) {
      logValue = logSample;
    } else {
      double step = Math.max(LAST_STEP, FIRST_STEP / Math.sqrt(samples));
      logValue += logSample > logValue ? step * quantile : -step * (1 - quantile);
    }
    samples++;
  }

  /** Returns the estimate; 0 without samples. */
  double value() {
    return samples == 0 ? 0 : Math.exp(logValue);
  }

  int samples() {
    return samples;
  }
}
