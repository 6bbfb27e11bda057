package org.shallothold.command;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards what the afternoon pair sees of the morning, and patches that would be refused. */
class ConfigCommandTest {

  private static final String TIME = "2026-12-04T13:00:00Z";

  @TempDir private Path directory;

  @SuppressWarnings("NullAway.Init")
  private CommandFixture fixture;

  @BeforeEach
  void start() throws Exception {
    fixture = new CommandFixture(directory);
    fixture.publishMorning();
  }

  @AfterEach
  void stop() {
    fixture.close();
  }

  private CommandFixture.Run run(String line) {
    return fixture.run((line + " --platform " + fixture.url()).split(" "));
  }

  private CommandFixture.Run patch(String line) {
    return run("config patch --author cleo --reason noon --time " + TIME + " " + line);
  }

  @Nested
  class Reading {

    @Test
    void log() {
      Approvals.verify(run("config log"));
    }

    @Test
    void logAsJson() {
      Approvals.verify(run("config log --last 1 --output json"));
    }

    @Test
    void show() {
      Approvals.verify(run("config show"));
    }

    @Test
    void diffOfVersions() {
      Approvals.verify(run("config diff 1 2") + "" + run("config diff 2 0 --output json"));
    }

    @Test
    void snapshotIsAcceptedByCheckAndByANewProcess() throws Exception {
      CommandFixture.Run snapshot = run("config snapshot");
      String file = fixture.file("snapshot.json", snapshot.output());
      assertEquals(0, run("config check " + file).code());
      fixture.publish("snapshot", snapshot.output());
      assertTrue(run("config show").output().startsWith("version = 2\n"));
      assertEquals(
          1,
          run("config check " + fixture.file("wrong.json", snapshot.output().replace("640", "64")))
              .code());
    }

    @Test
    void processTellsTheSameAsThePlatform() throws Exception {
      try (TestProcess process = new TestProcess("engine-1", fixture.url(), null)) {
        process.awaitEvents(3);
        String source = "--process " + process.address();
        assertEquals(run("config show"), fixture.run(("config show " + source).split(" ")));
        assertEquals(run("config diff 1 2"), fixture.run(("config diff 1 2 " + source).split(" ")));
        Approvals.verify(fixture.run(("config log " + source).split(" ")));
      }
    }
  }

  @Nested
  class Patches {

    @Test
    void patchDocumentIsAcceptedOncePublished() throws Exception {
      CommandFixture.Run patch =
          patch(
              "--base 2 --set classes.urgent.tier=0 --set servers.engine-1.draining=true"
                  + " --set services.stock={\"orders\":[{\"method\":\"POST\",\"path_prefix\":\"/\"}]}");
      assertEquals(0, run("config check " + fixture.file("patch.json", patch.output())).code());
      fixture.publish("patch", patch.output());
      assertTrue(run("config log --last 1").output().contains("accepted version 3"));
      Approvals.verify(patch);
    }

    @Test
    void patchOnAFormerBaseShowsWhatChanged() {
      Approvals.verify(patch("--base 1 --set classes.urgent.tier=2"));
    }

    @Test
    void patchThatWouldBeInvalidNamesAllProblems() {
      Approvals.verify(
          patch("--base 2 --remove servers.engine-2 --remove servers.nowhere")
              + ""
              + patch("--base 2 --set classes.urgent.tier=7 --set servers.engine-1.models=none")
              + patch("--base 2 --set classes.urgent.tier=1"));
    }

    @Test
    void setFileReplacesItems() throws Exception {
      String file = fixture.file("set.json", "{\"services\": {\"stock\": {\"orders\": []}}}");
      Approvals.verify(patch("--base 2 --set-file " + file));
    }

    @Test
    void rebaseKeepsBothPairsChanges() throws Exception {
      String lost = fixture.file("loser.json", CommandFixture.read("loser.json"));
      CommandFixture.Run rebased = run("config patch --rebase-on " + lost + " --time " + TIME);
      fixture.publish("patch", rebased.output());
      assertEquals(
          "classes.urgent.answer_target_ms: 9000 -> 12000\nservers.engine-2.draining: false -> true\n",
          run("config diff 2 3").output());
      Approvals.verify(rebased);
    }

    @Test
    void rebaseLeavesTheDecisionOnAKeyThatBothChanged() throws Exception {
      String lost =
          fixture.file(
              "lost.json", CommandFixture.read("loser.json").replace("\"tier\": 0", "\"tier\": 3"));
      String rebase = "config patch --time " + TIME + " --rebase-on " + lost;
      Approvals.verify(run(rebase) + "" + run(rebase + " --keep-mine"));
    }
  }

  @Nested
  class Checks {

    @Test
    void checkNamesAllProblems() throws Exception {
      String patch =
          fixture.file(
              "patch.json",
              CommandFixture.read("loser.json").replace("tier", "teir").replace("12000", "0"));
      String settings = fixture.file("gateway.toml", "[process]\nid = 1\n[queue]\nsize = 2\n");
      String broken = fixture.file("broken.json", "{\n  \"base\": 1,\n  \"base\": 2\n}");
      Approvals.verify(
          run("config check " + patch)
              + ""
              + run("config check " + fixture.file("l.json", CommandFixture.read("loser.json")))
              + run("config check --output json " + broken)
              + fixture.run("config", "check", settings));
    }

    @ParameterizedTest
    @CsvSource({"gateway.toml", "sidecar.toml"})
    void samplesAreValid(String name) {
      Path file = Path.of("..", "conf", name);
      CommandFixture.Run run = fixture.run("config", "check", file.toString());
      assertEquals(new CommandFixture.Run(0, "valid settings\n", ""), run);
    }

    /** Guards against settings of another format being checked as a patch, or not at all. */
    @Test
    void settingsOfThePlatformAreCheckedByItsAdapter() throws Exception {
      String file = fixture.file("local.conf", "# none\nNodeName=one\nListen.Front=here\n");
      CommandFixture.Run run = fixture.run("config", "check", file);
      assertEquals(1, run.code());
      assertTrue(run.output().contains("local.conf:3: Listen.Front"), run.output());
      assertTrue(run.output().contains("Zone"), run.output());
    }
  }
}
