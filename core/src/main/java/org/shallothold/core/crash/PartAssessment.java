package org.shallothold.core.crash;

import java.util.Collection;
import java.util.List;
import java.util.Set;

/**
 * What the evidence says of one suspected prompt part. Immutable.
 *
 * @param partId id of the part
 * @param crashes ends of engines that count against the part
 * @param blocked whether these suffice to block the part
 * @param quarantined whether these suffice to try one request at a time only
 * @param lastCrashMillis time of the last of them
 * @param servers ids of the engines that ended, in the order of their ends
 * @param indistinctFrom other parts against which there is as much evidence, since they occurred
 *     together each time
 */
public record PartAssessment(
    long partId,
    int crashes,
    boolean blocked,
    boolean quarantined,
    long lastCrashMillis,
    List<String> servers,
    Set<Long> indistinctFrom) {

  /**
   * Time after an engine's end within which the gateways report what they had sent there, in
   * milliseconds. With a part of the reports a sound part may look like the cause.
   */
  public static final long SETTLE_MILLIS = 50;

  // A part that was blocked wrongly comes free after this time, if a request shows it to be sound.
  private static final long FIRST_BLOCK_MILLIS = 60_000;
  // With this factor a part that ends engines ends at most eight of them within a day.
  private static final int BLOCK_GROWTH = 4;
  private static final int MAX_BLOCK_GROWTHS = 8;

  /** Returns the standing of the part at a time. */
  public PartStanding standing(long nowMillis) {
    if (blocked && isSettled(nowMillis) && nowMillis < blockedUntilMillis()) {
      return new PartStanding.Blocked(blockedUntilMillis());
    }
    return quarantined || blocked ? new PartStanding.Quarantined() : PartStanding.clear();
  }

  /**
   * Returns how a request with certain parts, this one among them, is handled at a time. While the
   * part is indistinct from others, only requests with all of them are refused: one without shows
   * which of them ends engines.
   */
  public PartStanding standing(Collection<Long> partIds, long nowMillis) {
    PartStanding standing = standing(nowMillis);
    return standing instanceof PartStanding.Blocked && !partIds.containsAll(indistinctFrom)
        ? new PartStanding.Quarantined()
        : standing;
  }

  /** Returns whether all gateways have probably reported the last crash. */
  boolean isSettled(long nowMillis) {
    return nowMillis >= lastCrashMillis + SETTLE_MILLIS;
  }

  private long blockedUntilMillis() {
    int growths = Math.clamp(crashes - CrashEvidence.CRASHES_TO_BLOCK, 0, MAX_BLOCK_GROWTHS);
    return lastCrashMillis + FIRST_BLOCK_MILLIS * (long) Math.pow(BLOCK_GROWTH, growths);
  }
}
