package org.shallothold.core.queue;

import org.shallothold.core.verdict.ReasonCode;

/**
 * An action that the owner of a {@link BackendScheduler} has to carry out. Actions are carried out
 * in the order of the returned list.
 */
public sealed interface SchedulerAction {

  /** Returns the request that the action applies to. */
  ScheduledRequest request();

  /**
   * Send the request to the backend server. A request that was preempted before continues after the
   * tokens that were kept.
   */
  record Start(ScheduledRequest request) implements SchedulerAction {}

  /**
   * Stop the request at the backend server and keep the tokens received. The request waits again; a
   * later action starts or refuses it.
   */
  record Preempt(ScheduledRequest request) implements SchedulerAction {}

  /**
   * Refuse the request. The scheduler no longer holds it.
   *
   * @param request the refused request
   * @param reason reason for the refusal
   * @param ranBefore whether the request was started and preempted earlier, so that the verdict
   *     can't be "not run"
   * @param retryAfterMillis estimated wait before a retry can succeed, in milliseconds
   */
  record Refuse(
      ScheduledRequest request, ReasonCode reason, boolean ranBefore, long retryAfterMillis)
      implements SchedulerAction {}
}
