package org.shallothold.gateway.request;

import java.util.Optional;

/** Reads order tickets as far as a gateway needs to; only the issuer can check one. */
public final class TicketText {

  private static final int FIELDS = 5;

  private TicketText() {}

  /** Returns the id of the server that issued a ticket, or empty if the text is no ticket. */
  public static Optional<String> serverId(String ticket) {
    String[] fields = ticket.split("~", -1);
    return fields.length == FIELDS && !fields[1].isEmpty()
        ? Optional.of(fields[1])
        : Optional.empty();
  }
}
