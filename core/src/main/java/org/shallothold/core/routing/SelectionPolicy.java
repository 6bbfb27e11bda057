package org.shallothold.core.routing;

/** Policy by which a gateway selects among the servers of a service class. */
public enum SelectionPolicy {
  /** Default: the cheaper of two random servers by own requests, reports, prefix and speed. */
  OWN_COUNTS,
  /** Baseline: the servers in turn. */
  ROUND_ROBIN,
  /** Baseline: the lowest load according to the engines' own, delayed reports. */
  REPORTED_LOAD
}
