package org.shallothold.gateway.request;

import java.util.Optional;
import org.shallothold.core.order.OrderTicket;

/** Reads order tickets as far as a gateway needs to; only the issuer can check one. */
public final class TicketText {

  private TicketText() {}

  /** Returns the id of the server that issued a ticket, or empty if the text is no ticket. */
  public static Optional<String> serverId(String ticket) {
    return OrderTicket.parse(ticket).map(OrderTicket::serverId);
  }
}
