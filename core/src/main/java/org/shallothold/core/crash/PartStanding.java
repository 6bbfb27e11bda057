package org.shallothold.core.crash;

/** How requests with a prompt part are handled. */
public sealed interface PartStanding {

  /** There is no evidence against the part. */
  record Clear() implements PartStanding {}

  /** The part may end engines: at most one request with it runs at a time in the whole fleet. */
  record Quarantined() implements PartStanding {}

  /**
   * The part ends engines: requests with it are refused.
   *
   * @param untilMillis time from which one request may be tried again
   */
  record Blocked(long untilMillis) implements PartStanding {}

  /** Returns the standing of a part without evidence against it. */
  static PartStanding clear() {
    return new Clear();
  }

  /** Returns the name of the standing for logs. */
  default String logName() {
    return switch (this) {
      case Clear clear -> "clear";
      case Quarantined quarantined -> "quarantined";
      case Blocked blocked -> "blocked";
    };
  }
}
