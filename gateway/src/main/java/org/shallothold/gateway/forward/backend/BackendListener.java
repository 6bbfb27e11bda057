package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpResponse;
import org.shallothold.gateway.forward.port.AnswerFacts;

/** Takes the answer to one request sent to a backend server. Called on the event loop. */
public interface BackendListener {

  /** The request is about to be written, so from here on it may run. */
  void sending();

  /** The head of the answer arrived. */
  void head(HttpResponse head, AnswerFacts facts);

  /** A part of the answer's body arrived; the buffer is released by the caller of this method. */
  void content(ByteBuf content);

  /** The answer ended as its framing says. */
  void end();

  /**
   * There is no more to come.
   *
   * @param neverSent whether nothing of the request left the gateway
   */
  void failed(String reason, boolean neverSent);
}
