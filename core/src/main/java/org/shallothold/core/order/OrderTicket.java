package org.shallothold.core.order;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * Names the one process that may run an order: the incarnation of the sidecar that issued it.
 * Immutable. Only the issuer can tell whether the code is right; see {@link TicketKey}.
 *
 * @param service plain service that the order is for
 * @param serverId backend server whose sidecar issued the ticket
 * @param incarnation incarnation of that sidecar, 32 hexadecimal digits
 * @param serial number of the ticket within the incarnation, from 1
 * @param code authentication code, base64 for URLs without padding
 */
public record OrderTicket(
    String service, String serverId, String incarnation, long serial, String code) {

  // A tilde needs no escape in a URL and occurs in no name of the configuration.
  private static final Pattern FORM =
      Pattern.compile(
          "([A-Za-z0-9][A-Za-z0-9._-]{0,63})~([A-Za-z0-9][A-Za-z0-9._-]{0,63})"
              + "~([0-9a-f]{32})~([1-9][0-9]{0,17})~([A-Za-z0-9_-]{43})");

  /** Returns the ticket that a text stands for, or empty if it is not of a ticket's form. */
  public static Optional<OrderTicket> parse(String text) {
    Matcher matcher = FORM.matcher(text);
    return matcher.matches()
        ? Optional.of(
            new OrderTicket(
                matcher.group(1),
                matcher.group(2),
                matcher.group(3),
                Long.parseLong(matcher.group(4)),
                matcher.group(5)))
        : Optional.empty();
  }

  /** Returns the text form, at most 224 characters, safe in a URL path and a header. */
  public String text() {
    return signedText() + "~" + code;
  }

  /** Returns the part of the text that the code authenticates. */
  String signedText() {
    return signedText(service, serverId, incarnation, serial);
  }

  static String signedText(String service, String serverId, String incarnation, long serial) {
    return service + "~" + serverId + "~" + incarnation + "~" + serial;
  }
}
