package org.shallothold.runtime.logging;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * One structured line under construction: an event and its fields in order. Owned by the thread
 * that makes it until it is added to a log, and not changed afterwards.
 */
public final class LogLine {

  private final String event;
  private final long wallMillis;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private LogLine(String event, long wallMillis) {
    this.event = event;
    this.wallMillis = wallMillis;
  }

  /** Returns a line without fields, at the present time of day. */
  public static LogLine of(String event) {
    return new LogLine(event, System.currentTimeMillis());
  }

  /** Adds a text. */
  public LogLine with(String name, String value) {
    fields.put(name, value);
    return this;
  }

  /** Adds a number. */
  public LogLine with(String name, long value) {
    fields.put(name, value);
    return this;
  }

  /** Adds a truth value. */
  public LogLine with(String name, boolean value) {
    fields.put(name, value);
    return this;
  }

  /** Returns the event. */
  public String event() {
    return event;
  }

  long wallMillis() {
    return wallMillis;
  }

  Map<String, Object> fields() {
    return Collections.unmodifiableMap(fields);
  }
}
