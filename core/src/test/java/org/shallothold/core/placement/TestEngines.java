package org.shallothold.core.placement;

import org.shallothold.core.route.RoutedService;

/** Engines whose speed is known, as a gateway's peers would tell it. */
final class TestEngines {

  private static final int SAMPLES = 200;

  private TestEngines() {}

  /** A dense model: 62 prompt tokens a millisecond, chunks of 2,048 tokens, 5 tokens an event. */
  static EngineEstimator denseModel() {
    return withTimings(1 / 61.8, 0.367, 4, 2_048 / 61.8 * 5 * 1.2 + 20, 5);
  }

  /** A mixture of experts: chunks of 4,096 tokens, so that reading makes twice as long pauses. */
  static EngineEstimator longChunks() {
    return withTimings(1 / 56.6, 0.124, 5, 4_096 / 56.6 * 5 * 1.1 + 25, 5);
  }

  /** Engines that were measured to have the given times. */
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
