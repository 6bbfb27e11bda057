package org.shallothold.sidecar.work;

import java.net.URI;
import java.net.URISyntaxException;
import java.util.Optional;
import java.util.regex.Pattern;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.Customer;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.proto.ServiceCall;
import org.shallothold.wire.proto.Submit;

/** Checks submissions against this sidecar's own newest configuration; stateless. */
final class Admission {

  private static final Pattern METHOD = Pattern.compile("[A-Z]{1,16}");

  // Forms that a service may read as another path than the one that the order rules were matched
  // against, so that an order could pass as a repeatable call: empty and dot segments, parameters,
  // and escapes of characters that need none.
  private static final Pattern AMBIGUOUS_PATH =
      Pattern.compile(
          "//|/\\.\\.?(/|$)|[\\\\;]"
              + "|%(2[dDeEfF]|3[0-9]|[46][1-9a-fA-F]|[57][0-9aA]|5[cCfF]|7[eE])");

  private Admission() {}

  /** Returns why a submission is refused; empty if it is allowed. */
  static Optional<ReasonCode> refusal(Configuration configuration, String serverId, Submit submit) {
    if (configuration.version().number() == 0) {
      return Optional.of(ReasonCode.NOT_CONFIGURED);
    }
    Optional<ReasonCode> forbidden = forbidden(configuration, serverId, submit);
    // A gateway that knows an older version made a choice that was right then.
    boolean behind = submit.getVersion().getNumber() < configuration.version().number();
    return forbidden
        .map(reason -> behind ? ReasonCode.CONFIGURATION_BEHIND : reason)
        .or(() -> malformed(configuration, submit));
  }

  /** Returns whether a call may not be repeated. */
  static boolean isOrder(Configuration configuration, ServiceCall call) {
    return !call.getOrderTicket().isEmpty()
        || configuration
            .service(call.getService())
            .filter(service -> service.isOrder(call.getMethod(), pathOf(call)))
            .isPresent();
  }

  private static Optional<ReasonCode> forbidden(
      Configuration configuration, String serverId, Submit submit) {
    Optional<ServiceClass> serviceClass = configuration.serviceClass(submit.getServiceClass());
    if (serviceClass.isEmpty()) {
      return Optional.of(ReasonCode.UNKNOWN_CLASS);
    }
    Optional<Customer> customer = configuration.customer(submit.getCustomer());
    if (customer.isEmpty() || !customer.get().classes().contains(submit.getServiceClass())) {
      return Optional.of(ReasonCode.CLASS_NOT_ALLOWED);
    }
    Optional<BackendServer> server = configuration.server(serverId);
    if (server.isEmpty() || !serviceClass.get().servers().contains(serverId)) {
      return Optional.of(ReasonCode.NO_SERVER);
    }
    return switch (submit.getWorkCase()) {
      case COMPLETION ->
          server.get().models().contains(submit.getCompletion().getModel())
              ? Optional.empty()
              : Optional.of(ReasonCode.UNKNOWN_MODEL);
      case SERVICE_CALL ->
          server.get().kind() == BackendServer.Kind.SERVICE
                  && server.get().service().equals(submit.getServiceCall().getService())
              ? Optional.empty()
              : Optional.of(ReasonCode.UNKNOWN_SERVICE);
      case WORK_NOT_SET -> Optional.empty();
    };
  }

  private static Optional<ReasonCode> malformed(Configuration configuration, Submit submit) {
    if (!submit.hasServiceCall()) {
      return submit.hasCompletion() ? Optional.empty() : Optional.of(ReasonCode.MALFORMED_REQUEST);
    }
    ServiceCall call = submit.getServiceCall();
    if (!METHOD.matcher(call.getMethod()).matches() || !isPlainPath(call)) {
      return Optional.of(ReasonCode.MALFORMED_REQUEST);
    }
    return isOrder(configuration, call) && call.getOrderTicket().isEmpty()
        ? Optional.of(ReasonCode.ORDER_TICKET_REQUIRED)
        : Optional.empty();
  }

  private static boolean isPlainPath(ServiceCall call) {
    try {
      new URI(call.getPath());
    } catch (URISyntaxException e) {
      return false;
    }
    String path = pathOf(call);
    return path.startsWith("/") && !AMBIGUOUS_PATH.matcher(path).find();
  }

  /** Returns the path without its query. */
  private static String pathOf(ServiceCall call) {
    int query = call.getPath().indexOf('?');
    return query < 0 ? call.getPath() : call.getPath().substring(0, query);
  }
}
