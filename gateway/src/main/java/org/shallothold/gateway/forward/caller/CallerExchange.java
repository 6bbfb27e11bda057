package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/** The caller's side of one request. Owned by the event loop. */
public interface CallerExchange {

  /** Sends a whole answer. Takes over the body. */
  void answer(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the head of a stream. */
  void beginStream(HttpResponseStatus status, HttpHeaders headers);

  /** Sends whole events of a stream. Takes over the buffer. */
  void events(ByteBuf events);

  /** Ends a stream as complete. */
  void endStream();

  /** Closes the connection, so that the caller sees that its answer is not complete. */
  void abort();

  /** Returns whether the caller takes more now. */
  boolean isWritable();
}
