package org.shallothold.core.queue;

import java.util.Collection;
import java.util.List;

/**
 * Estimates how long a request waits for a slot. Only work at or above its tier counts, so that
 * lower-tier work never causes a refusal. The floor's starts count for {@code Retry-After} but not
 * for a refusal. Created for one decision.
 */
final class WaitEstimate {

  private final ServiceTimes times;
  private final Collection<Entry> running;
  private final int maxRunning;
  private final long nowMillis;

  WaitEstimate(ServiceTimes times, Collection<Entry> running, int maxRunning, long nowMillis) {
    this.times = times;
    this.running = running;
    this.maxRunning = Math.max(1, maxRunning);
    this.nowMillis = nowMillis;
  }

  /**
   * Returns the wait of a request of a tier behind others, in milliseconds; 0 before the first
   * answer, when nothing is known.
   *
   * @param ahead number of waiting requests that start before it
   * @param aheadMillis their mean slot times together, in milliseconds
   */
  double millis(int tier, int ahead, double aheadMillis) {
    List<Entry> blockers = running.stream().filter(entry -> entry.work.tier() <= tier).toList();
    if (ahead + blockers.size() < maxRunning) {
      return 0;
    }
    double left = blockers.stream().mapToDouble(this::left).sum();
    return (aheadMillis + left) / maxRunning;
  }

  /** Returns the wait for the next slot to become free, whoever runs now, in milliseconds. */
  double nextSlotMillis() {
    return running.size() < maxRunning ? 0 : times.overall() / maxRunning;
  }

  /** Returns the wait including one start by the floor per class and interval. */
  double withFloor(double waitMillis, int floorClasses, long floorIntervalMillis) {
    double starts = floorClasses * (1 + Math.floor(waitMillis / floorIntervalMillis));
    return waitMillis + starts * times.overall() / maxRunning;
  }

  private double left(Entry entry) {
    return Math.max(0, mean(entry) - (nowMillis - entry.startedMillis));
  }

  private double mean(Entry entry) {
    return times.mean(entry.work.serviceClass());
  }
}
