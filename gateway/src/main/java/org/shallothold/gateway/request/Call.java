package org.shallothold.gateway.request;

import com.google.protobuf.ByteString;
import java.util.List;
import org.shallothold.wire.proto.Header;

/** The operation that a caller requests: a completion, a service call or a ticket operation. */
public sealed interface Call {

  /**
   * A completion by a model.
   *
   * @param model name of the model
   * @param body the caller's JSON as received
   * @param stream whether tokens are streamed to the caller as they arrive
   * @param includeUsage whether a streamed answer ends with a usage event
   * @param expectedTokens estimated length of the answer in tokens, used to choose a server
   * @param prefixHash hash of the start of the prompt, used to prefer a server that has the prefix
   *     cached
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
   * @param path path relative to the service, with the query string
   * @param headers headers to forward
   * @param body body as received
   * @param order whether the call is an order, which must not run twice
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
    /** Makes a defensive copy of the headers. */
    public Service {
      headers = List.copyOf(headers);
    }
  }

  /**
   * A request for a new order ticket.
   *
   * @param service name of the service
   */
  record NewTicket(String service) implements Call {}

  /**
   * A request to read the state of an order ticket or to seal it.
   *
   * @param ticket the order ticket
   * @param seal whether to seal the ticket if it is unused
   */
  record TicketLookup(String ticket, boolean seal) implements Call {}

  /**
   * Returns the size of the body held in memory while the request is in flight, in bytes; 0 if
   * there is no body.
   */
  default int bodyBytes() {
    return switch (this) {
      case Completion completion -> completion.body().size();
      case Service service -> service.body().size();
      case NewTicket newTicket -> 0;
      case TicketLookup lookup -> 0;
    };
  }

  /**
   * Returns whether the call has to be answered with a new ticket: the caller asked for one, or
   * sent an order without one.
   */
  default boolean needsNewTicket() {
    return this instanceof NewTicket
        || (this instanceof Service service && service.order() && service.ticket().isEmpty());
  }

  /**
   * Returns whether the call refers to an existing ticket: an order with a ticket, or a ticket
   * lookup. Only the sidecar that issued the ticket may report such a call as "not run".
   */
  default boolean namesTicket() {
    return switch (this) {
      case Service service -> service.order() && !service.ticket().isEmpty();
      case TicketLookup lookup -> true;
      case Completion completion -> false;
      case NewTicket newTicket -> false;
    };
  }
}
