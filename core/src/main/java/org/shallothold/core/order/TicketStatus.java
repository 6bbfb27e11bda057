package org.shallothold.core.order;

import java.util.Locale;

/** What a sidecar knows of a ticket; the lower-case name stands in messages. */
public enum TicketStatus {
  /** Issued; no order arrived under it. */
  UNUSED,
  /** Its order waits in the queue. */
  WAITING,
  /** Its order was passed to the service; no answer is known. */
  HANDED_OVER,
  /** The service answered its order. */
  ANSWERED,
  /** No order under it was run, and none will be. */
  SEALED,
  /** Another process issued it. */
  FORMER_INCARNATION,
  /** It has left the bounded memory. */
  EXPIRED,
  /** No process issued it. */
  INVALID;

  private final String code = name().toLowerCase(Locale.ROOT);

  /** Returns the name as it stands in messages. */
  public String code() {
    return code;
  }
}
