package org.shallothold.core.verdict;

import java.util.Locale;

/**
 * Machine-readable reason of a refusal or failure. The lower-case name is part of the HTTP and
 * process protocols, so constants are added but never renamed.
 */
public enum ReasonCode {
  /** The request is malformed: bad JSON, a missing field, a header that can't be used. */
  MALFORMED_REQUEST,
  /** The body is larger than the limit. */
  BODY_TOO_LARGE,
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE,
  /** No key, or a key that belongs to no customer. */
  UNAUTHENTICATED,
  /** The customer may not use the class that it asked for. */
  CLASS_NOT_ALLOWED,
  /** No class of this name in the configuration. */
  UNKNOWN_CLASS,
  /** No model of this name within reach of the class. */
  UNKNOWN_MODEL,
  /** No plain service of this name. */
  UNKNOWN_SERVICE,
  /** No path of this name. */
  NOT_FOUND,
  /** The customer is over its limit of requests. */
  CUSTOMER_LIMIT,
  /** The waiting queue holds only work of the same or a higher tier. */
  QUEUE_FULL,
  /** Displaced from a full queue by work of a higher tier. */
  DISPLACED,
  /** The request can't start before its deadline. */
  DEADLINE,
  /** No backend server within reach could take the request. */
  NO_SERVER,
  /** The backend server is leaving. */
  SERVER_LEAVING,
  /** The gateway is shutting down and another one is to be asked. */
  GATEWAY_LEAVING,
  /** The submission was made under a configuration that a newer one forbids. */
  CONFIGURATION_BEHIND,
  /** The process holds no configuration yet. */
  NOT_CONFIGURED,
  /** The caller gave the request up. */
  CANCELLED,
  /** The connection between two processes was lost, or no answer came in time. */
  CONNECTION_LOST,
  /** The backend server failed or ended its answer without the end mark. */
  BACKEND_FAILED,
  /** An order came without a ticket. */
  ORDER_TICKET_REQUIRED,
  /** The ticket is not one that any process of the system issued. */
  ORDER_TICKET_INVALID,
  /** The ticket was issued by a process that has ended, so nobody knows whether the order ran. */
  TICKET_OF_FORMER_INCARNATION,
  /** The ticket's record has left the bounded memory. */
  TICKET_EXPIRED,
  /** The ticket was sealed; an order under it never runs. */
  TICKET_SEALED,
  /** The ticket was used before with another request body. */
  TICKET_REUSED,
  /** The sidecar no longer commands its backend server. */
  FENCED,
  /** A fault inside the system. */
  INTERNAL;

  private final String code = name().toLowerCase(Locale.ROOT);

  /** Returns the code as it stands in messages, in lower case. */
  public String code() {
    return code;
  }

  /**
   * Returns the constant for a code from a message, or {@link #INTERNAL} if the code is unknown.
   */
  public static ReasonCode fromCode(String code) {
    for (ReasonCode reason : values()) {
      if (reason.code.equals(code)) {
        return reason;
      }
    }
    return INTERNAL;
  }
}
