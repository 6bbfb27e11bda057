package org.shallothold.core.order;

import java.nio.charset.StandardCharsets;
import java.security.InvalidKeyException;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Base64;
import javax.crypto.Mac;
import javax.crypto.spec.SecretKeySpec;

/**
 * Signs and verifies the tickets of one incarnation. Created once per sidecar process from random
 * bytes that are never stored, so that no later process can issue or accept tickets of this
 * incarnation. Not thread-safe.
 */
public final class TicketKey {

  /** Length of the secret key, in bytes. */
  public static final int LENGTH_BYTES = 32;

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
   * Returns a key for the tickets of one incarnation.
   *
   * @param serverId backend server of the sidecar
   * @param incarnation incarnation of the sidecar, 32 hexadecimal digits
   * @param secret {@value #LENGTH_BYTES} random bytes
   */
  public static TicketKey of(String serverId, String incarnation, byte[] secret) {
    try {
      Mac mac = Mac.getInstance(ALGORITHM);
      mac.init(new SecretKeySpec(secret, ALGORITHM));
      return new TicketKey(serverId, incarnation, mac);
    } catch (NoSuchAlgorithmException | InvalidKeyException e) {
      throw new IllegalStateException("every Java platform has " + ALGORITHM, e);
    }
  }

  /** Returns a signed ticket for a service, with a serial number. */
  public OrderTicket sign(String service, long serial) {
    return new OrderTicket(
        service,
        serverId,
        incarnation,
        serial,
        authenticationCode(OrderTicket.signedText(service, serverId, incarnation, serial)));
  }

  /**
   * Returns whether a ticket names this server and this incarnation as its issuer; does not verify
   * the authentication code.
   */
  public boolean matchesIssuer(OrderTicket ticket) {
    return ticket.serverId().equals(serverId) && ticket.incarnation().equals(incarnation);
  }

  /**
   * Returns whether this key signed a ticket; compares the authentication codes in constant time.
   */
  public boolean verifies(OrderTicket ticket) {
    return matchesIssuer(ticket)
        && MessageDigest.isEqual(
            ticket.authenticationCode().getBytes(StandardCharsets.US_ASCII),
            authenticationCode(ticket.signedText()).getBytes(StandardCharsets.US_ASCII));
  }

  private String authenticationCode(String signedText) {
    return Base64.getUrlEncoder()
        .withoutPadding()
        .encodeToString(mac.doFinal(signedText.getBytes(StandardCharsets.US_ASCII)));
  }
}
