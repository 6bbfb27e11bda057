package org.shallothold.core.queue;

/**
 * Settings of a scheduler that don't change while it runs.
 *
 * @param policy order of starts
 * @param floorIntervalMillis wait after which a class gets the next free slot, in milliseconds
 * @param maxPreemptions preemptions of a request at any time; after these, it is protected
 * @param protectedRunMillis time for which a protected request, or one started by the floor, keeps
 *     its slot, in milliseconds
 */
public record SchedulerOptions(
    SchedulingPolicy policy,
    long floorIntervalMillis,
    int maxPreemptions,
    long protectedRunMillis) {

  /** By tier, a floor of 2 s, two preemptions at any time, protected runs of 1 s. */
  public static final SchedulerOptions DEFAULT =
      new SchedulerOptions(SchedulingPolicy.TIERS, 2_000, 2, 1_000);
}
