package org.shallothold.core.rate;

/**
 * How long permits for a server serve, and how often its coordinator is asked. Immutable.
 *
 * @param maxUnusedMillis time for which a permit serves another request after the one that asked
 *     for it went elsewhere, in milliseconds
 * @param maxAgeMillis longest time from the question to the use, in milliseconds. An interrupted
 *     connection can deliver answers late, all at once
 * @param maxPauseMillis longest time for which a gateway doesn't ask again after it was denied a
 *     permit, whichever request it is for, in milliseconds
 */
public record PermitTerms(long maxUnusedMillis, long maxAgeMillis, long maxPauseMillis) {

  private static final PermitTerms STATED_RATE = new PermitTerms(700, 1_500, 0);

  // What a cold server tolerates is counted within one second, and permits that are used late add
  // to those of the time in which they are used.
  private static final long STARTING_MAX_UNUSED_MILLIS = 150;
  private static final long STARTING_MAX_AGE_MILLIS = 300;
  // Of the questions at most about this many for each permit are denied, while all gateways ask.
  private static final double QUESTIONS_PER_PERMIT = 10;
  private static final double MIN_PAUSE_MILLIS = 20;
  private static final double MAX_PAUSE_MILLIS = 1_000;

  /** Returns the terms for a server that states a rate. */
  public static PermitTerms forStatedRate() {
    return STATED_RATE;
  }

  /**
   * Returns the terms for a server that is cold or ramps up.
   *
   * @param requestsPerSecond rate at which its permits are issued
   * @param gateways number of gateways that may ask for them
   */
  public static PermitTerms forStartingServer(double requestsPerSecond, int gateways) {
    double pauseMillis = gateways * 1_000 / (QUESTIONS_PER_PERMIT * requestsPerSecond);
    return new PermitTerms(
        STARTING_MAX_UNUSED_MILLIS,
        STARTING_MAX_AGE_MILLIS,
        (long) Math.clamp(pauseMillis, MIN_PAUSE_MILLIS, MAX_PAUSE_MILLIS));
  }
}
