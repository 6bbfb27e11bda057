package org.shallothold.command.logs;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;

/**
 * One line of a process's log.
 *
 * @param time time of day at the process
 * @param process name of the process
 * @param event what happened
 * @param fields all fields of the line
 */
public record LogEntry(Instant time, String process, String event, JsonNode fields) {

  /** Returns a field as text; empty if the line has none of this name. */
  public String text(String name) {
    return fields.path(name).asText("");
  }

  /** Returns whether the line belongs to a request. */
  public boolean isOf(String requestId) {
    return text("request").equals(requestId);
  }
}
