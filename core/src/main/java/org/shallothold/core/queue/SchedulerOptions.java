package org.shallothold.core.queue;

/**
 * Settings of a scheduler that don't change while it runs.
 *
 * @param policy order of starts
 * @param floorIntervalMillis wait after which a class gets the next free slot, in milliseconds
 * @param maxPreemptions a request preempted so often is not preempted again
 */
public record SchedulerOptions(
    SchedulingPolicy policy, long floorIntervalMillis, int maxPreemptions) {

  /** By tier, a floor of 2 s, at most two preemptions. */
  public static final SchedulerOptions DEFAULT =
      new SchedulerOptions(SchedulingPolicy.TIERS, 2_000, 2);
}
