package org.shallothold.core.placement;

/** Exponentially smoothed mean of the logarithms of positive samples. Owned by one thread. */
final class SmoothedLog {

  // Each sample counts as one of this many once there are more.
  private static final int SMOOTHING_SAMPLES = 50;
  private static final double MIN_SAMPLE = 1e-3;
  // A single delayed event must not move the mean much.
  private static final double MAX_RESIDUAL = 0.5;

  private double mean;
  private int samples;

  private SmoothedLog() {}

  /** Returns a mean without samples. */
  static SmoothedLog create() {
    return new SmoothedLog();
  }

  /** Adds a sample. */
  void add(double sample) {
    double logSample = Math.log(Math.max(MIN_SAMPLE, sample));
    if (samples == 0) {
      mean = logSample;
    } else {
      double residual = Math.clamp(logSample - mean, -MAX_RESIDUAL, MAX_RESIDUAL);
      mean += residual / Math.min(SMOOTHING_SAMPLES, samples + 1);
    }
    samples++;
  }

  /** Returns the mean of the logarithms; 0 without samples. */
  double mean() {
    return mean;
  }

  /** Returns the number of samples. */
  int samples() {
    return samples;
  }

  /** Lets new samples count as if there had been no more than the given number. */
  void forgetBeyond(int maxSamples) {
    samples = Math.min(samples, maxSamples);
  }
}
