package org.shallothold.sidecar.work;

import java.util.Map;

/** Takes audit events without blocking. */
public interface AuditSink {

  /** Records an event. */
  void record(String action, Map<String, String> fields);
}
