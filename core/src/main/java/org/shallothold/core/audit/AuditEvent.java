package org.shallothold.core.audit;

import java.util.Map;
import java.util.TreeMap;

/**
 * One event of the audit trail: what changed, who changed it, and what the system did of itself.
 *
 * @param timeMillis milliseconds since the epoch
 * @param action short name, as {@code configuration_accepted}
 * @param fields further facts by name
 */
public record AuditEvent(long timeMillis, String action, Map<String, String> fields) {

  /** Copies the map, sorted by name. */
  public AuditEvent {
    fields = java.util.Collections.unmodifiableMap(new TreeMap<>(fields));
  }

  /** Returns an event. */
  public static AuditEvent of(long timeMillis, String action, Map<String, String> fields) {
    return new AuditEvent(timeMillis, action, fields);
  }
}
