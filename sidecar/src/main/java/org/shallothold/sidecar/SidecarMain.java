package org.shallothold.sidecar;

import java.nio.file.InvalidPathException;
import java.nio.file.Path;
import java.time.Duration;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.jspecify.annotations.Nullable;
import org.shallothold.runtime.logging.Logging;
import org.shallothold.runtime.settings.SettingsException;
import org.shallothold.sidecar.settings.SidecarSettings;

/** Runs a sidecar until it has left. */
public final class SidecarMain {

  private static final int EXIT_OK = 0;
  private static final int EXIT_FAILED = 1;
  private static final int EXIT_USAGE = 2;
  // After the drain limit, running work is cut at the next tick and the last frames are sent.
  private static final Duration END_ALLOWANCE = Duration.ofSeconds(5);

  private SidecarMain() {}

  /** Starts the process: {@code --settings FILE.toml}. */
  public static void main(String[] arguments) throws InterruptedException {
    // The HTTP client repeats some requests by itself after a failure; an order must not be
    // repeated, so one try is all that it gets.
    System.setProperty("jdk.httpclient.redirects.retrylimit", "1");
    // Idle connections are dropped before a backend server does so, since a request sent on a
    // connection that is just being closed fails without a trace of whether it ran.
    System.setProperty("jdk.httpclient.keepalive.timeout", "2");
    Logging.configure();
    SidecarSettings settings = settings(arguments);
    if (settings == null) {
      System.exit(EXIT_USAGE);
      return;
    }
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

  private static @Nullable SidecarSettings settings(String[] arguments) {
    Options options = new Options();
    options.addRequiredOption("s", "settings", true, "settings file (TOML)");
    try {
      CommandLine line = new DefaultParser().parse(options, arguments);
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("unexpected argument: " + line.getArgList().getFirst());
      }
      return SidecarSettings.read(Path.of(line.getOptionValue("settings")));
    } catch (ParseException | InvalidPathException e) {
      System.err.println(e.getMessage());
      System.err.println("usage: shallothold-sidecar --settings FILE.toml");
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
    }
    return null;
  }
}
