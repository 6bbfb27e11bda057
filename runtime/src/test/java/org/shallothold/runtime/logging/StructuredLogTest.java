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

/** Tests the line format, and the counting of dropped lines when the output blocks. */
class StructuredLogTest {

  private static final int MORE_LINES_THAN_CAPACITY = 10_000;

  private final ByteArrayOutputStream written = new ByteArrayOutputStream();

  private static void awaitWritten(StructuredLog log, long lines) {
    while (log.writtenLines() < lines) {
      Thread.onSpinWait();
    }
  }

  @Test
  void writesLineAsOneJsonObjectWithItsFields() throws IOException {
    StructuredLog log =
        StructuredLog.start(new PrintStream(written, true, StandardCharsets.UTF_8), "p");
    log.add(LogLine.of("sent").with("server", "a\"b\nc").with("count", 3).with("last", true));
    awaitWritten(log, 1);
    String text = written.toString(StandardCharsets.UTF_8);
    assertEquals(1, text.lines().count());
    JsonNode line = new ObjectMapper().readTree(text);
    assertEquals("p", line.path("process").asText());
    assertEquals("sent", line.path("event").asText());
    assertEquals("a\"b\nc", line.path("server").asText());
    assertEquals(3, line.path("count").asInt());
    assertTrue(line.path("last").asBoolean());
  }

  /** Output stream whose writes block until it is unblocked. */
  private final class BlockedOutput extends OutputStream {

    private final CountDownLatch entered = new CountDownLatch(1);
    private final CountDownLatch unblocked = new CountDownLatch(1);

    @Override
    public void write(int value) throws IOException {
      entered.countDown();
      try {
        unblocked.await();
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
      written.write(value);
    }
  }

  private static StructuredLog start(OutputStream output) {
    return StructuredLog.start(new PrintStream(output, true, StandardCharsets.UTF_8), "p");
  }

  /** Guards against a stalled reader of the output blocking the threads that log. */
  @Test
  void blockedOutputDoesNotBlockCallersAndDroppedLinesAreCounted() throws InterruptedException {
    BlockedOutput blocked = new BlockedOutput();
    StructuredLog log = start(blocked);
    // Waits until the writer holds its first batch; a writer that starts later would report the
    // lines dropped before that batch separately.
    log.add(LogLine.of("line"));
    blocked.entered.await();
    for (int i = 1; i < MORE_LINES_THAN_CAPACITY; i++) {
      log.add(LogLine.of("line"));
    }
    long dropped = log.droppedLines();
    assertTrue(dropped > 0);
    blocked.unblocked.countDown();
    awaitWritten(log, MORE_LINES_THAN_CAPACITY - dropped + 1);
    assertTrue(
        written
            .toString(StandardCharsets.UTF_8)
            .contains("\"event\":\"log_lines_dropped\",\"count\":" + dropped));
  }

  /** Guards against dropped lines reported twice or not at all when the writer lags behind. */
  @Test
  void reportedDropCountsAddUpToDroppedLines() throws IOException {
    BlockedOutput blocked = new BlockedOutput();
    StructuredLog log = start(blocked);
    for (int i = 0; i < MORE_LINES_THAN_CAPACITY; i++) {
      log.add(LogLine.of("line"));
    }
    long dropped = log.droppedLines();
    blocked.unblocked.countDown();
    ObjectMapper mapper = new ObjectMapper();
    long counted = 0;
    while (counted < dropped) {
      counted = 0;
      String whole = written.toString(StandardCharsets.UTF_8);
      for (String line : whole.substring(0, whole.lastIndexOf('\n') + 1).lines().toList()) {
        JsonNode node = mapper.readTree(line);
        if (node.path("event").asText().equals("log_lines_dropped")) {
          counted += node.path("count").asLong();
        }
      }
    }
    assertEquals(dropped, counted);
  }
}
