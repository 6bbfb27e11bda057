package org.shallothold.core.queue;

import java.util.List;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;

/**
 * A scheduling decision together with the state that it was based on, so that it can be checked
 * afterwards. Created only if the scheduler has a decision listener.
 *
 * @param atMillis time of the decision on the scheduler's clock, in milliseconds
 * @param kind what was decided
 * @param request request that the decision is about
 * @param reason reason for a refusal or a displacement; null for other kinds
 * @param beneficiary request that the subject was preempted or displaced for; null for other kinds
 * @param waiting other requests that were waiting at that time
 * @param running other requests that were running at that time
 */
public record DecisionRecord(
    long atMillis,
    Kind kind,
    ScheduledRequest request,
    @Nullable ReasonCode reason,
    @Nullable ScheduledRequest beneficiary,
    List<Occupant> waiting,
    List<Occupant> running) {

  /** Kind of a decision. */
  public enum Kind {
    /** Started as the first request in the start order. */
    STARTED,
    /** Started because its class had waited for the floor interval. */
    STARTED_BY_FLOOR,
    /** Started in the slot of a preempted request. */
    STARTED_BY_PREEMPTION,
    /** Stopped so that the beneficiary can use the slot. */
    PREEMPTED,
    /** Removed from the full queue so that the beneficiary can wait there. */
    DISPLACED,
    /** Refused for any other reason. */
    REFUSED
  }

  /**
   * A request that waited in the queue or ran in a slot.
   *
   * @param request the request
   * @param evictable whether a request of a higher tier could have displaced or preempted it
   */
  public record Occupant(ScheduledRequest request, boolean evictable) {}
}
