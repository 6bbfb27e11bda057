package org.shallothold.runtime.logging;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import org.junit.jupiter.api.Test;

/** Structured lines, also when the output doesn't take them. */
class DecisionLogTest {

  private static final int MORE_THAN_THE_RING = 10_000;

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  private static void await(DecisionLog log, long lines) {
    while (log.writtenLines() < lines) {
      Thread.onSpinWait();
    }
  }

  @Test
  void lineIsOneJsonObjectWithItsFields() throws IOException {
    DecisionLog log =
        DecisionLog.start(new PrintStream(written, true, StandardCharsets.UTF_8), "p");
    log.add(LogLine.of("sent").with("server", "a\"b\nc").with("count", 3).with("last", true));
    await(log, 1);
    String text = written.toString(StandardCharsets.UTF_8);
    assertEquals(1, text.lines().count());
    JsonNode line = new ObjectMapper().readTree(text);
    assertEquals("p", line.path("process").asText());
    assertEquals("sent", line.path("event").asText());
    assertEquals("a\"b\nc", line.path("server").asText());
    assertEquals(3, line.path("count").asInt());
    assertTrue(line.path("last").asBoolean());
  }

  /** Guards against a reader of the output that stops and thereby stops the process. */
  @Test
  void blockedOutputBlocksNobodyAndLostLinesAreCounted() {
    CountDownLatch unblocked = new CountDownLatch(1);
    OutputStream blocked =
        new OutputStream() {
          @Override
          public void write(int value) throws IOException {
            try {
              unblocked.await();
            } catch (InterruptedException e) {
              throw new IOException(e);
            }
            written.write(value);
          }
        };
    DecisionLog log =
        DecisionLog.start(new PrintStream(blocked, true, StandardCharsets.UTF_8), "p");
    for (int i = 0; i < MORE_THAN_THE_RING; i++) {
      log.add(LogLine.of("line"));
    }
    long dropped = log.droppedLines();
    assertTrue(dropped > 0);
    unblocked.countDown();
    await(log, MORE_THAN_THE_RING - dropped + 1);
    assertTrue(
        written
            .toString(StandardCharsets.UTF_8)
            .contains("\"event\":\"log_lines_dropped\",\"count\":" + dropped));
  }
}
