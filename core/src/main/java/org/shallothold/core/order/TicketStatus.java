package org.shallothold.core.order;

import java.util.Locale;

/**
 * Status of a ticket at the sidecar that is asked. The lower-case names are part of the HTTP and
 * process protocols.
 */
public enum TicketStatus {
  /** Issued; no order arrived with it. */
  UNUSED,
  /** The order waits in the queue. */
  WAITING,
  /** The order was passed to the service; no answer is known. */
  HANDED_OVER,
  /** The service answered the order. */
  ANSWERED,
  /** No order with this ticket has run or will run. */
  SEALED,
  /** Names another process as its issuer, such as a former incarnation of the sidecar. */
  FORMER_INCARNATION,
  /** The state of the ticket is no longer kept, since the ledger is bounded. */
  EXPIRED,
  /** Not a ticket that any process issued. */
  INVALID;

  private final String code = name().toLowerCase(Locale.ROOT);

  /** Returns the lower-case name, as used in messages. */
  public String code() {
    return code;
  }
}
