package org.shallothold.experiment.caller;

/**
 * What a caller got for an order.
 *
 * @param outcome what came of it; complete if the service answered
 * @param status HTTP status; 0 if there was none
 * @param code reason code of a refusal; empty if there is none
 * @param body the service's answer or the error document
 * @param ticket ticket in the header {@code Order-Ticket}; empty if there is none
 */
public record OrderResult(Outcome outcome, int status, String code, String body, String ticket) {

  /** Returns whether the service answered. */
  public boolean complete() {
    return outcome == Outcome.COMPLETE;
  }
}
