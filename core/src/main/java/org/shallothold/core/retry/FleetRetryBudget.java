package org.shallothold.core.retry;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * This gateway's share of the repeats that all gateways together may send to one service within a
 * sliding window: a ratio of the service's requests here, and an equal part of a fixed allowance.
 * Made for each service; owned by one thread.
 */
public final class FleetRetryBudget {

  // Gateways count their windows apart and the service sees repeats later than they are sent, so a
  // part of the limit is left unused.
  private static final double USED_PART = 0.7;

  private final double ratio;
  private final double allowance;
  private final long windowMillis;
  private final Deque<Long> requests = new ArrayDeque<>();
  private final Deque<Long> repeats = new ArrayDeque<>();

  private FleetRetryBudget(double ratio, double allowance, long windowMillis) {
    this.ratio = ratio;
    this.allowance = allowance;
    this.windowMillis = windowMillis;
  }

  /**
   * Returns a budget without any requests.
   *
   * @param ratio repeats per request
   * @param allowance repeats per window of all gateways beyond the ratio
   * @param windowMillis length of the window, in milliseconds
   */
  public static FleetRetryBudget of(double ratio, double allowance, long windowMillis) {
    return new FleetRetryBudget(ratio, allowance, windowMillis);
  }

  /** Notes a caller's request for the service. */
  public void requestArrived(long nowMillis) {
    requests.addLast(nowMillis);
    forget(nowMillis);
  }

  /**
   * Takes one repeat; returns false if the share is used up.
   *
   * @param gateways live gateways, at least 1
   */
  public boolean tryRepeat(int gateways, long nowMillis) {
    forget(nowMillis);
    double limit = USED_PART * (ratio * requests.size() + allowance / Math.max(1, gateways));
    if (repeats.size() + 1 > limit) {
      return false;
    }
    repeats.addLast(nowMillis);
    return true;
  }

  /** Returns the repeats within the window. */
  public int repeats(long nowMillis) {
    forget(nowMillis);
    return repeats.size();
  }

  private void forget(long nowMillis) {
    dropBefore(requests, nowMillis - windowMillis);
    dropBefore(repeats, nowMillis - windowMillis);
  }

  private static void dropBefore(Deque<Long> times, long limitMillis) {
    while (!times.isEmpty() && times.peekFirst() <= limitMillis) {
      times.removeFirst();
    }
  }
}
