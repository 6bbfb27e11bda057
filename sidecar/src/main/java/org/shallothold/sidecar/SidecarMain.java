package org.shallothold.sidecar;

import java.time.Duration;
import org.shallothold.runtime.logging.Logging;
import org.shallothold.runtime.settings.SettingsCommandLine;
import org.shallothold.sidecar.settings.SidecarSettings;

/** Runs a sidecar until it has left. */
public final class SidecarMain {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  // After the drain limit, running work is cut at the next tick and the last frames are sent.
  private static final Duration END_ALLOWANCE = Duration.ofSeconds(5);

  private SidecarMain() {}

  /** Starts the process: {@code --settings FILE.toml}. */
  public static void main(String[] arguments) throws InterruptedException {
    Logging.configure();
    SidecarSettings settings =
        SettingsCommandLine.of(
                "shallothold-sidecar",
                "Runs beside one backend server and owns its waiting queue and its orders.")
            .readOrExit(arguments, SidecarSettings::from);
    SidecarProcess process;
    try {
      process = SidecarProcess.start(settings);
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      System.exit(EXIT_FAILED);
      return;
    }
    Duration limit = Duration.ofMillis(settings.drainLimitMillis()).plus(END_ALLOWANCE);
    Runtime.getRuntime().addShutdownHook(new Thread(() -> leaveAndHalt(process, limit), "leave"));
    process.awaitDone();
    System.exit(EXIT_OK);
  }

  /** Runs on SIGTERM and at the normal end; sets the exit code that SIGTERM would not give. */
  private static void leaveAndHalt(SidecarProcess process, Duration limit) {
    process.leave();
    int code = EXIT_FAILED;
    try {
      code = process.awaitDone(limit) ? EXIT_OK : EXIT_FAILED;
      process.close();
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }
}
