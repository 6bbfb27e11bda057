package org.shallothold.gateway.http;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.LinkedHashMap;
import java.util.Map;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.gateway.request.Failure;

/** The HTTP form of failures; stateless. */
final class HttpErrors {

  private static final long MILLIS_PER_SECOND = 1_000;

  private HttpErrors() {}

  static Reply.Whole reply(Failure failure) {
    Map<String, String> headers = new LinkedHashMap<>();
    headers.put("Shallothold-Verdict", failure.verdict().wireName());
    if (failure.retryAfterMillis() > 0) {
      long seconds = Math.ceilDiv(failure.retryAfterMillis(), MILLIS_PER_SECOND);
      headers.put("Retry-After", Long.toString(seconds));
    }
    if (!failure.orderTicket().isEmpty()) {
      headers.put("Order-Ticket", failure.orderTicket());
    }
    if (failure.reason() == ReasonCode.UNAUTHENTICATED) {
      headers.put("WWW-Authenticate", "Bearer");
    }
    return new Reply.Whole(
        status(failure.reason()),
        "application/json",
        headers,
        body(failure).toString().getBytes(StandardCharsets.UTF_8));
  }

  static ObjectNode body(Failure failure) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    ObjectNode error = node.putObject("error");
    error.put("code", failure.reason().code());
    error.put("message", failure.message());
    error.put("verdict", failure.verdict().wireName());
    return node;
  }

  static int status(ReasonCode reason) {
    return switch (reason) {
      case MALFORMED_REQUEST, UNKNOWN_CLASS, ORDER_TICKET_INVALID -> 400;
      case UNAUTHENTICATED -> 401;
      case CLASS_NOT_ALLOWED -> 403;
      case UNKNOWN_MODEL, UNKNOWN_SERVICE, NOT_FOUND -> 404;
      case TICKET_OF_FORMER_INCARNATION, TICKET_EXPIRED, TICKET_SEALED -> 409;
      case BODY_TOO_LARGE -> 413;
      case TICKET_REUSED -> 422;
      case ORDER_TICKET_REQUIRED -> 428;
      case CUSTOMER_LIMIT -> 429;
      case HEADERS_TOO_LARGE -> 431;
      case INTERNAL -> 500;
      case CONNECTION_LOST, BACKEND_FAILED -> 502;
      case QUEUE_FULL,
          CANNOT_FINISH,
          SERVER_RATE_LIMIT,
          PROMPT_PART_BLOCKED,
          DISPLACED,
          NO_SERVER,
          FAILURE_DOMAINS_EVACUATED,
          SERVER_LEAVING,
          GATEWAY_LEAVING,
          MEMORY_FULL,
          CONFIGURATION_BEHIND,
          NOT_CONFIGURED,
          CANCELLED,
          FENCED ->
          503;
      case DEADLINE -> 504;
    };
  }
}
