package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.shallothold.runtime.logging.StructuredLog;

/** Sampling of the log lines of requests. */
class RequestTraceTest {

  private static final int REQUEST_COUNT = 200;
  private static final int LINES_PER_REQUEST = 3;

  private final StructuredLog log =
      StructuredLog.start(new PrintStream(OutputStream.nullOutputStream(), true), "test");

  private long traceRequests(boolean routine) {
    IntStream.range(0, REQUEST_COUNT)
        .forEach(
            number -> {
              RequestTrace trace = new RequestTrace(log, "request-" + number, 0);
              IntStream.range(0, LINES_PER_REQUEST).forEach(line -> trace.addLine("step"));
              trace.end(routine);
            });
    log.flush();
    return log.writtenLines();
  }

  /** Guards against losing log lines of a failed request to sampling. */
  @Test
  void linesOfNonRoutineRequestsAreAllWritten() {
    long expected = (long) REQUEST_COUNT * LINES_PER_REQUEST;
    long lines = traceRequests(false);
    while (lines < expected) {
      Thread.onSpinWait();
      lines = log.writtenLines();
    }
    assertEquals(expected, lines);
  }

  /** Guards against a sample that contains only some of the lines of a request. */
  @Test
  void linesOfRoutineRequestsAreWrittenTogetherOrNotAtAll() {
    long sampledRequests =
        IntStream.range(0, REQUEST_COUNT)
            .filter(number -> Math.floorMod(("request-" + number).hashCode(), 16) == 0)
            .count();
    long lines = traceRequests(true);
    while (lines < sampledRequests * LINES_PER_REQUEST) {
      Thread.onSpinWait();
      lines = log.writtenLines();
    }
    assertEquals(sampledRequests * LINES_PER_REQUEST, lines);
  }
}
