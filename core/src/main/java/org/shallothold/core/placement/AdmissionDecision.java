package org.shallothold.core.placement;

/** Outcome of admission control for a request that no engine processes yet. */
public sealed interface AdmissionDecision {

  /** The request is sent to the chosen engine now. */
  record Send() implements AdmissionDecision {}

  /** The request waits in the gateway until the backlog of the engines is shorter. */
  record Wait() implements AdmissionDecision {}

  /**
   * The request is refused.
   *
   * @param retryAfterMillis time after which the caller should retry, in milliseconds
   */
  record Refuse(long retryAfterMillis) implements AdmissionDecision {}
}
