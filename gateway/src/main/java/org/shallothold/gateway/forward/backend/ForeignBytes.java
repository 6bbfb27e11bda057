package org.shallothold.gateway.forward.backend;

import java.util.Locale;

/**
 * Bytes that a backend server sent on a connection and that do not belong to the request in flight.
 *
 * @param place where the bytes were found
 * @param length number of bytes in the read part that holds them; 0 if they can't be counted
 * @param request id of the request in flight; empty if there is none
 * @param lastRequest id of the request that the connection carried before; empty if there was none
 * @param namedRequest id of the request that the bytes name; empty if they name none
 * @param connectionAgeMillis time since the connection was opened, in milliseconds
 * @param idleMillis time between the end of the last response and these bytes, in milliseconds; -1
 *     if there was no response
 */
public record ForeignBytes(
    Place place,
    int length,
    String request,
    String lastRequest,
    String namedRequest,
    long connectionAgeMillis,
    long idleMillis) {

  /** Where the bytes stand relative to the responses on the connection. */
  public enum Place {
    /** While no response was expected. */
    IDLE,
    /** After a complete response, in the same read. */
    AFTER_RESPONSE,
    /** A whole head before the response to the request in flight. */
    BEFORE_RESPONSE,
    /** Within the head of a response, which holds a part of another one. */
    WITHIN_HEAD,
    /** Within the body of the response to the request in flight. */
    WITHIN_BODY,
    /**
     * Somewhere in a head or chunk that can't be parsed. The bytes of another response are one
     * possible cause.
     */
    MALFORMED;

    /** Returns whether a request was in flight when the bytes were found. */
    public boolean isDuringRequest() {
      return this != IDLE && this != AFTER_RESPONSE;
    }

    /** Returns the name for logs and metrics. */
    public String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }
}
