package org.shallothold.core.placement;

import org.shallothold.core.verdict.ReasonCode;

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
   * @param cause reason for the caller
   */
  record Refuse(long retryAfterMillis, ReasonCode cause) implements AdmissionDecision {

    /** Creates a refusal for lack of capacity. */
    public Refuse(long retryAfterMillis) {
      this(retryAfterMillis, ReasonCode.QUEUE_FULL);
    }
  }
}
