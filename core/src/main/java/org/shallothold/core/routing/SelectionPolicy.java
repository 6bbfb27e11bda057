package org.shallothold.core.routing;

/** How a gateway chooses among the servers of a class. */
public enum SelectionPolicy {
  /** Default: two random candidates compared by own counts, latest reports, prefix and speed. */
  OWN_COUNTS,
  /** Baseline: one after the other. */
  ROUND_ROBIN,
  /** Baseline: fewest running requests by the engines' own lagging reports. */
  REPORTED_LOAD
}
