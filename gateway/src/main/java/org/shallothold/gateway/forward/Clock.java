package org.shallothold.gateway.forward;

import java.util.concurrent.TimeUnit;

/** The steady clock; the time of day decides nothing. */
public final class Clock {

  private Clock() {}

  /** Returns steady time in milliseconds. */
  public static long millis() {
    return TimeUnit.NANOSECONDS.toMillis(System.nanoTime());
  }
}
