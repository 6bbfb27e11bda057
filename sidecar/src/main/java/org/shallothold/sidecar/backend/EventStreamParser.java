package org.shallothold.sidecar.backend;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/**
 * Splits a stream of server-sent events into the texts of its data lines. Created per answer; used
 * by one thread at a time.
 */
final class EventStreamParser {

  private static final String DATA = "data:";
  // Far above one token's event; an engine that sends no line end must not fill the memory.
  private static final int MAX_LINE_BYTES = 1 << 20;

  private final ByteArrayOutputStream line = new ByteArrayOutputStream();

  /**
   * Takes the next bytes.
   *
   * @return the data texts that are complete now
   * @throws IllegalStateException if a line is too long
   */
  List<String> feed(ByteBuffer bytes) {
    List<String> texts = new ArrayList<>();
    while (bytes.hasRemaining()) {
      byte next = bytes.get();
      if (next == '\n') {
        addData(texts);
      } else if (line.size() >= MAX_LINE_BYTES) {
        throw new IllegalStateException("a line is longer than " + MAX_LINE_BYTES + " bytes");
      } else {
        line.write(next);
      }
    }
    return texts;
  }

  private void addData(List<String> texts) {
    String text = line.toString(StandardCharsets.UTF_8);
    line.reset();
    if (text.startsWith(DATA)) {
      texts.add(text.substring(DATA.length()).strip());
    }
  }
}
