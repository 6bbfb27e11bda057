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
 * Writes audit events to a stream as JSON lines and keeps the latest events in memory. Thread-safe.
 */
public final class AuditOutput {

  private static final int TRAIL_CAPACITY_EVENTS = 2_048;
  private static final ObjectMapper MAPPER = new ObjectMapper();

  private final AuditTrail trail = AuditTrail.ofCapacity(TRAIL_CAPACITY_EVENTS);
  private final PrintStream output;
  private final String processId;

  private AuditOutput(PrintStream output, String processId) {
    this.output = output;
    this.processId = processId;
  }

  /**
   * Returns an output that writes to a stream.
   *
   * @param processId id of this process, written with every event
   */
  public static AuditOutput to(PrintStream output, String processId) {
    return new AuditOutput(output, processId);
  }

  /** Adds an event with the current time to the trail and writes it to the stream. */
  public void record(String action, Map<String, String> fields) {
    AuditEvent event = AuditEvent.of(System.currentTimeMillis(), action, fields);
    trail.add(event);
    try {
      output.println(MAPPER.writeValueAsString(toJson(event)));
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("cannot serialize an audit event as JSON", e);
    }
  }

  /** Returns the trail of the latest events. */
  public AuditTrail trail() {
    return trail;
  }

  /** Returns an event as the JSON object that is written to the stream. */
  public ObjectNode toJson(AuditEvent event) {
    ObjectNode node = MAPPER.createObjectNode();
    node.put("audit", event.action());
    node.put("time", Instant.ofEpochMilli(event.timeMillis()).toString());
    node.put("process", processId);
    event.fields().forEach(node::put);
    return node;
  }
}
