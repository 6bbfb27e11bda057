package org.shallothold.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards exit codes and the answers of processes. */
class CommandMainTest {

  private static final String NOWHERE = "127.0.0.1:1";

  @TempDir private Path directory;

  @SuppressWarnings("NullAway.Init")
  private CommandFixture fixture;

  @BeforeEach
  void start() {
    fixture = new CommandFixture(directory);
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  @ParameterizedTest
  @CsvSource({
    "--help,0",
    "--version,0",
    "config patch --help,0",
    "config --help,0",
    "explain r1 --logs /nowhere.log,2",
    "'',2",
    "config,2",
    "config chekc,2",
    "config check,2",
    "config check a b,2",
    "config check /nowhere.json,2",
    "config show,2",
    "config show --platform http://127.0.0.1:1/ --process 127.0.0.1:1,2",
    "config show --output xml --platform http://127.0.0.1:1/,2",
    "config show --platform http://127.0.0.1:1/,3",
    "config show --process localhost:1,2",
    "config show --process 127.0.0.1:1,3",
    "config log --last 0 --platform http://127.0.0.1:1/,2",
    "config diff 1,2",
    "config diff a 2 --platform http://127.0.0.1:1/,2",
    "config patch --base 1 --platform http://127.0.0.1:1/,2",
    "config patch --base x --author a --reason r --platform http://127.0.0.1:1/,2",
    "status,2",
    "status --process 127.0.0.1:1,3",
    "status --process 127.0.0.1:1 --tls /nowhere.toml,2",
    "explain --process 127.0.0.1:1,2",
    "explain r-1 --process 127.0.0.1:1,3"
  })
  void exitCode(String line, int code) {
    CommandFixture.Run run = fixture.run(line.isEmpty() ? new String[0] : line.split(" "));
    assertEquals(code, run.code(), run::toString);
    assertEquals(code != 2, run.error().isEmpty() || code == 3, "usage errors are explained");
  }

  @Test
  void helpTexts() {
    Approvals.verify(fixture.run("--help") + "" + fixture.run("config", "patch", "--help"));
  }

  @Test
  void statusShowsReachableAndUnreachableProcesses() throws Exception {
    fixture.publishMorning();
    try (TestProcess process = new TestProcess("engine-1", fixture.url(), null)) {
      process.awaitEvents(3);
      CommandFixture.Run run =
          fixture.run("status", "--process", process.address(), "--process", NOWHERE);
      Approvals.verify(
          run.toString().replaceAll("sidecar      [0-9a-f]{8}", "sidecar      INCARNAT"));
    }
  }

  @Test
  void explainFindsARequestOrSaysThatNobodyRemembersIt() throws Exception {
    try (TestProcess process = new TestProcess("engine-1", fixture.url(), null)) {
      Approvals.verify(
          fixture.run("explain", "r-1", "--process", process.address())
              + ""
              + fixture.run("explain", "r-2", "--process", process.address()));
    }
  }

  @Test
  void statusAsJsonHasTheWholeIncarnation() throws Exception {
    try (TestProcess process = new TestProcess("engine-1", fixture.url(), null)) {
      String output =
          fixture.run("status", "--output", "json", "--process", process.address()).output();
      assertTrue(output.matches("(?s).*\"incarnation\" : \"[0-9a-f]{32}\".*"), output);
    }
  }
}
