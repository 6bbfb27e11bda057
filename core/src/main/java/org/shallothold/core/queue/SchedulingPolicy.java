package org.shallothold.core.queue;

/** Order in which waiting requests start. */
public enum SchedulingPolicy {
  /**
   * By tier, then by the recent usage of the customers, with the floor, displacement and
   * preemption.
   */
  TIERS,
  /** First come, first served. Baseline for measurements. */
  ARRIVAL
}
