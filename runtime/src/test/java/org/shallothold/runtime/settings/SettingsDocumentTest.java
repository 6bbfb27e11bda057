package org.shallothold.runtime.settings;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.file.Path;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards against settings that are dropped, guessed or reported one by one. */
class SettingsDocumentTest {

  private enum Policy {
    TIERS,
    ARRIVAL
  }

  private static void readAll(SettingsDocument document) {
    document.requiredText("process.id");
    document.requiredText("process.failure_domain");
    document.requiredAddress("listen.address");
    document.requiredHttpUrl("platform.url");
    document.choice("queue.policy", Policy.class, Policy.TIERS);
    document.number("queue.floor_interval_ms", 2_000, 100, 60_000);
    document.flag("queue.preempt", true);
    document.text("queue.name", "main");
    document.finish();
  }

  private static String problems(String text) {
    return String.valueOf(
        assertThrows(
                SettingsException.class, () -> readAll(SettingsDocument.parse("sample.toml", text)))
            .getMessage());
  }

  @Test
  void allProblemsAreReportedAtOnce() {
    Approvals.verify(
        problems(
            """
            typo = 1

            [process]
            id = 7
            failure_domian = "hopper-hall"

            [listen]
            address = "localhost:7000"

            [platform]
            url = "ftp://127.0.0.1/"

            [queue]
            policy = "fastest"
            floor_interval_ms = 50
            preempt = "yes"
            name = ["a", "b"]
            depths = []

            [forgotten]
            """));
  }

  @Test
  void missingKeysAreAllNamed() {
    Approvals.verify(problems("# nothing\n"));
  }

  @Test
  void syntaxErrorNamesItsLine() {
    Approvals.verify(problems("[process]\nid = \"a\"\nid = \"b\"\n"));
  }

  @Test
  void missingFileIsOneProblem() {
    SettingsException thrown =
        assertThrows(
            SettingsException.class, () -> SettingsDocument.read(Path.of("/nowhere/sample.toml")));
    assertEquals(
        "/nowhere/sample.toml: (file): found no readable file; allowed: a readable TOML file",
        thrown.getMessage());
  }

  @Test
  void sameKeyInTwoSectionsIsFoundOnItsOwnLine() {
    SettingsDocument document =
        SettingsDocument.parse("x", "[a]\nlisten = 1\n[b]\nlisten = 1\n[c.d]\ne.f = 1\n");
    assertThrows(SettingsException.class, document::finish)
        .problems()
        .forEach(
            problem ->
                assertEquals(
                    switch (problem.key()) {
                      case "a.listen" -> 2;
                      case "b.listen" -> 4;
                      default -> 6;
                    },
                    problem.line(),
                    problem.key()));
  }

  @ParameterizedTest
  @CsvSource(
      nullValues = "none",
      value = {
        "127.0.0.1:7000,/127.0.0.1:7000",
        "[::1]:7000,/[0:0:0:0:0:0:0:1]:7000",
        "0.0.0.0:0,/0.0.0.0:0",
        "abc:80,none",
        "999.1.1.1:80,none",
        "1.2.3:80,none",
        "127.0.0.1,none",
        "127.0.0.1:+80,none",
        "127.0.0.1:65536,none",
        ":80,none"
      })
  void addressIsNumbersAndNeverLookedUp(String text, String expected) {
    var address = SettingsDocument.address(text);
    assertEquals(expected, address == null ? null : address.toString());
  }

  /** Mutated input is read or refused with the documented exception, and reading ends. */
  @ParameterizedTest
  @ValueSource(longs = {21, 22, 23, 24, 25})
  @Timeout(value = 120, unit = TimeUnit.SECONDS)
  void mutatedInputNeverFailsOtherwise(long seed) {
    String valid =
        "[process]\nid = \"a\"\nfailure_domain = 'b'\n[listen]\naddress = \"127.0.0.1:1\"\n"
            + "[[x]]\ny.z = [1, 2.5, true, 2026-12-04T08:00:00Z]\nt = {a = 1}\nm = \"\"\"\nq\"\"\"\n";
    String alphabet = "[]{}=.,\"'#\n\\ \tu1e+-_:Tinfna\u0000\u00e9\ud83d";
    Random random = new Random(seed);
    for (int round = 0; round < 3_000; round++) {
      StringBuilder text = new StringBuilder(valid);
      for (int change = random.nextInt(8); change >= 0; change--) {
        int at = random.nextInt(text.length());
        char letter = alphabet.charAt(random.nextInt(alphabet.length()));
        switch (random.nextInt(3)) {
          case 0 -> text.insert(at, letter);
          case 1 -> text.setCharAt(at, letter);
          default -> text.delete(at, Math.min(text.length() - 1, at + random.nextInt(6)));
        }
      }
      try {
        readAll(SettingsDocument.parse("fuzz", text.toString()));
      } catch (SettingsException e) {
        // Refused, as documented.
      }
    }
  }
}
