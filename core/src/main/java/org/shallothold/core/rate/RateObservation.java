package org.shallothold.core.rate;

/**
 * Rate limit of one instance of a backend server, as last observed by some gateway. Immutable.
 *
 * @param instanceStartMillis start time of the instance, by the server's clock
 * @param requestsPerSecond limit for all gateways together; {@link #NO_LIMIT} if the server stated
 *     none
 * @param observedMillis time of the observation, by this gateway's monotonic clock
 */
public record RateObservation(
    long instanceStartMillis, double requestsPerSecond, long observedMillis) {

  /** Rate of a server that states no limit. */
  public static final double NO_LIMIT = Double.POSITIVE_INFINITY;

  /** Returns whether the server stated a limit. */
  public boolean isLimited() {
    return requestsPerSecond < NO_LIMIT;
  }

  /** Returns a rate as text for logs; {@code none} for {@link #NO_LIMIT}. */
  public static String toText(double requestsPerSecond) {
    return requestsPerSecond < NO_LIMIT ? Double.toString(requestsPerSecond) : "none";
  }
}
