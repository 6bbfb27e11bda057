package org.shallothold.core.publish;

/**
 * Tracks whether the platform's service answers, and whether an item may be missing only because it
 * lapsed while the service was unreachable. One instance per topic; not thread-safe, confined to
 * one thread.
 */
public final class PlatformContact {

  // Items that lapsed during an outage are missing from the first answers after it. Later removals
  // are intentional: the server is leaving and must get no new work.
  private static final long LAPSE_WINDOW_MILLIS = 500;

  private boolean lost = true;
  private boolean hasAnswered;
  private long regainedMillis = Long.MIN_VALUE / 2;
  private long lastAnswerMillis = Long.MIN_VALUE / 2;

  private PlatformContact() {}

  /** Creates a tracker for a service that has not answered yet; contact counts as lost. */
  public static PlatformContact create() {
    return new PlatformContact();
  }

  /**
   * Records a failed call.
   *
   * @return whether contact is lost now and was not before
   */
  public boolean recordFailure() {
    boolean changed = !lost;
    lost = true;
    return changed;
  }

  /**
   * Records an answer.
   *
   * @return whether contact was lost before
   */
  public boolean recordAnswer(long nowMillis) {
    boolean changed = lost;
    if (changed && hasAnswered) {
      regainedMillis = nowMillis;
    }
    lost = false;
    hasAnswered = true;
    lastAnswerMillis = nowMillis;
    return changed;
  }

  /**
   * Returns whether an item that is missing from an answer may only have lapsed during an outage,
   * so that its owner can publish it again. True for a short time after contact was regained.
   */
  public boolean mayHaveLapsed(long nowMillis) {
    return nowMillis - regainedMillis < LAPSE_WINDOW_MILLIS;
  }

  /** Returns the time at which contact was last regained; far in the past if it was not. */
  public long regainedMillis() {
    return regainedMillis;
  }

  /** Returns whether the last call failed, or no call was made yet. */
  public boolean isLost() {
    return lost;
  }

  /** Returns whether the service has ever answered. */
  public boolean hasAnswered() {
    return hasAnswered;
  }

  /** Returns the time of the last answer, in milliseconds; far in the past if there was none. */
  public long lastAnswerMillis() {
    return lastAnswerMillis;
  }
}
