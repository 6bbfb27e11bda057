package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells which streams miss their pause target when their engine reads prompts. That depends on the
 * engines: with short chunks no pause grows long. Until that is known, every target is at risk.
 * Owned by one thread.
 */
final class PauseRisk {

  // A target is at risk when the longest pause comes this close to it, and safe again only when the
  // pause is well below it. Without the distance, streams would move between the groups of engines
  // with each change of the estimate.
  private static final double AT_RISK_RATIO = 0.95;
  private static final double SAFE_RATIO = 0.85;
  // Streams whose target is further above the shortest one at risk share the engines that read:
  // kept apart with the most sensitive streams, their own prompts would break those pauses.
  private static final double SENSITIVE_RATIO = 1.4;
  // Prompts that follow each other are read without a break, however short each of them is.
  private static final double UNBROKEN_READ_MILLIS = Double.POSITIVE_INFINITY;
  // A target that nobody asked for lately does not limit others.
  private static final long TARGET_LIFE_MILLIS = 3_000;

  private final Map<Long, Boolean> atRiskByTarget = new HashMap<>();
  private final Map<Long, Long> askedMillisByTarget = new HashMap<>();

  /** Notes a request. */
  void arrived(Work work, EngineFigures figures, long nowMillis) {
    if (isAtRisk(work, figures)) {
      askedMillisByTarget.put(work.pauseTargetMillis(), nowMillis);
    }
  }

  /** Returns whether the request is among the streams that are kept apart from long prompts. */
  boolean isSensitive(Work work, EngineFigures figures, long nowMillis) {
    return isAtRisk(work, figures)
        && work.pauseTargetMillis() <= shortestTargetMillis(nowMillis) * SENSITIVE_RATIO;
  }

  /** Returns whether an engine that reads prompts breaks the request's pause target. */
  private boolean isAtRisk(Work work, EngineFigures figures) {
    long target = work.pauseTargetMillis();
    if (target <= 0) {
      return false;
    }
    double longest = figures.pauseMillis(UNBROKEN_READ_MILLIS);
    boolean before = atRiskByTarget.getOrDefault(target, true);
    boolean now = longest >= target * (before ? SAFE_RATIO : AT_RISK_RATIO);
    atRiskByTarget.put(target, now);
    return now;
  }

  /** Returns the pause targets that reading puts at risk, in milliseconds, in ascending order. */
  List<Long> targetsAtRisk() {
    return atRiskByTarget.entrySet().stream()
        .filter(Map.Entry::getValue)
        .map(Map.Entry::getKey)
        .sorted()
        .toList();
  }

  /** Returns the shortest pause target at risk that was asked for lately; infinite if none was. */
  double shortestTargetMillis(long nowMillis) {
    askedMillisByTarget.values().removeIf(asked -> nowMillis - asked > TARGET_LIFE_MILLIS);
    return askedMillisByTarget.keySet().stream()
        .mapToDouble(Long::doubleValue)
        .min()
        .orElse(Double.POSITIVE_INFINITY);
  }
}
