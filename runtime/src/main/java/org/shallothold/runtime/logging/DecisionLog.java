package org.shallothold.runtime.logging;

import com.fasterxml.jackson.core.JsonFactory;
import com.fasterxml.jackson.core.JsonGenerator;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.io.StringWriter;
import java.nio.charset.StandardCharsets;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Writes structured lines to one output: one JSON object a line. Lines go through a bounded ring to
 * one writing thread, so that no caller ever waits for the output; lines that don't fit are counted
 * and the count is written as soon as there is room. May be shared between threads; made once per
 * process.
 */
public final class DecisionLog {

  // Several seconds of the heaviest load measured; a line is about 250 bytes.
  private static final int RING_LINES = 2_048;
  private static final int BATCH_LINES = 128;
  private static final JsonFactory JSON = new JsonFactory();

  private final BlockingQueue<LogLine> ring = new ArrayBlockingQueue<>(RING_LINES);
  private final AtomicLong dropped = new AtomicLong();
  private final AtomicLong droppedTotal = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final OutputStream output;
  private final String process;

  private DecisionLog(OutputStream output, String process) {
    this.output = output;
    this.process = process;
  }

  /** Starts the writing thread. */
  public static DecisionLog start(PrintStream output, String process) {
    DecisionLog log = new DecisionLog(output, process);
    Thread writer = new Thread(log::run, "log");
    writer.setDaemon(true);
    writer.start();
    return log;
  }

  /** Adds a line; never blocks. */
  public void add(LogLine line) {
    if (!ring.offer(line)) {
      dropped.incrementAndGet();
      droppedTotal.incrementAndGet();
    }
  }

  /** Returns how many lines did not fit since the start. */
  public long droppedLines() {
    return droppedTotal.get();
  }

  /** Returns how many lines were written since the start. */
  public long writtenLines() {
    return written.get();
  }

  /** Writes what is in the ring; called at the end of the process. */
  public void flush() {
    List<LogLine> rest = new ArrayList<>();
    ring.drainTo(rest);
    write(rest);
  }

  private void run() {
    List<LogLine> batch = new ArrayList<>(BATCH_LINES);
    while (true) {
      try {
        batch.add(ring.take());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      ring.drainTo(batch, BATCH_LINES - 1);
      long lost = dropped.getAndSet(0);
      if (lost > 0) {
        batch.add(LogLine.of("log_lines_dropped").with("count", lost));
      }
      write(batch);
      batch.clear();
    }
  }

  private synchronized void write(List<LogLine> lines) {
    if (lines.isEmpty()) {
      return;
    }
    StringWriter text = new StringWriter();
    try {
      for (LogLine line : lines) {
        render(line, text);
      }
      output.write(text.toString().getBytes(StandardCharsets.UTF_8));
      output.flush();
      written.addAndGet(lines.size());
    } catch (IOException e) {
      // Standard output is closed; there is no other place to tell it than the counter.
      droppedTotal.addAndGet(lines.size());
    }
  }

  private void render(LogLine line, StringWriter text) throws IOException {
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(line.wallMillis()).toString());
      json.writeStringField("process", process);
      json.writeStringField("event", line.event());
      for (Map.Entry<String, Object> field : line.fields().entrySet()) {
        json.writeFieldName(field.getKey());
        json.writeObject(field.getValue());
      }
      json.writeEndObject();
    }
    text.write('\n');
  }
}
