package org.shallothold.standin.engine;

import java.util.concurrent.TimeUnit;

/**
 * What a step of the scheduler costs, in microseconds.
 *
 * @param base per step
 * @param perRunning per running request
 * @param perKilotoken per thousand tokens of context of the running requests
 * @param perPrefillToken per context token computed in the step
 */
record StepCosts(long base, long perRunning, long perKilotoken, long perPrefillToken) {

  private static final long KILOTOKEN = 1_000;

  /** Returns the duration of a step in nanoseconds. */
  long stepNanos(int running, long contextTokens, long prefillTokens) {
    return TimeUnit.MICROSECONDS.toNanos(
        base
            + perRunning * running
            + perKilotoken * contextTokens / KILOTOKEN
            + perPrefillToken * prefillTokens);
  }
}
