package org.shallothold.core.verdict;

import java.util.Locale;

/**
 * Machine-readable reason for a refusal or failure. The lower-case names are part of the HTTP and
 * process protocols, so constants may be added but never renamed.
 */
public enum ReasonCode {
  /** The request is malformed: invalid JSON, a missing field or an invalid header. */
  MALFORMED_REQUEST,
  /** The body is larger than the limit. */
  BODY_TOO_LARGE,
  /** The headers are larger than the limit. */
  HEADERS_TOO_LARGE,
  /** The request has no API key, or a key that belongs to no customer. */
  UNAUTHENTICATED,
  /** The customer may not use the requested service class. */
  CLASS_NOT_ALLOWED,
  /** The configuration has no service class of this name. */
  UNKNOWN_CLASS,
  /** No model of this name is available to the service class. */
  UNKNOWN_MODEL,
  /** There is no plain service of this name. */
  UNKNOWN_SERVICE,
  /** There is no resource at this path. */
  NOT_FOUND,
  /** The customer exceeds its rate limit. */
  CUSTOMER_LIMIT,
  /** The queue is full, and no request of a lower tier in it can be displaced. */
  QUEUE_FULL,
  /** The request was displaced from a full queue by a request of a higher tier. */
  DISPLACED,
  /** The request can't start before its deadline. */
  DEADLINE,
  /** The engines can't finish the expected output before the deadline. */
  CANNOT_FINISH,
  /** No available backend server could take the request. */
  NO_SERVER,
  /** The operators evacuate the failure domains of all servers of the service. */
  FAILURE_DOMAINS_EVACUATED,
  /** Every available backend server gets as many requests as it takes from all gateways. */
  SERVER_RATE_LIMIT,
  /** Backend servers ended on requests with a part of the prompt. */
  PROMPT_PART_BLOCKED,
  /** The gateway's memory for buffered requests and responses is used up. */
  MEMORY_FULL,
  /** The backend server is leaving. */
  SERVER_LEAVING,
  /** The gateway is shutting down; the caller should use another one. */
  GATEWAY_LEAVING,
  /**
   * The request was submitted under an older configuration and the sidecar's newer one forbids it,
   * or under a newer configuration that the sidecar did not get in time.
   */
  CONFIGURATION_BEHIND,
  /** The process has no configuration yet. */
  NOT_CONFIGURED,
  /** The caller cancelled the request. */
  CANCELLED,
  /** The connection between two processes was lost, or no answer arrived in time. */
  CONNECTION_LOST,
  /** The backend server failed, or its answer ended without the end mark. */
  BACKEND_FAILED,
  /** The order has no ticket. */
  ORDER_TICKET_REQUIRED,
  /** No process of the system issued the ticket. */
  ORDER_TICKET_INVALID,
  /** A process that has ended issued the ticket, so it is unknown whether the order ran. */
  TICKET_OF_FORMER_INCARNATION,
  /** The state of the ticket is no longer kept. */
  TICKET_EXPIRED,
  /** The ticket was sealed; its order never runs. */
  TICKET_SEALED,
  /** The ticket was used before with other request content. */
  TICKET_REUSED,
  /** The sidecar is fenced: it may no longer control its backend server. */
  FENCED,
  /** Internal error. */
  INTERNAL;

  private final String code = name().toLowerCase(Locale.ROOT);

  /** Returns the code as used in messages, in lower case. */
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
