package org.shallothold.runtime.logging;

import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;

/** Fields added to every log line of this process, such as its id and incarnation. Thread-safe. */
public final class LogContext {

  private static final Map<String, String> FIELDS = new ConcurrentHashMap<>();

  private LogContext() {}

  /** Sets a field on all later log lines, replacing an earlier value. */
  public static void put(String name, String value) {
    FIELDS.put(name, value);
  }

  static Map<String, String> fields() {
    return FIELDS;
  }
}
