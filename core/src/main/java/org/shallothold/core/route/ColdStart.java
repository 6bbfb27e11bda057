package org.shallothold.core.route;

/**
 * What the servers of a service tolerate after their start.
 *
 * @param durationMillis time for which a server is cold after its start, in milliseconds; 0 if it
 *     isn't known
 * @param requestsPerSecond requests that a cold server tolerates from all gateways together; 0 if
 *     cold servers tolerate as many as others
 */
public record ColdStart(long durationMillis, double requestsPerSecond) {

  /** Servers that tolerate the same after their start as later. */
  public static final ColdStart NONE = new ColdStart(0, 0);

  /** Returns whether cold servers tolerate fewer requests than others. */
  public boolean isLimited() {
    return requestsPerSecond > 0;
  }
}
