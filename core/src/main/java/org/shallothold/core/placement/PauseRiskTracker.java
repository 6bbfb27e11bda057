package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Determines which streams miss their pause target while their engine prefills prompts. The result
 * depends on the measured timings: with short prefill chunks, inter-event gaps stay short. Until
 * the timings are known, every pause target is at risk. Owned by one thread.
 */
final class PauseRiskTracker {

  // A target becomes at risk when the longest expected gap reaches this fraction of it, and safe
  // again only when the gap is below the lower fraction. Without this hysteresis, streams would
  // move between the groups of engines with each change of the estimate.
  private static final double AT_RISK_RATIO = 0.95;
  private static final double SAFE_RATIO = 0.85;
  // Streams whose target exceeds the shortest target at risk by more than this ratio share the
  // other engines: placed with the most sensitive streams, their own prompts would break those
  // pause targets.
  private static final double SENSITIVE_RATIO = 1.4;
  // Consecutive prompts are prefilled without interruption, however short each of them is.
  private static final double CONTINUOUS_PREFILL_MILLIS = Double.POSITIVE_INFINITY;
  // A target without recent requests does not restrict others.
  private static final long TARGET_MAX_AGE_MILLIS = 3_000;

  private final Map<Long, Boolean> atRiskByTarget = new HashMap<>();
  private final Map<Long, Long> lastArrivalMillisByTarget = new HashMap<>();

  /**
   * Records the arrival of a request, whose pause target counts as recently requested if it is at
   * risk.
   */
  void recordArrival(RequestProfile profile, EngineTimings timings, long nowMillis) {
    if (isAtRisk(profile, timings)) {
      lastArrivalMillisByTarget.put(profile.pauseTargetMillis(), nowMillis);
    }
  }

  /** Returns whether the request belongs to the streams that are kept apart from long prompts. */
  boolean isPauseSensitive(RequestProfile profile, EngineTimings timings, long nowMillis) {
    return isAtRisk(profile, timings)
        && profile.pauseTargetMillis() <= shortestTargetMillis(nowMillis) * SENSITIVE_RATIO;
  }

  /** Returns whether an engine that prefills prompts can break the request's pause target. */
  private boolean isAtRisk(RequestProfile profile, EngineTimings timings) {
    long targetMillis = profile.pauseTargetMillis();
    if (targetMillis <= 0) {
      return false;
    }
    double longestPauseMillis = timings.pauseMillis(CONTINUOUS_PREFILL_MILLIS);
    boolean wasAtRisk = atRiskByTarget.getOrDefault(targetMillis, true);
    boolean atRisk = longestPauseMillis >= targetMillis * (wasAtRisk ? SAFE_RATIO : AT_RISK_RATIO);
    atRiskByTarget.put(targetMillis, atRisk);
    return atRisk;
  }

  /** Returns the pause targets that prefills put at risk, in milliseconds, in ascending order. */
  List<Long> targetsAtRisk() {
    return atRiskByTarget.entrySet().stream()
        .filter(Map.Entry::getValue)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /**
   * Returns the shortest recently requested pause target at risk, in milliseconds; infinity if
   * there is none.
   */
  double shortestTargetMillis(long nowMillis) {
    lastArrivalMillisByTarget
        .values()
        .removeIf(lastArrivalMillis -> nowMillis - lastArrivalMillis > TARGET_MAX_AGE_MILLIS);
    return lastArrivalMillisByTarget.keySet().stream()
        .mapToDouble(Long::doubleValue)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }
}
