package org.shallothold.gateway.forward;

import java.util.concurrent.TimeUnit;

/**
 * A monotonic clock. Timeouts, ages and windows are measured with it, so that changes of the wall
 * clock have no effect on them.
 */
public final class MonotonicClock {

  private MonotonicClock() {}

  /** Returns the milliseconds since an arbitrary origin; only differences have a meaning. */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
