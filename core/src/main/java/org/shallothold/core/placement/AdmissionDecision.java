package org.shallothold.core.placement;

/** What becomes of a request that is not at a server yet. */
public sealed interface AdmissionDecision {

  /** It is sent now. */
  record Send() implements AdmissionDecision {}

  /** It waits in the gateway until the engines have less to read. */
  record Wait() implements AdmissionDecision {}

  /**
   * It is refused.
   *
   * @param retryAfterMillis when there will probably be room, in milliseconds
   */
  record Refuse(long retryAfterMillis) implements AdmissionDecision {}
}
