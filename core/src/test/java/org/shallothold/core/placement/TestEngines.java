package org.shallothold.core.placement;

import org.shallothold.core.route.RoutedService;

/** Estimators of engines whose timings are known, as reported by a peer. */
final class TestEngines {

  private static final int SAMPLES = 200;

  private TestEngines() {}

  /**
   * Returns the timings of a dense model: 62 prompt tokens per millisecond, prefill chunks of 2,048
   * tokens, 5 tokens per event.
   */
  static EngineEstimator denseModel() {
    return withTimings(1 / 61.8, 0.367, 4, 2_048 / 61.8 * 5 * 1.2 + 20, 5);
  }

  /**
   * Returns the timings of a mixture-of-experts model: prefill chunks of 4,096 tokens, so that
   * prefill pauses are twice as long.
   */
  static EngineEstimator mixtureOfExperts() {
    return withTimings(1 / 56.6, 0.124, 5, 4_096 / 56.6 * 5 * 1.1 + 25, 5);
  }

  /** Returns an estimator that has received the given timings from a peer. */
  static EngineEstimator withTimings(
      double millisPerPrefillToken,
      double millisPerMillionPairs,
      double decodeStepMillis,
      double prefillPauseMillis,
      int tokensPerEvent) {
    EngineEstimator estimator = EngineEstimator.create();
    estimator.configure(
        new RoutedService("pool", 100, true, 570_000, tokensPerEvent, RoutedService.NO_TRANSFER));
    estimator.updatePeer(
        "peer",
        new EngineEstimate(
            millisPerPrefillToken,
            millisPerMillionPairs,
            SAMPLES,
            decodeStepMillis,
            SAMPLES,
            prefillPauseMillis,
            SAMPLES));
    return estimator;
  }
}
