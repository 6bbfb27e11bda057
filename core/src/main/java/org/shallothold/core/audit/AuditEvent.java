package org.shallothold.core.audit;

import java.util.Map;
import java.util.TreeMap;

/**
 * An event of the audit trail: a change with its author, or an action that the system took by
 * itself.
 *
 * @param timeMillis time of the event, in milliseconds since the epoch
 * @param action name of the action, for example {@code configuration_accepted}
 * @param fields details of the event, by name
 */
public record AuditEvent(long timeMillis, String action, Map<String, String> fields) {

  /** Makes an immutable copy of the map, sorted by name. */
  public AuditEvent {
    fields = java.util.Collections.unmodifiableMap(new TreeMap<>(fields));
  }

  /** Returns an event with the given time, action and details. */
  public static AuditEvent of(long timeMillis, String action, Map<String, String> fields) {
    return new AuditEvent(timeMillis, action, fields);
  }
}
