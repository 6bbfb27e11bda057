package org.shallothold.core.queue;

import java.util.Collection;
import java.util.List;

/**
 * Estimates how long a request waits for a slot. Only requests of its own or a higher tier count,
 * so that lower tiers never cause a refusal. Starts by the floor count for {@code Retry-After} but
 * not for a refusal. Created for one decision.
 */
final class WaitEstimate {

  private final ServiceTimes serviceTimes;
  private final Collection<SchedulerEntry> running;
  private final int maxRunning;
  private final long nowMillis;

  WaitEstimate(
      ServiceTimes serviceTimes,
      Collection<SchedulerEntry> running,
      int maxRunning,
      long nowMillis) {
    this.serviceTimes = serviceTimes;
    this.running = running;
    this.maxRunning = Math.max(1, maxRunning);
    this.nowMillis = nowMillis;
  }

  /**
   * Returns the estimated wait of a request, in milliseconds; 0 if a slot is free for it, or before
   * the first answer, when no slot times are known.
   *
   * @param tier tier of the request
   * @param ahead number of waiting requests that start before it
   * @param aheadMillis sum of the mean slot times of these requests, in milliseconds
   */
  double waitMillis(int tier, int ahead, double aheadMillis) {
    List<SchedulerEntry> blocking =
        running.stream().filter(entry -> entry.request.tier() <= tier).toList();
    if (ahead + blocking.size() < maxRunning) {
      return 0;
    }
    double remaining = blocking.stream().mapToDouble(this::remainingMillis).sum();
    return (aheadMillis + remaining) / maxRunning;
  }

  /**
   * Returns the estimated time until the next slot becomes free, in milliseconds; running requests
   * of all tiers count.
   */
  double nextSlotMillis() {
    return running.size() < maxRunning ? 0 : serviceTimes.overallMillis() / maxRunning;
  }

  /**
   * Returns a wait extended by one start by the floor per class and floor interval, in
   * milliseconds.
   *
   * @param waitMillis wait without starts by the floor, in milliseconds
   * @param floorClasses number of lower-tier classes with waiting requests
   * @param floorIntervalMillis floor interval, in milliseconds
   */
  double withFloorStarts(double waitMillis, int floorClasses, long floorIntervalMillis) {
    double starts = floorClasses * (1 + Math.floor(waitMillis / floorIntervalMillis));
    return waitMillis + starts * serviceTimes.overallMillis() / maxRunning;
  }

  private double remainingMillis(SchedulerEntry entry) {
    return Math.max(0, meanMillis(entry) - (nowMillis - entry.startedMillis));
  }

  private double meanMillis(SchedulerEntry entry) {
    return serviceTimes.meanMillis(entry.request.serviceClass());
  }
}
