package org.shallothold.core.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Slot time that each customer received lately, with exponential decay. Owned by the scheduler's
 * thread.
 */
final class RecentService {

  // Long against one answer, so that a customer can't get ahead by sending in bursts; short enough
  // that a night batch does not count against its customer in the morning.
  private static final double HALF_LIFE_MILLIS = 10_000;
  private static final double NEGLIGIBLE_MILLIS = 1;
  private static final int PRUNE_ABOVE = 512;

  private final Map<String, Usage> usages = new HashMap<>();

  private record Usage(double millis, long atMillis) {

    double at(long nowMillis) {
      return millis * Math.pow(0.5, (nowMillis - atMillis) / HALF_LIFE_MILLIS);
    }
  }

  /** Adds slot time, or takes it back if negative. */
  void add(String customer, double millis, long nowMillis) {
    usages.put(customer, new Usage(Math.max(0, of(customer, nowMillis) + millis), nowMillis));
    if (usages.size() > PRUNE_ABOVE) {
      usages.values().removeIf(usage -> usage.at(nowMillis) < NEGLIGIBLE_MILLIS);
    }
  }

  /** Returns the decayed slot time of a customer, 0 if it had none. */
  double of(String customer, long nowMillis) {
    Usage usage = usages.get(customer);
    return usage == null ? 0 : usage.at(nowMillis);
  }
}
