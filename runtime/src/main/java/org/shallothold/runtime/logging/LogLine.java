package org.shallothold.runtime.logging;

import java.util.Collections;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * Builder of a structured log line: an event name, a timestamp and fields in insertion order. Not
 * thread-safe; must not be changed after it was added to a log.
 */
public final class LogLine {

  private final String event;
  private final long timestampMillis;
  private final Map<String, Object> fields = new LinkedHashMap<>();

  private LogLine(String event, long timestampMillis) {
    this.event = event;
    this.timestampMillis = timestampMillis;
  }

  /** Returns a line without fields, with the current time as its timestamp. */
  public static LogLine of(String event) {
    return new LogLine(event, System.currentTimeMillis());
  }

  /** Sets a text field and returns this line. */
  public LogLine with(String name, String value) {
    fields.put(name, value);
    return this;
  }

  /** Sets a numeric field and returns this line. */
  public LogLine with(String name, long value) {
    fields.put(name, value);
    return this;
  }

  /** Sets a boolean field and returns this line. */
  public LogLine with(String name, boolean value) {
    fields.put(name, value);
    return this;
  }

  /** Returns the name of the event. */
  public String event() {
    return event;
  }

  long timestampMillis() {
    return timestampMillis;
  }

  Map<String, Object> fields() {
    return Collections.unmodifiableMap(fields);
  }
}
