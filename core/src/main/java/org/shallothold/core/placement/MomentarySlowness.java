package org.shallothold.core.placement;

/**
 * How long work takes on a server's VM at this moment, as the server last stated it. Other work on
 * the VM changes this several times a second, so the statement counts less the older it is. Owned
 * by one thread.
 */
final class MomentarySlowness {

  // For slowness that changes at random after this time in the mean, the weight is that of the best
  // linear prediction from one earlier value.
  private static final double DECAY_MILLIS = 200;
  // The weight is below 1 per cent by then.
  private static final long MAX_AGE_MILLIS = 1_000;
  private static final double PERCENT = 100;
  // A server that states too much or too little must not get all requests or none.
  private static final double MIN_FACTOR = 0.5;
  private static final double MAX_FACTOR = 5;

  private double statedFactor = 1;
  private long statedMillis = Long.MIN_VALUE / 2;

  private MomentarySlowness() {}

  /** Returns the slowness of a server that has stated nothing. */
  static MomentarySlowness unknown() {
    return new MomentarySlowness();
  }

  /** Records a statement unless there is a newer one. */
  void record(int percent, long atMillis) {
    if (percent > 0 && atMillis >= statedMillis) {
      statedFactor = Math.clamp(percent / PERCENT, MIN_FACTOR, MAX_FACTOR);
      statedMillis = atMillis;
    }
  }

  /** Discards what was stated. */
  void clear() {
    statedFactor = 1;
    statedMillis = Long.MIN_VALUE / 2;
  }

  /** Returns whether there is a statement that still counts. */
  boolean isKnown(long nowMillis) {
    return nowMillis - statedMillis < MAX_AGE_MILLIS;
  }

  /** Returns the expected ratio of the time that work takes now to the usual time. */
  double factor(long nowMillis) {
    if (!isKnown(nowMillis)) {
      return 1;
    }
    double ageMillis = Math.max(0, nowMillis - statedMillis);
    return 1 + (statedFactor - 1) * Math.exp(-ageMillis / DECAY_MILLIS);
  }

  /** Returns the last statement, in per cent. */
  int statedPercent() {
    return (int) Math.round(statedFactor * PERCENT);
  }

  /** Returns the time of the last statement. */
  long statedMillis() {
    return statedMillis;
  }
}
