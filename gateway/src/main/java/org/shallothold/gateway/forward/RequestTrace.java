package org.shallothold.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * The log lines of one request. They are kept until its end, and written if it failed or its id is
 * in the sample of ordinary ones. Owned by the event loop.
 */
final class RequestTrace {

  /** One of this many requests that went well is written. */
  private static final int SAMPLE = 16;

  private final StructuredLog log;
  private final String requestId;
  private final long arrivedMillis;
  private final List<LogLine> lines = new ArrayList<>(6);

  RequestTrace(StructuredLog log, String requestId, long arrivedMillis) {
    this.log = log;
    this.requestId = requestId;
    this.arrivedMillis = arrivedMillis;
  }

  /** Adds a line with the request's id and age. */
  LogLine line(String event) {
    LogLine line =
        LogLine.of(event)
            .with("request", requestId)
            .with("age_millis", Clock.millis() - arrivedMillis);
    lines.add(line);
    return line;
  }

  /** Writes the lines, or forgets them if the request went well and isn't in the sample. */
  void end(boolean ordinary) {
    if (!ordinary || Math.floorMod(requestId.hashCode(), SAMPLE) == 0) {
      lines.forEach(log::add);
    }
    lines.clear();
  }
}
