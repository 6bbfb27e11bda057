package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Tells which streams miss their pause target when their engine reads prompts. That depends on the
 * engines and on the prompts: with short chunks or short prompts no pause grows long. Owned by one
 * thread.
 */
final class PauseRisk {

  // A target is at risk when the longest pause comes this close to it, and safe again only when the
  // pause is well below it. Without the distance, streams would move between the groups of engines
  // with each change of the estimate.
  private static final double AT_RISK_RATIO = 0.95;
  private static final double SAFE_RATIO = 0.85;
  private static final double LONG_READ_QUANTILE = 0.9;
  // Streams whose target is further above the shortest one at risk share the engines that read:
  // kept apart with the most sensitive streams, their own prompts would break those pauses.
  private static final double SENSITIVE_RATIO = 1.4;
  // Two long prompts follow each other often, three hardly.
  private static final double LONG_READS_TOGETHER = 2;
  private static final int LEAST_PROMPTS = 12;
  // A target that nobody asked for lately does not limit others.
  private static final long TARGET_LIFE_MILLIS = 3_000;

  private final QuantileEstimate longRead = QuantileEstimate.of(LONG_READ_QUANTILE);
  private final Map<Long, Boolean> atRiskByTarget = new HashMap<>();
  private final Map<Long, Long> askedMillisByTarget = new HashMap<>();

  /** Notes a request; only the part of its prompt that is its own is read for certain. */
  void arrived(Work work, double ownReadMillis, EngineFigures figures, long nowMillis) {
    longRead.add(ownReadMillis);
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
    double longest = figures.pauseMillis(longestReadMillis(figures));
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

  /** Returns the longest reading between two events; prompts bound it while engines' is unknown. */
  private double longestReadMillis(EngineFigures figures) {
    boolean boundKnown = figures.readingPauseMillis() < EngineFigures.UNKNOWN_PAUSE;
    return boundKnown || longRead.samples() < LEAST_PROMPTS
        ? Double.POSITIVE_INFINITY
        : longRead.value() * LONG_READS_TOGETHER;
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
