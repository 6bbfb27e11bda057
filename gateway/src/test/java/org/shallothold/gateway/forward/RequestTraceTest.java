package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.OutputStream;
import java.io.PrintStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.shallothold.runtime.logging.StructuredLog;

/** Which requests' lines are written. */
class RequestTraceTest {

  private static final int REQUESTS = 200;
  private static final int LINES = 3;

  private final StructuredLog log =
      StructuredLog.start(new PrintStream(OutputStream.nullOutputStream(), true), "test");

  private long linesOf(boolean ordinary) {
    IntStream.range(0, REQUESTS)
        .forEach(
            number -> {
              RequestTrace trace = new RequestTrace(log, "request-" + number, 0);
              IntStream.range(0, LINES).forEach(line -> trace.line("step"));
              trace.end(ordinary);
            });
    log.flush();
    return log.writtenLines();
  }

  /** Guards against a failed request that left no trace. */
  @Test
  void allLinesOfRequestsThatWentWrongAreWritten() {
    long expected = (long) REQUESTS * LINES;
    long lines = linesOf(false);
    while (lines < expected) {
      Thread.onSpinWait();
      lines = log.writtenLines();
    }
    assertEquals(expected, lines);
  }

  /** Guards against a sample that holds some lines of a request and not the others. */
  @Test
  void ordinaryRequestsAreWrittenWholeOrNotAtAll() {
    long sampled =
        IntStream.range(0, REQUESTS)
            .filter(number -> Math.floorMod(("request-" + number).hashCode(), 16) == 0)
            .count();
    long lines = linesOf(true);
    while (lines < sampled * LINES) {
      Thread.onSpinWait();
      lines = log.writtenLines();
    }
    assertEquals(sampled * LINES, lines);
  }
}
