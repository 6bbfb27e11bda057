package org.shallothold.core.rate;

import org.shallothold.core.placement.AdmissionDecision;

/**
 * Decides whether a request waits or is refused while every server that could take it has a rate
 * limit and this gateway holds no permit. Stateless.
 */
public final class HeldRequestAdmission {

  // Fraction of its time that a request may wait; the server needs the rest.
  private static final double MAX_WAIT_FRACTION = 0.5;
  private static final double MIN_RETRY_AFTER_MILLIS = 300;
  private static final double MILLIS_PER_SECOND = 1_000;

  /** End of the limits of servers that don't say how long they apply. */
  public static final long UNKNOWN_END = Long.MAX_VALUE;

  private HeldRequestAdmission() {}

  /**
   * A request that no server may take now.
   *
   * @param waitedMillis time since its arrival, in milliseconds
   * @param remainingMillis time until its deadline, in milliseconds
   * @param requestsAhead requests that wait in this gateway ahead of it
   */
  public record HeldRequest(long waitedMillis, long remainingMillis, int requestsAhead) {}

  /**
   * Returns the decision for a request while the servers' limits have no known end.
   *
   * @param requestsPerSecond rate at which this gateway is expected to get permits
   */
  public static AdmissionDecision decide(HeldRequest request, double requestsPerSecond) {
    return decide(request, requestsPerSecond, UNKNOWN_END);
  }

  /**
   * Returns the decision for a request.
   *
   * @param requestsPerSecond rate at which this gateway is expected to get permits
   * @param limitEndsInMillis time until the limit of a server ends, in milliseconds; {@link
   *     #UNKNOWN_END} if it isn't known
   */
  public static AdmissionDecision decide(
      HeldRequest request, double requestsPerSecond, long limitEndsInMillis) {
    double expectedWaitMillis =
        Math.min(
            (double) limitEndsInMillis,
            (request.requestsAhead() + 1)
                * MILLIS_PER_SECOND
                / Math.max(PermitIssuer.MIN_REQUESTS_PER_SECOND, requestsPerSecond));
    double maxWaitMillis = MAX_WAIT_FRACTION * (request.waitedMillis() + request.remainingMillis());
    // The request that is first in the queue waits its time out: its permit may come any moment.
    boolean reachesTurn =
        request.requestsAhead() == 0
            || request.waitedMillis() + expectedWaitMillis <= maxWaitMillis;
    if (reachesTurn && request.waitedMillis() < maxWaitMillis) {
      return new AdmissionDecision.Wait();
    }
    return new AdmissionDecision.Refuse(
        (long) Math.max(expectedWaitMillis, MIN_RETRY_AFTER_MILLIS));
  }
}
