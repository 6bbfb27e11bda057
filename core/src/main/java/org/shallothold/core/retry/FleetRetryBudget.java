package org.shallothold.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This gateway's share of the retries that all gateways together may send to one service within a
 * sliding window: a ratio of the service's requests at this gateway, plus an equal part of a fixed
 * allowance. One instance per service; owned by one thread.
 */
public final class FleetRetryBudget {

  // Gateways count in separate windows, and the service receives retries later than they are sent,
  // so only this fraction of the limit is used.
  private static final double USABLE_FRACTION = 0.7;

  private final double ratio;
  private final double allowance;
  private final long windowMillis;
  private final Deque<Long> requestMillis = new ArrayDeque<>();
  private final Deque<Long> retryMillis = new ArrayDeque<>();

  private FleetRetryBudget(double ratio, double allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMillis = windowMillis;
  }

  /**
   * Returns a budget without any requests.
   *
   * @param ratio retries per request
   * @param allowance retries per window beyond the ratio, for all gateways together
   * @param windowMillis length of the window, in milliseconds
   */
  public static FleetRetryBudget of(double ratio, double allowance, long windowMillis) {
    return new FleetRetryBudget(ratio, allowance, windowMillis);
  }

  /** Records a caller's request for the service. */
  public void requestArrived(long nowMillis) {
    requestMillis.addLast(nowMillis);
    evictExpired(nowMillis);
  }

  /**
   * Withdraws one retry from the share; returns false if the share is used up.
   *
   * @param gateways number of live gateways; a number below 1 counts as 1
   */
  public boolean tryRetry(int gateways, long nowMillis) {
    evictExpired(nowMillis);
    double limit =
        USABLE_FRACTION * (ratio * requestMillis.size() + allowance / Math.max(1, gateways));
    if (retryMillis.size() + 1 > limit) {
      return false;
    }
    retryMillis.addLast(nowMillis);
    return true;
  }

  /** Returns the number of retries taken within the window. */
  public int retriesInWindow(long nowMillis) {
    evictExpired(nowMillis);
    return retryMillis.size();
  }

  private void evictExpired(long nowMillis) {
    removeUpTo(requestMillis, nowMillis - windowMillis);
    removeUpTo(retryMillis, nowMillis - windowMillis);
  }

  private static void removeUpTo(Deque<Long> timesMillis, long limitMillis) {
    while (!timesMillis.isEmpty() && timesMillis.peekFirst() <= limitMillis) {
      timesMillis.removeFirst();
    }
  }
}
