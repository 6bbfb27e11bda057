package org.shallothold.core.queue;

/** Order of starts. */
public enum SchedulingPolicy {
  /**
   * By tier, then by the customers' recent service, with the floor, displacement and preemption.
   */
  TIERS,
  /** First come, first served; a baseline for measurements. */
  ARRIVAL
}
