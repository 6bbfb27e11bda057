package org.shallothold.core.order;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Makes and checks the authentication codes of one incarnation's tickets. Made once per sidecar
 * process from random bytes that are never stored, so that no later process can issue or accept
 * this incarnation's tickets. Used by one thread.
 */
public final class TicketKey {

  /** Length of the random key, in bytes. */
  public static final int BYTES = 32;

  private static final String ALGORITHM = "HmacSHA256";

  private final String serverId;
  private final String incarnation;
  private final Mac mac;

  private TicketKey(String serverId, String incarnation, Mac mac) {
    this.serverId = serverId;
    this.incarnation = incarnation;
    this.mac = mac;
  }

  /**
   * Returns a key.
   *
   * @param serverId backend server of the sidecar
   * @param incarnation incarnation of the sidecar, 32 hexadecimal digits
   * @param random {@value #BYTES} random bytes
   */
  public static TicketKey of(String serverId, String incarnation, byte[] random) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(random, ALGORITHM));
      return new TicketKey(serverId, incarnation, mac);
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** Returns the ticket with a serial number. */
  public OrderTicket sign(String service, long serial) {
    return new OrderTicket(
        service,
        serverId,
        incarnation,
        serial,
        code(OrderTicket.signedText(service, serverId, incarnation, serial)));
  }

  /** Returns whether a ticket names this server and this incarnation; its code is not checked. */
  public boolean names(OrderTicket ticket) {
    return ticket.serverId().equals(serverId) && ticket.incarnation().equals(incarnation);
  }

  /** Returns whether this key signed a ticket; compares in constant time. */
  public boolean verifies(OrderTicket ticket) {
    return names(ticket)
        && MessageDigest.isEqual(
            ticket.code().getBytes(StandardCharsets.US_ASCII),
            code(ticket.signedText()).getBytes(StandardCharsets.US_ASCII));
  }

  private String code(String signedText) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(mac.doFinal(signedText.getBytes(StandardCharsets.US_ASCII)));
  }
}
