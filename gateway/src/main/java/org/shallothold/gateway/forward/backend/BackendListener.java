package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.shallothold.gateway.forward.port.ResponseMetadata;

/**
 * Receives the response to one request to a backend server. Called on the event loop. Exactly one
 * of {@link #completed} and {@link #failed} ends the calls, unless the request is abandoned; then
 * no further method is called.
 */
public interface BackendListener {

  /** Called just before the request is written; from then on the server may run it. */
  void sending();

  /** Called once when the status line and the header fields of the response arrived. */
  void headReceived(HttpResponse head, ResponseMetadata metadata);

  /**
   * Called for each part of the response body. The buffer is not empty, and is released after the
   * method returns.
   */
  void contentReceived(ByteBuf content);

  /** Called when the response is complete according to its HTTP framing. */
  void completed();

  /**
   * Called when no complete response can arrive any more.
   *
   * @param reason description of the failure, for logs
   * @param neverSent whether nothing of the request left the gateway, so that it did not run
   */
  void failed(String reason, boolean neverSent);
}
