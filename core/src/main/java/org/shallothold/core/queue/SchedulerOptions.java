package org.shallothold.core.queue;

/**
 * Settings of a scheduler that are fixed for its lifetime.
 *
 * @param policy order in which requests start
 * @param floorIntervalMillis wait after which a class gets the next free slot, in milliseconds
 * @param maxPreemptions number of times that a request can be preempted without protection; after
 *     that, each further run is protected
 * @param protectedRunMillis time for which a protected request, or one started by the floor, can't
 *     be preempted, in milliseconds
 */
public record SchedulerOptions(
    SchedulingPolicy policy,
    long floorIntervalMillis,
    int maxPreemptions,
    long protectedRunMillis) {

  /**
   * Start order by tier, a floor interval of 2 s, two preemptions without protection, protected
   * runs of 1 s.
   */
  public static final SchedulerOptions DEFAULT =
      new SchedulerOptions(SchedulingPolicy.TIERS, 2_000, 2, 1_000);
}
