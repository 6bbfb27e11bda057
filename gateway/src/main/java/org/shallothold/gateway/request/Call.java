package org.shallothold.gateway.request;

import com.google.protobuf.ByteString;
import java.util.List;
import org.shallothold.wire.proto.Header;

/** What a caller wants done. */
public sealed interface Call {

  /**
   * A completion by a model.
   *
   * @param model name of the model
   * @param body the caller's JSON as received
   * @param stream whether the caller wants tokens as they come
   * @param includeUsage whether a streamed answer ends with a usage event
   * @param expectedTokens estimate of the answer's length, for choosing a server
   * @param prefixHash hash of the start of the prompt, for choosing a server
   */
  record Completion(
      String model,
      ByteString body,
      boolean stream,
      boolean includeUsage,
      int expectedTokens,
      long prefixHash)
      implements Call {}

  /**
   * A call of a plain service.
   *
   * @param service name of the service
   * @param method HTTP method in upper case
   * @param path path below the service with its query
   * @param headers headers to pass on
   * @param body body as received
   * @param order whether the call may not be repeated
   * @param ticket the order's ticket; empty if there is none
   */
  record Service(
      String service,
      String method,
      String path,
      List<Header> headers,
      ByteString body,
      boolean order,
      String ticket)
      implements Call {
    /** Copies the list. */
    public Service {
      headers = List.copyOf(headers);
    }
  }

  /**
   * A wish for a new order ticket.
   *
   * @param service name of the service
   */
  record NewTicket(String service) implements Call {}

  /**
   * A question about a ticket, or the wish to seal it.
   *
   * @param ticket the ticket
   * @param seal whether to seal the ticket if it is unused
   */
  record TicketLookup(String ticket, boolean seal) implements Call {}

  /** Returns the size of the body that is held while the request is served, in bytes. */
  default int bodyBytes() {
    return switch (this) {
      case Completion completion -> completion.body().size();
      case Service service -> service.body().size();
      case NewTicket wish -> 0;
      case TicketLookup lookup -> 0;
    };
  }

  /** Returns whether a new ticket is wanted: asked for, or needed by an order without one. */
  default boolean isTicketWish() {
    return this instanceof NewTicket
        || (this instanceof Service service && service.order() && service.ticket().isEmpty());
  }

  /**
   * Returns whether this is an order with a ticket, or a question about one. Only the ticket's
   * sidecar may say "not run" of it.
   */
  default boolean namesTicket() {
    return switch (this) {
      case Service service -> service.order() && !service.ticket().isEmpty();
      case TicketLookup lookup -> true;
      case Completion completion -> false;
      case NewTicket wish -> false;
    };
  }
}
