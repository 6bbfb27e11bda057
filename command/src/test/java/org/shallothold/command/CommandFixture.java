package org.shallothold.command;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import org.shallothold.standin.http.LoopbackServer;
import org.shallothold.standin.options.Arguments;
import org.shallothold.standin.platform.PlatformStandin;

/** A stand-in for the platform with three published patches, and a way to run the command. */
final class CommandFixture implements AutoCloseable {

  private final Path directory;
  private final LoopbackServer platform =
      LoopbackServer.start(
          0, loop -> PlatformStandin.create(Arguments.parse(PlatformStandin.OPTIONS), loop));
  private final HttpClient client = HttpClient.newHttpClient();

  CommandFixture(Path directory) {
    this.directory = directory;
  }

  /** What a run of the command printed. */
  record Run(int code, String output, String error) {

    @Override
    public String toString() {
      return "exit code " + code + "\n--- output\n" + output + "--- errors\n" + error + "\n";
    }
  }

  String url() {
    return "http://127.0.0.1:" + platform.port() + "/";
  }

  /** Publishes the first configuration (1), a class with less priority (2) and a loser (3). */
  void publishMorning() throws Exception {
    publish("patch", read("first.json"));
    publish("patch", read("less-urgent.json"));
    publish("patch", read("loser.json"));
  }

  void publish(String kind, String body) throws Exception {
    HttpRequest request =
        HttpRequest.newBuilder(URI.create(url() + "config/entries?kind=" + kind))
            .POST(HttpRequest.BodyPublishers.ofString(body))
            .build();
    HttpResponse<String> response = client.send(request, HttpResponse.BodyHandlers.ofString());
    if (response.statusCode() != 200) {
      throw new IOException(response.body());
    }
  }

  /** Returns a document of the test resources. */
  static String read(String name) throws IOException {
    try (var input = CommandFixture.class.getResourceAsStream(name)) {
      if (input == null) {
        throw new IOException("no resource " + name);
      }
      return new String(input.readAllBytes(), UTF_8);
    }
  }

  /** Writes a file and returns its path. */
  String file(String name, String content) throws IOException {
    return Files.writeString(directory.resolve(name), content).toString();
  }

  /** Runs the command; what differs from run to run is replaced. */
  Run run(String... arguments) {
    ByteArrayOutputStream output = new ByteArrayOutputStream();
    ByteArrayOutputStream error = new ByteArrayOutputStream();
    int code =
        CommandMain.run(
            arguments, new PrintStream(output, true, UTF_8), new PrintStream(error, true, UTF_8));
    return new Run(code, stable(output), stable(error));
  }

  private String stable(ByteArrayOutputStream stream) {
    return stream.toString(UTF_8).replace(directory.toString(), "DIRECTORY");
  }

  @Override
  public void close() {
    client.shutdownNow();
    platform.close();
  }
}
