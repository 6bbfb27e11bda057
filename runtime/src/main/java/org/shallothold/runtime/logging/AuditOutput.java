package org.shallothold.runtime.logging;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.time.Instant;
import java.util.Map;
import org.shallothold.core.audit.AuditEvent;
import org.shallothold.core.audit.AuditTrail;

/**
 * Writes audit events to standard output as JSON lines and keeps the latest in memory. May be
 * shared between threads.
 */
public final class AuditOutput {

  private static final int KEPT_EVENTS = 2_048;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final AuditTrail trail = AuditTrail.ofCapacity(KEPT_EVENTS);
  private final PrintStream output;
  private final String processId;

  private AuditOutput(PrintStream output, String processId) {
    this.output = output;
    this.processId = processId;
  }

  /** Returns an output that writes to a stream. */
  public static AuditOutput to(PrintStream output, String processId) {
    return new AuditOutput(output, processId);
  }

  /** Records an event. */
  public void record(String action, Map<String, String> fields) {
    AuditEvent event = AuditEvent.of(System.currentTimeMillis(), action, fields);
    trail.add(event);
    try {
      output.println(MAPPER.writeValueAsString(toJson(event)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("text fields can always be written as JSON", e);
    }
  }

  /** Returns the kept events. */
  public AuditTrail trail() {
    return trail;
  }

  /** Returns the JSON form of an event, as written to the output. */
  public ObjectNode toJson(AuditEvent event) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("audit", event.action());
    node.put("time", Instant.ofEpochMilli(event.timeMillis()).toString());
    node.put("process", processId);
    event.fields().forEach(node::put);
    return node;
  }
}
