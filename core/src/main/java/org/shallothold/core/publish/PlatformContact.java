package org.shallothold.core.publish;

/**
 * Whether the platform's service answers, and whether a missing item may only have lapsed while it
 * was out of reach. Made for each topic; owned by one thread.
 */
public final class PlatformContact {

  // What lapsed during an outage is seen missing in the first answers after it. Later removals are
  // meant: the server leaves, and may get no new work.
  private static final long RETURN_MILLIS = 500;

  private boolean lost = true;
  private boolean everRead;
  private long regainedMillis = Long.MIN_VALUE / 2;
  private long lastReadMillis = Long.MIN_VALUE / 2;

  private PlatformContact() {}

  /** Returns a contact of which nothing was read yet. */
  public static PlatformContact create() {
    return new PlatformContact();
  }

  /**
   * Notes a failed call.
   *
   * @return whether contact was lost by it
   */
  public boolean failed() {
    boolean changed = !lost;
    lost = true;
    return changed;
  }

  /**
   * Notes an answer.
   *
   * @return whether contact was regained by it
   */
  public boolean answered(long nowMillis) {
    boolean changed = lost;
    if (changed && everRead) {
      regainedMillis = nowMillis;
    }
    lost = false;
    everRead = true;
    lastReadMillis = nowMillis;
    return changed;
  }

  /** Returns whether an item that an answer now shows missing may come back. */
  public boolean mayHaveLapsed(long nowMillis) {
    return nowMillis - regainedMillis < RETURN_MILLIS;
  }

  /** Returns whether the last call failed, or none was made. */
  public boolean isLost() {
    return lost;
  }

  /** Returns whether anything was ever read. */
  public boolean everRead() {
    return everRead;
  }

  /** Returns when the last answer came. */
  public long lastReadMillis() {
    return lastReadMillis;
  }
}
