package org.shallothold.core.placement;

/**
 * What one gateway measured of a server's persistent speed.
 *
 * @param ratio ratio of the time that work takes there to the time it usually takes at the
 *     service's servers
 * @param samples number of samples behind the ratio
 */
public record SpeedReport(double ratio, int samples) {

  private static final double MIN_RATIO = 0.1;
  private static final double MAX_RATIO = 10;

  /** Returns whether the values can be those of a server. */
  boolean isUsable() {
    return samples > 0 && ratio >= MIN_RATIO && ratio <= MAX_RATIO;
  }
}
