package org.shallothold.runtime.platform;

import static java.nio.charset.StandardCharsets.ISO_8859_1;
import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URI;
import java.net.http.HttpClient;
import java.util.Base64;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.membership.Member;
import org.shallothold.runtime.http.SingleUseHttpClient;

/** Guards the contract with the platform's HTTP protocol. */
class HttpConfigurationSourceTest {

  private final FakePlatform platform = new FakePlatform();
  private final SingleUseHttpClient client = SingleUseHttpClient.of(HttpClient::newHttpClient);

  @SuppressWarnings("NullAway.Init")
  private FakePlatform.Server server;

  @SuppressWarnings("NullAway.Init")
  private ConfigurationSource source;

  @BeforeEach
  void start() throws IOException {
    server = platform.serve();
    source = HttpConfigurationSource.of(server.uri(), client);
  }

  @AfterEach
  void stop() {
    server.close();
  }

  private List<Long> positions(long after) {
    return source.entriesAfter(after, 0).stream().map(ConfigurationEntry::position).toList();
  }

  @Test
  void positionsAreConsecutiveAndEntriesStayAsTheyAre() {
    for (int number = 1; number <= 5; number++) {
      assertEquals(number, platform.publish(EntryCodec.PATCH, PatchTexts.setEngine(0, number)));
    }
    assertEquals(List.of(1L, 2L, 3L, 4L, 5L), positions(0));
    assertEquals(List.of(4L, 5L), positions(3));
    assertEquals(List.of(), positions(5));
    ConfigurationEntry first = source.entriesAfter(0, 0).getFirst();
    assertTrue(first.hasSameKindAndBody(source.entriesAfter(0, 0).getFirst()));
    assertEquals(new String(PatchTexts.setEngine(0, 1), UTF_8), new String(first.body(), UTF_8));
  }

  @Test
  void watchEndsWithTheFirstNewEntry() throws Exception {
    CompletableFuture<List<ConfigurationEntry>> watch =
        CompletableFuture.supplyAsync(() -> source.entriesAfter(0, 60_000));
    platform.publish(EntryCodec.PATCH, PatchTexts.setEngine(0, 1));
    assertEquals(1, watch.get(30, TimeUnit.SECONDS).size());
  }

  @Test
  void missingSnapshotIsNoError() {
    assertEquals(Optional.empty(), source.snapshot());
  }

  @Test
  void membersAreRead() {
    assertEquals(
        List.of(
            new Member("gateway-1", Member.Role.GATEWAY, "hopper-hall", false),
            new Member("engine-1", Member.Role.SIDECAR, "hopper-hall", true)),
        source.members().members());
  }

  @ParameterizedTest(name = "{0} {1}")
  @CsvSource(
      delimiter = '|',
      quoteCharacter = '"',
      value = {
        "503 | {'entries': []}",
        "200 | no JSON",
        "200 | {}",
        "200 | []",
        "200 | {'entries': {}}",
        "200 | {'entries': [{'kind': 'patch', 'body': 'e30='}]}",
        "200 | {'entries': [{'position': 0, 'kind': 'patch', 'body': 'e30='}]}",
        "200 | {'entries': [{'position': 1, 'body': 'e30='}]}",
        "200 | {'entries': [{'position': 1, 'kind': 'patch', 'body': {}}]}",
        "200 | {'entries': [{'position': 1, 'kind': 'patch', 'body': '***'}]}"
      })
  void wrongAnswerIsAnErrorAndNeverAnEntry(int status, String body) {
    server.fix("/config/entries", status, body.replace('\'', '"'));
    assertThrows(PlatformException.class, () -> source.entriesAfter(0, 0));
  }

  @Test
  void platformThatIsGoneIsAnError() {
    server.close();
    assertThrows(PlatformException.class, () -> source.entriesAfter(0, 0));
    assertThrows(PlatformException.class, () -> source.snapshot());
    assertThrows(PlatformException.class, () -> source.members());
  }

  /**
   * Guards against a late second response on a kept connection that is taken for the response to
   * the next request, and shifts all later ones.
   */
  @Test
  void lateSecondResponseIsNotTakenForTheNextOne() throws IOException {
    String body = Base64.getEncoder().encodeToString(PatchTexts.setEngine(0, 1));
    String entry =
        "{\"position\":1,\"kind\":\"%s\",\"body\":\"%s\"}".formatted(EntryCodec.PATCH, body);
    try (ServerSocket listener = new ServerSocket(0, 50, InetAddress.getLoopbackAddress())) {
      Thread.ofVirtual().start(() -> respondAgain(listener, entry));
      ConfigurationSource repeating =
          HttpConfigurationSource.of(
              URI.create("http://127.0.0.1:" + listener.getLocalPort() + "/"), client);
      assertEquals(1, repeating.entriesAfter(0, 0).size());
      assertEquals(List.of(), repeating.entriesAfter(1, 0));
    }
  }

  /** Responds to each request, and before that once more to the former one on the connection. */
  private static void respondAgain(ServerSocket listener, String entry) {
    try {
      while (true) {
        Socket socket = listener.accept();
        Thread.ofVirtual().start(() -> respondAgain(socket, entry));
      }
    } catch (IOException e) {
      // The listener is closed at the end of the test.
    }
  }

  private static void respondAgain(Socket socket, String entry) {
    try (socket) {
      BufferedReader in =
          new BufferedReader(new InputStreamReader(socket.getInputStream(), ISO_8859_1));
      String former = "";
      String line = in.readLine();
      while (line != null) {
        String entries = line.contains("after=0") ? entry : "";
        while (line != null && !line.isEmpty()) {
          line = in.readLine();
        }
        String body = "{\"entries\":[" + entries + "]}";
        String response = "HTTP/1.1 200 OK\r\nContent-Length: " + body.length() + "\r\n\r\n" + body;
        socket.getOutputStream().write((former + response).getBytes(ISO_8859_1));
        former = response;
        line = in.readLine();
      }
    } catch (IOException e) {
      // The client has closed the connection.
    }
  }
}
