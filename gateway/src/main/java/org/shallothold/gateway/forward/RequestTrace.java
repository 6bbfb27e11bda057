package org.shallothold.gateway.forward;

import java.util.ArrayList;
import java.util.List;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * The log lines of one request. They are buffered until the request ends. Lines of routine requests
 * are written only for a sample of request ids, all others always. Owned by the event loop.
 */
final class RequestTrace {

  // One in this many routine requests is logged.
  private static final int SAMPLING_INTERVAL = 16;

  private final StructuredLog log;
  private final String requestId;
  private final long arrivedMillis;
  private final List<LogLine> lines = new ArrayList<>(6);

  RequestTrace(StructuredLog log, String requestId, long arrivedMillis) {
    this.log = log;
    this.requestId = requestId;
    this.arrivedMillis = arrivedMillis;
  }

  /** Adds a line with the request's id and age; the caller adds further fields to it. */
  LogLine addLine(String event) {
    LogLine line =
        LogLine.of(event)
            .with("request", requestId)
            .with("age_millis", MonotonicClock.millis() - arrivedMillis);
    lines.add(line);
    return line;
  }

  /**
   * Writes the lines, or discards them if the request was routine and isn't in the sample.
   *
   * @param routine whether the request was answered on time by the first server that it was sent to
   */
  void end(boolean routine) {
    if (!routine || Math.floorMod(requestId.hashCode(), SAMPLING_INTERVAL) == 0) {
      lines.forEach(log::add);
    }
    lines.clear();
  }
}
