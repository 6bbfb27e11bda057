package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;

/**
 * Sends the response to one request of a caller: either {@link #sendResponse}, or {@link
 * #beginStream}, any number of {@link #sendEvents} and {@link #endStream}. After the caller
 * disconnected nothing is sent. Used on the event loop only.
 */
public interface CallerExchange {

  /**
   * Sends a complete response and releases its body. Sets the {@code Content-Length} field to the
   * length of the body, unless the body is empty and the field is present, as in a response to
   * HEAD.
   */
  void sendResponse(HttpResponseStatus status, HttpHeaders headers, ByteBuf body);

  /** Sends the status line and the header fields of a streamed response. */
  void beginStream(HttpResponseStatus status, HttpHeaders headers);

  /** Sends one or more complete events of a stream and releases their buffer. */
  void sendEvents(ByteBuf events);

  /** Ends a stream, so that the caller sees it as complete. */
  void endStream();

  /** Closes the connection, so that the caller sees that its response is incomplete. */
  void abort();

  /** Returns whether the outgoing buffer is below its high-water mark. */
  boolean isWritable();
}
