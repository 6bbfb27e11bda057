import java.io.BufferedReader;
import java.io.BufferedWriter;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.OutputStreamWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/** A {@link StreamEngine} that runs as a process of its own, so that it can be killed. */
final class EngineProcess {

  final String id;
  final String service;
  final long born = System.currentTimeMillis();
  final AtomicInteger runs = new AtomicInteger();
  private final Process process;
  private final int port;
  private final BufferedWriter commands;

  EngineProcess(RunRecord record, String id, String service, int events, long stepMillis)
      throws IOException {
    this.id = id;
    this.service = service;
    List<String> command = new ArrayList<>();
    command.add(System.getProperty("java.home") + "/bin/java");
    command.addAll(List.of("-Xmx64m", "-cp", System.getProperty("java.class.path")));
    command.addAll(
        List.of("StreamEngine", id, Integer.toString(events), Long.toString(stepMillis)));
    process =
        new ProcessBuilder(command).redirectError(ProcessBuilder.Redirect.DISCARD).start();
    commands = new BufferedWriter(new OutputStreamWriter(process.getOutputStream()));
    BufferedReader lines = new BufferedReader(new InputStreamReader(process.getInputStream()));
    port = Integer.parseInt(lines.readLine().substring("PORT ".length()));
    Thread.ofVirtual()
        .start(
            () -> {
              try {
                for (String line = lines.readLine(); line != null; line = lines.readLine()) {
                  record.add(id + ": " + line);
                  if (line.startsWith("runs ")) {
                    runs.incrementAndGet();
                  }
                }
              } catch (IOException e) {
                // The process has ended.
              }
            });
  }

  String entry(String state, int sequence) {
    return ("{\"Service\":\"%s\",\"Address\":\"127.0.0.1:%d\",\"Zone\":\"zone-a\","
            + "\"Version\":\"v1\",\"Slots\":64,\"State\":\"%s\",\"ColdRemainingMs\":0,"
            + "\"Stage\":\"prefill_decode\","
            + "\"Models\":[{\"Name\":\"m\",\"Version\":1,\"Adapters\":[]}],"
            + "\"Sequence\":%d,\"born\":%d}")
        .formatted(service, port, state, sequence, born);
  }

  void command(String text) throws IOException {
    commands.write(text + "\n");
    commands.flush();
  }

  boolean awaitEnd(long millis) throws InterruptedException {
    return process.waitFor(millis, TimeUnit.MILLISECONDS);
  }

  /** Ends the process with SIGKILL. */
  void kill() throws InterruptedException {
    process.destroyForcibly();
    process.waitFor();
  }
}
