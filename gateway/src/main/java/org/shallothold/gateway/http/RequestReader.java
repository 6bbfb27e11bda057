package org.shallothold.gateway.http;

import com.google.protobuf.ByteString;
import io.netty.handler.codec.http.HttpHeaders;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.order.OrderTicket;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.ShallotholdException;
import org.shallothold.gateway.request.Call;
import org.shallothold.wire.proto.Header;

/**
 * Checks a request against one configuration. Made for each request, on the caller's event loop.
 *
 * @param configuration configuration in force when the request arrived
 * @param headers headers of the request
 * @param customer customer of the key
 */
record RequestReader(Configuration configuration, HttpHeaders headers, Customer customer) {

  static final String CLASS_HEADER = "Shallothold-Class";
  static final String DEADLINE_HEADER = "Shallothold-Deadline-Ms";
  static final String TICKET_HEADER = "Idempotency-Key";

  private static final long MOST_DEADLINE_MILLIS = 600_000;

  // Headers that belong to one connection or to this system.
  private static final Set<String> NOT_PASSED_ON =
      Set.of(
          "authorization",
          "connection",
          "content-length",
          "expect",
          "host",
          "idempotency-key",
          "keep-alive",
          "proxy-authenticate",
          "proxy-authorization",
          "te",
          "trailer",
          "transfer-encoding",
          "upgrade");

  /** Returns the class of the request. */
  ServiceClass serviceClass() {
    String named = headers.get(CLASS_HEADER);
    String name = named == null ? customer.classes().getFirst() : named;
    ServiceClass found =
        configuration
            .serviceClass(name)
            .orElseThrow(
                () -> ShallotholdException.of(ReasonCode.UNKNOWN_CLASS, "there is no such class"));
    if (!customer.classes().contains(name)) {
      throw ShallotholdException.of(
          ReasonCode.CLASS_NOT_ALLOWED, "the customer may not use this class");
    }
    return found;
  }

  /** Returns the time allowed for the whole answer, in milliseconds. */
  long deadlineMillis(ServiceClass serviceClass) {
    String named = headers.get(DEADLINE_HEADER);
    if (named == null) {
      return serviceClass.answerTargetMillis();
    }
    try {
      long millis = Long.parseLong(named.trim());
      if (millis >= 1 && millis <= MOST_DEADLINE_MILLIS) {
        return millis;
      }
    } catch (NumberFormatException e) {
      // Reported below, as a number out of range is.
    }
    throw CompletionReader.malformed(
        DEADLINE_HEADER + " must be a whole number from 1 to " + MOST_DEADLINE_MILLIS);
  }

  /** Returns the completion that a body asks for. */
  Call.Completion completion(byte[] body, ServiceClass serviceClass) {
    Call.Completion completion = CompletionReader.read(body);
    boolean reachable =
        serviceClass.servers().stream()
            .flatMap(id -> configuration.server(id).stream())
            .anyMatch(server -> server.models().contains(completion.model()));
    if (!reachable) {
      throw ShallotholdException.of(
          ReasonCode.UNKNOWN_MODEL, "the class reaches no server with this model");
    }
    return completion;
  }

  /** Returns a call of a plain service. */
  Call.Service service(ServicePath path, String method, byte[] body, ServiceClass serviceClass) {
    checkService(path.service(), serviceClass);
    boolean order =
        configuration.service(path.service()).orElseThrow().isOrder(method, path.path());
    String key = headers.get(TICKET_HEADER);
    String ticket = key == null ? "" : key.trim();
    if (order && !ticket.isEmpty() && OrderTicket.parse(ticket).isEmpty()) {
      throw ShallotholdException.of(
          ReasonCode.ORDER_TICKET_INVALID, TICKET_HEADER + " is not an order ticket");
    }
    return new Call.Service(
        path.service(),
        method,
        path.raw(),
        passedOn(order),
        ByteString.copyFrom(body),
        order,
        ticket);
  }

  /** Returns a wish for an order ticket. */
  Call.NewTicket newTicket(byte[] body, ServiceClass serviceClass) {
    String service = CompletionReader.parse(body).path("service").asText();
    if (service.isEmpty()) {
      throw CompletionReader.malformed("'service' must be a text");
    }
    checkService(service, serviceClass);
    return new Call.NewTicket(service);
  }

  private void checkService(String service, ServiceClass serviceClass) {
    if (configuration.service(service).isEmpty()) {
      throw ShallotholdException.of(ReasonCode.UNKNOWN_SERVICE, "there is no such service");
    }
    boolean reachable =
        serviceClass.servers().stream()
            .flatMap(id -> configuration.server(id).stream())
            .anyMatch(
                server ->
                    server.kind() == BackendServer.Kind.SERVICE
                        && server.service().equals(service));
    if (!reachable) {
      throw ShallotholdException.of(
          ReasonCode.CLASS_NOT_ALLOWED, "the class reaches no server of this service");
    }
  }

  private List<Header> passedOn(boolean order) {
    List<Header> passed = new ArrayList<>();
    headers.forEach(
        entry -> {
          String name = entry.getKey().toLowerCase(Locale.ROOT);
          boolean callersKey = name.equals("idempotency-key") && !order;
          if (!name.startsWith("shallothold-") && (callersKey || !NOT_PASSED_ON.contains(name))) {
            passed.add(Header.newBuilder().setName(name).setValue(entry.getValue()).build());
          }
        });
    return passed;
  }
}
