package org.shallothold.gateway.request;

import java.util.List;
import org.shallothold.wire.proto.ServiceAnswer;

/**
 * Sends the answer of one request to its caller. Called on the router thread; implementations must
 * not block. Every method except {@link #tokens} ends the request; exactly one of them is called,
 * and no method is called after it. If the caller disconnects first, none of them is called.
 */
public interface Responder {

  /**
   * Sends the next tokens of a streamed answer.
   *
   * @return false if the caller reads too slowly to accept them; the request must then be abandoned
   */
  boolean tokens(List<String> tokens);

  /**
   * Sends or completes the whole answer and ends the request.
   *
   * @param tokens all tokens of the answer, including those already streamed
   * @param finishReason finish reason reported by the engine
   */
  void completed(List<String> tokens, String finishReason);

  /** Sends the answer of a plain service and ends the request. */
  void answered(ServiceAnswer answer);

  /** Sends a new order ticket and ends the request. */
  void ticket(String ticket);

  /** Sends the state of an order ticket and ends the request. */
  void ticketState(String ticket, String state);

  /**
   * Ends the request with a failure. If tokens were already streamed, the stream ends with an
   * error.
   */
  void failed(Failure failure);
}
