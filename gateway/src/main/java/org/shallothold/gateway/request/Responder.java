package org.shallothold.gateway.request;

import java.util.List;
import org.shallothold.wire.proto.ServiceAnswer;

/**
 * The caller's side of one request. Called on the thread that owns the requests; must not block.
 * Exactly one of the methods but {@link #tokens} ends the request, and nothing is called after it.
 */
public interface Responder {

  /**
   * Sends the next tokens of a streamed answer.
   *
   * @return false if the caller reads too slowly to take them; the request must then be given up
   */
  boolean tokens(List<String> tokens);

  /**
   * Ends a complete answer.
   *
   * @param tokens the whole answer
   * @param finishReason the engine's reason to end
   */
  void completed(List<String> tokens, String finishReason);

  /** Sends a plain service's answer. */
  void answered(ServiceAnswer answer);

  /** Sends an order ticket. */
  void ticket(String ticket);

  /** Sends the state of an order ticket. */
  void ticketState(String ticket, String state);

  /** Ends the request without an answer; after tokens this breaks the stream off with an error. */
  void failed(Failure failure);
}
