import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** The record of one run: what was sent, answered and run, with seconds since the start. */
final class RunRecord {

  private final PrintWriter out;
  private final long startNanos = System.nanoTime();

  RunRecord(Path file) throws IOException {
    out = new PrintWriter(Files.newBufferedWriter(file), true);
  }

  /** Returns the milliseconds since the start. */
  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void add(String text) {
    out.println(String.format(Locale.ROOT, "%8.3f  %s", millis() / 1_000.0, text));
  }

  void close() {
    out.close();
  }
}
