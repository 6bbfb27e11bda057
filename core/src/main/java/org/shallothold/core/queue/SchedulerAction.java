package org.shallothold.core.queue;

import org.shallothold.core.verdict.ReasonCode;

/** What the owner of a scheduler has to do, in the order of the list. */
public sealed interface SchedulerAction {

  /** Returns the request that the action is about. */
  Work work();

  /** Hand the request to the backend server; a preempted one goes on after its kept tokens. */
  record Start(Work work) implements SchedulerAction {}

  /**
   * Stop the request at the backend server and keep its tokens. It waits again; a later action
   * starts or refuses it.
   */
  record Preempt(Work work) implements SchedulerAction {}

  /**
   * Refuse the request, which the scheduler has forgotten.
   *
   * @param ranBefore whether the request was started and preempted earlier, so that it can't be
   *     said that it was not run
   * @param retryAfterMillis the queue's estimate of when to come back, in milliseconds
   */
  record Refuse(Work work, ReasonCode reason, boolean ranBefore, long retryAfterMillis)
      implements SchedulerAction {}
}
