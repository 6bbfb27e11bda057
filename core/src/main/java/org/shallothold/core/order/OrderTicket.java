package org.shallothold.core.order;

import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A ticket that allows one order to run at most once. It names the only process that may run the
 * order: the incarnation of the sidecar that issued the ticket. Only the issuer can verify the
 * authentication code; see {@link TicketKey}. Immutable.
 *
 * @param service plain service that the order is for
 * @param serverId backend server whose sidecar issued the ticket
 * @param incarnation incarnation of that sidecar, 32 hexadecimal digits
 * @param serial number of the ticket within the incarnation, from 1
 * @param authenticationCode HMAC-SHA-256 of the other fields, in URL-safe base64 without padding
 */
public record OrderTicket(
    String service, String serverId, String incarnation, long serial, String authenticationCode) {

  // Fields are separated by tildes, which need no escaping in a URL and occur in no configured
  // name.
  private static final Pattern FORMAT =
      Pattern.compile(
          "([A-Za-z0-9][A-Za-z0-9._-]{0,63})~([A-Za-z0-9][A-Za-z0-9._-]{0,63})"
              + "~([0-9a-f]{32})~([1-9][0-9]{0,17})~([A-Za-z0-9_-]{43})");

  /** Parses the text form of a ticket; returns empty if the text does not have the format. */
  public static Optional<OrderTicket> parse(String text) {
    Matcher matcher = FORMAT.matcher(text);
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

  /**
   * Returns the text form: at most 224 characters, all of them safe in a URL path and in a header.
   */
  public String text() {
    return signedText() + "~" + authenticationCode;
  }

  /** Returns the part of the text form that the authentication code covers. */
  String signedText() {
    return signedText(service, serverId, incarnation, serial);
  }

  static String signedText(String service, String serverId, String incarnation, long serial) {
    return service + "~" + serverId + "~" + incarnation + "~" + serial;
  }
}
