package org.shallothold.gateway.request;

import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * The final answer to a request that was not served.
 *
 * @param reason machine-readable reason
 * @param verdict whether the request may have run
 * @param message text for a person
 * @param orderTicket a new ticket for an order that came without one; else empty
 */
public record Failure(ReasonCode reason, Verdict verdict, String message, String orderTicket) {

  /** Returns a failure without a ticket. */
  public static Failure of(ReasonCode reason, Verdict verdict, String message) {
    return new Failure(reason, verdict, message, "");
  }

  /** Returns a refusal of a request that certainly was not run. */
  public static Failure notRun(ReasonCode reason, String message) {
    return of(reason, Verdict.notRun(reason), message);
  }

  /** Returns when to come back, in milliseconds; 0 if there is no estimate. */
  public long retryAfterMillis() {
    return verdict instanceof Verdict.NotRun notRun ? notRun.retryAfterMillis() : 0;
  }
}
