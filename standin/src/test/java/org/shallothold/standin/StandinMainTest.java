package org.shallothold.standin;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStreamReader;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpRequest.BodyPublishers;
import java.net.http.HttpResponse.BodyHandlers;
import java.nio.file.Path;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;

/** Guards what bin/standin prints and how its process ends. */
@Timeout(60)
class StandinMainTest {

  private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

  private int run(String... arguments) throws IOException {
    return StandinMain.run(arguments, System.out, new PrintStream(errors, true, UTF_8));
  }

  @Nested
  class Usage {

    @Test
    void unknownSubcommandIsRefused() throws IOException {
      assertEquals(2, run("motor"));
      assertTrue(errors.toString(UTF_8).contains("'motor'"));
    }

    @Test
    void unknownOptionIsRefused() throws IOException {
      assertEquals(2, run("engine", "--max-bach", "3"));
      assertTrue(errors.toString(UTF_8).contains("--max-bach"));
    }

    @Test
    void valueOutOfRangeIsRefused() throws IOException {
      assertEquals(2, run("engine", "--max-batch", "0"));
      assertTrue(errors.toString(UTF_8).contains("--max-batch"));
    }

    @Test
    void unknownFaultAtStartIsRefused() throws IOException {
      assertEquals(2, run("service", "--faults", "{\"dealy_ms\": 1}"));
      assertTrue(errors.toString(UTF_8).contains("dealy_ms"));
    }

    @Test
    void takenPortIsReported() throws IOException {
      try (ServerSocket taken = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
        assertEquals(1, run("platform", "--port", Integer.toString(taken.getLocalPort())));
        assertTrue(errors.toString(UTF_8).contains(Integer.toString(taken.getLocalPort())));
      }
    }

    @Test
    void helpEndsWithSuccess() throws IOException {
      assertEquals(0, run("--help"));
      assertEquals(0, run("engine", "--help"));
    }
  }

  @Nested
  class Processes {

    @Test
    void crashFaultEndsTheProcessWithCode137() throws IOException, InterruptedException {
      Process process =
          new ProcessBuilder(
                  Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                  "-Xmx64m",
                  "-cp",
                  System.getProperty("java.class.path"),
                  StandinMain.class.getName(),
                  "engine")
              .redirectError(ProcessBuilder.Redirect.INHERIT)
              .start();
      try (BufferedReader output =
              new BufferedReader(new InputStreamReader(process.getInputStream(), UTF_8));
          HttpClient http = HttpClient.newHttpClient()) {
        int port = StandinClient.json(output.readLine()).path("listening").asInt();
        HttpRequest crash =
            HttpRequest.newBuilder(URI.create("http://127.0.0.1:" + port + "/faults"))
                .POST(BodyPublishers.ofString("{\"crash\": true}"))
                .build();
        var unused = http.sendAsync(crash, BodyHandlers.discarding());
        assertEquals(137, process.waitFor());
      } finally {
        process.destroyForcibly();
      }
    }
  }
}
