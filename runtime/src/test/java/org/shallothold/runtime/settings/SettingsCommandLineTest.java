package org.shallothold.runtime.settings;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import org.approvaltests.Approvals;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/** Guards exit codes and messages that scripts and operators rely on. */
class SettingsCommandLineTest {

  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final ByteArrayOutputStream error = new ByteArrayOutputStream();

  private SettingsCommandLine.Result<String> run(String... arguments) {
    return SettingsCommandLine.of("shallothold-test", "Serves nothing.")
        .read(
            arguments,
            document -> String.valueOf(document.requiredText("process.id")),
            new PrintStream(output, true, UTF_8),
            new PrintStream(error, true, UTF_8));
  }

  @ParameterizedTest
  @CsvSource({
    "--help,0",
    "--version,0",
    "--settings,2",
    "--setting,2",
    "--unknown,2",
    "extra,2",
    "'',2",
    "--settings /nowhere/x.toml,2"
  })
  void exitCode(String line, int code) {
    assertEquals(
        new SettingsCommandLine.Result.Exit<String>(code),
        run(line.isEmpty() ? new String[0] : line.split(" ")));
    assertEquals(code == 0, error.size() == 0, "an error goes to standard error, help doesn't");
    assertEquals(code != 0, output.size() == 0);
  }

  @Test
  void helpText() {
    run("--help");
    Approvals.verify(output.toString(UTF_8));
  }

  @Test
  void eachProblemIsOneLine(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("bad.toml"), "[process]\nid = 1\nname = 2\n");
    assertEquals(
        new SettingsCommandLine.Result.Exit<String>(2), run("--settings", file.toString()));
    Approvals.verify(error.toString(UTF_8).replace(directory.toString(), "DIRECTORY"));
  }

  @Test
  void goodSettingsStart(@TempDir Path directory) throws IOException {
    Path file = Files.writeString(directory.resolve("good.toml"), "[process]\nid = 'a'\n");
    assertEquals(new SettingsCommandLine.Result.Start<>("a"), run("--settings", file.toString()));
  }
}
