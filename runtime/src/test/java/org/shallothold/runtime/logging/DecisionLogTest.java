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

  /** An output that takes nothing until it is unblocked. */
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

  private static DecisionLog start(OutputStream output) {
    return DecisionLog.start(new PrintStream(output, true, StandardCharsets.UTF_8), "p");
  }

  /** Guards against a reader of the output that stops and thereby stops the process. */
  @Test
  void blockedOutputBlocksNobodyAndLostLinesAreCounted() throws InterruptedException {
    BlockedOutput blocked = new BlockedOutput();
    DecisionLog log = start(blocked);
    // A writer that starts late would count the lines lost before its first batch in a line of
    // their own.
    log.add(LogLine.of("line"));
    blocked.entered.await();
    for (int i = 1; i < MORE_THAN_THE_RING; i++) {
      log.add(LogLine.of("line"));
    }
    long dropped = log.droppedLines();
    assertTrue(dropped > 0);
    blocked.unblocked.countDown();
    await(log, MORE_THAN_THE_RING - dropped + 1);
    assertTrue(
        written
            .toString(StandardCharsets.UTF_8)
            .contains("\"event\":\"log_lines_dropped\",\"count\":" + dropped));
  }

  /** Guards against lost lines that are counted twice or not at all when the writer lags. */
  @Test
  void lostLinesAreCountedOnceInAllLinesTogether() throws IOException {
    BlockedOutput blocked = new BlockedOutput();
    DecisionLog log = start(blocked);
    for (int i = 0; i < MORE_THAN_THE_RING; i++) {
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
