package org.shallothold.core.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Slot time that each customer used recently, with exponential decay. The scheduler starts requests
 * of customers with less usage first. Owned by the scheduler's thread.
 */
final class CustomerUsage {

  // Long compared with the time of one answer, so that sending in bursts gains a customer nothing;
  // short enough that a batch run at night does not count against its customer in the morning.
  private static final double HALF_LIFE_MILLIS = 10_000;
  private static final double NEGLIGIBLE_MILLIS = 1;
  private static final int PRUNE_THRESHOLD_CUSTOMERS = 512;

  private final Map<String, Usage> usages = new HashMap<>();

  private record Usage(double millis, long atMillis) {

    double decayedMillis(long nowMillis) {
      return millis * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
    }
  }

  /** Adds slot time in milliseconds; a negative value subtracts, to no less than 0. */
  void add(String customer, double millis, long nowMillis) {
    usages.put(
        customer, new Usage(Math.max(0, usedMillis(customer, nowMillis) + millis), nowMillis));
    if (usages.size() > PRUNE_THRESHOLD_CUSTOMERS) {
      usages.values().removeIf(usage -> usage.decayedMillis(nowMillis) < NEGLIGIBLE_MILLIS);
    }
  }

  /** Returns the decayed slot time of a customer, in milliseconds; 0 if it has none. */
  double usedMillis(String customer, long nowMillis) {
    Usage usage = usages.get(customer);
    return usage == null ? 0 : usage.decayedMillis(nowMillis);
  }
}
