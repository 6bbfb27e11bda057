package org.shallothold.core.queue;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;

/**
 * A decision with everything needed to judge it afterwards. Made only if somebody listens.
 *
 * @param atMillis when
 * @param kind what was decided
 * @param work about which request
 * @param reason reason of a refusal; null for other kinds
 * @param beneficiary request that got the place; null if there is none
 * @param waiting requests that waited at that moment, without the one decided about
 * @param running requests that ran at that moment, without the one decided about
 */
public record DecisionRecord(
    long atMillis,
    Kind kind,
    Work work,
    @Nullable ReasonCode reason,
    @Nullable Work beneficiary,
    List<Place> waiting,
    List<Place> running) {

  /** What was decided. */
  public enum Kind {
    /** Started as the first in the order of starts. */
    STARTED,
    /** Started because its class had waited for the floor interval. */
    STARTED_BY_FLOOR,
    /** Started in the slot of a preempted request. */
    STARTED_BY_PREEMPTION,
    /** Stopped in favour of the beneficiary. */
    PREEMPTED,
    /** Dropped from the queue in favour of the beneficiary. */
    DISPLACED,
    /** Refused for another reason. */
    REFUSED
  }

  /**
   * A request in the queue or in a slot.
   *
   * @param canGiveWay whether a request of a higher tier may take the place
   */
  public record Place(Work work, boolean canGiveWay) {}
}
