package org.shallothold.gateway.request;

import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * The final answer to a request that failed or was refused.
 *
 * @param reason machine-readable reason code
 * @param verdict whether the request may have run
 * @param message human-readable message
 * @param orderTicket new ticket for an order that came without one; empty otherwise
 */
public record Failure(ReasonCode reason, Verdict verdict, String message, String orderTicket) {

  /** Returns a failure without a ticket. */
  public static Failure of(ReasonCode reason, Verdict verdict, String message) {
    return new Failure(reason, verdict, message, "");
  }

  /** Returns a failure with the verdict "not run" and no estimate of when to retry. */
  public static Failure notRun(ReasonCode reason, String message) {
    return of(reason, Verdict.notRun(reason), message);
  }

  /**
   * Returns the delay before the caller should retry, in milliseconds; 0 if there is no estimate.
   */
  public long retryAfterMillis() {
    return verdict instanceof Verdict.NotRun notRun ? notRun.retryAfterMillis() : 0;
  }
}
