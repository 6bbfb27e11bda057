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
 * Writes structured lines to an output, one JSON object per line. Lines pass through a bounded
 * queue to a single writer thread, so that {@link #add} never waits for the output. Lines that
 * don't fit are dropped and counted, and the count is written with the next batch. Thread-safe;
 * created once per process.
 */
public final class StructuredLog {

  // Holds several seconds of the heaviest load; a line is about 250 bytes.
  private static final int QUEUE_CAPACITY_LINES = 2_048;
  private static final int MAX_BATCH_LINES = 128;
  private static final JsonFactory JSON = new JsonFactory();

  private final BlockingQueue<LogLine> queue = new ArrayBlockingQueue<>(QUEUE_CAPACITY_LINES);
  private final AtomicLong unreportedDrops = new AtomicLong();
  private final AtomicLong lostTotal = new AtomicLong();
  private final AtomicLong written = new AtomicLong();
  private final OutputStream output;
  private final String process;

  private StructuredLog(OutputStream output, String process) {
    this.output = output;
    this.process = process;
  }

  /**
   * Returns a log whose writer thread is started, as a daemon thread.
   *
   * @param process id of this process, written on every line
   */
  public static StructuredLog start(PrintStream output, String process) {
    StructuredLog log = new StructuredLog(output, process);
    Thread writer = new Thread(log::writeBatches, "log");
    writer.setDaemon(true);
    writer.start();
    return log;
  }

  /** Queues a line for writing; drops and counts it if the queue is full. Never blocks. */
  public void add(LogLine line) {
    if (!queue.offer(line)) {
      unreportedDrops.incrementAndGet();
      lostTotal.incrementAndGet();
    }
  }

  /** Returns the number of lines lost since the start: dropped, or failed to be written. */
  public long droppedLines() {
    return lostTotal.get();
  }

  /** Returns the number of lines written since the start. */
  public long writtenLines() {
    return written.get();
  }

  /** Writes the queued lines on the calling thread; called when the process ends. */
  public void flush() {
    List<LogLine> remaining = new ArrayList<>();
    queue.drainTo(remaining);
    write(remaining);
  }

  private void writeBatches() {
    List<LogLine> batch = new ArrayList<>(MAX_BATCH_LINES);
    while (true) {
      try {
        batch.add(queue.take());
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
      queue.drainTo(batch, MAX_BATCH_LINES - 1);
      long droppedCount = unreportedDrops.getAndSet(0);
      if (droppedCount > 0) {
        batch.add(LogLine.of("log_lines_dropped").with("count", droppedCount));
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
      // Standard output is closed, so the loss can only be reported by the counter.
      lostTotal.addAndGet(lines.size());
    }
  }

  private void render(LogLine line, StringWriter text) throws IOException {
    try (JsonGenerator json = JSON.createGenerator(text)) {
      json.writeStartObject();
      json.writeStringField("time", Instant.ofEpochMilli(line.timestampMillis()).toString());
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
