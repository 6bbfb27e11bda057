package org.shallothold.core.placement;

/**
 * Estimates a quantile of a stream of positive samples without storing them. Each sample moves the
 * estimate by a fixed ratio independent of the sample's size, so that single outliers have little
 * effect. Owned by one thread.
 */
final class QuantileEstimate {

  // Steps are logarithmic and shrink with the number of samples: the first ones find the order of
  // magnitude, later ones refine the estimate.
  private static final double FIRST_LOG_STEP = 0.5;
  private static final double MIN_LOG_STEP = 0.04;
  private static final double MIN_SAMPLE = 0.1;

  private final double quantile;
  private double logValue;
  private int samples;

  private QuantileEstimate(double quantile) {
    this.quantile = quantile;
  }

  /** Returns an estimate without samples of a quantile in (0, 1). */
  static QuantileEstimate of(double quantile) {
    return new QuantileEstimate(quantile);
  }

  /** Adds a sample. */
  void add(double sample) {
    double logSample = Math.log(Math.max(MIN_SAMPLE, sample));
    if (samples == 0) {
      logValue = logSample;
    } else {
      double step = Math.max(MIN_LOG_STEP, FIRST_LOG_STEP / Math.sqrt(samples));
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
