package org.shallothold.runtime.operator;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.protobuf.ByteString;
import java.util.Locale;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Function;
import java.util.function.Supplier;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.AuditReport;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ExplainReport;
import org.shallothold.wire.proto.StatusReport;

/**
 * Answers the operators' command: status, explain and the audit trail. Made once per process, which
 * passes it the messages of its connections; may be shared between threads. The suppliers are
 * called on Netty's threads and must neither block nor change anything.
 */
public final class OperatorEndpoint {

  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final ProcessIdentity identity;
  private final AuditOutput audit;
  private final Supplier<ConfigurationVersion> version;
  private final BooleanSupplier leaving;
  private final Supplier<Load> load;
  private final Supplier<ObjectNode> details;
  private final Function<String, Optional<ObjectNode>> explain;

  private OperatorEndpoint(
      ProcessIdentity identity,
      AuditOutput audit,
      Supplier<ConfigurationVersion> version,
      BooleanSupplier leaving,
      Supplier<Load> load,
      Supplier<ObjectNode> details,
      Function<String, Optional<ObjectNode>> explain) {
    this.identity = identity;
    this.audit = audit;
    this.version = version;
    this.leaving = leaving;
    this.load = load;
    this.details = details;
    this.explain = explain;
  }

  /**
   * Work of a process.
   *
   * @param running requests running; of a gateway: requests in flight
   * @param waiting requests waiting; 0 for a gateway, which has no queue
   */
  public record Load(int running, int waiting) {}

  /**
   * Returns an endpoint.
   *
   * @param version version in force, as {@code () -> sync.current().version()}
   * @param leaving whether the process is leaving
   * @param load work at the moment
   * @param details further facts for {@code status --output json}, perhaps empty
   * @param explain what the process knows of a request id; empty if nothing
   */
  public static OperatorEndpoint of(
      ProcessIdentity identity,
      AuditOutput audit,
      Supplier<ConfigurationVersion> version,
      BooleanSupplier leaving,
      Supplier<Load> load,
      Supplier<ObjectNode> details,
      Function<String, Optional<ObjectNode>> explain) {
    return new OperatorEndpoint(identity, audit, version, leaving, load, details, explain);
  }

  /** Takes an operator's message; returns false if the message is of another kind. */
  public boolean received(PeerConnection connection, Envelope envelope) {
    switch (envelope.getMessageCase()) {
      case STATUS_REQUEST ->
          connection.send(
              Envelope.newBuilder()
                  .setStatusReport(
                      StatusReport.newBuilder()
                          .setCallNumber(envelope.getStatusRequest().getCallNumber())
                          .setJson(bytes(status())))
                  .build());
      case EXPLAIN_REQUEST ->
          connection.send(
              Envelope.newBuilder()
                  .setExplainReport(
                      ExplainReport.newBuilder()
                          .setCallNumber(envelope.getExplainRequest().getCallNumber())
                          .setJson(explanation(envelope.getExplainRequest().getRequestId())))
                  .build());
      case AUDIT_REQUEST ->
          connection.send(
              Envelope.newBuilder()
                  .setAuditReport(
                      AuditReport.newBuilder()
                          .setCallNumber(envelope.getAuditRequest().getCallNumber())
                          .setJson(bytes(auditEvents())))
                  .build());
      default -> {
        return false;
      }
    }
    return true;
  }

  private ObjectNode status() {
    ConfigurationVersion inForce = version.get();
    Load work = load.get();
    ObjectNode node = MAPPER.createObjectNode();
    node.put("process", identity.processId());
    node.put("role", identity.role().name().replace("ROLE_", "").toLowerCase(Locale.ROOT));
    node.put("incarnation", identity.incarnationText());
    node.put("failure_domain", identity.failureDomain());
    node.put("server_id", identity.serverId());
    node.put("config_version", inForce.number());
    node.put("config_digest", inForce.digest());
    node.put("leaving", leaving.getAsBoolean());
    node.put("running", work.running());
    node.put("waiting", work.waiting());
    node.set("details", details.get());
    return node;
  }

  // Empty bytes say that the process knows nothing of the request.
  private ByteString explanation(String requestId) {
    return explain.apply(requestId).map(OperatorEndpoint::bytes).orElse(ByteString.EMPTY);
  }

  private ArrayNode auditEvents() {
    ArrayNode events = MAPPER.createArrayNode();
    audit.trail().events().forEach(event -> events.add(audit.toJson(event)));
    return events;
  }

  private static ByteString bytes(JsonNode node) {
    try {
      return ByteString.copyFrom(MAPPER.writeValueAsBytes(node));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }
}
