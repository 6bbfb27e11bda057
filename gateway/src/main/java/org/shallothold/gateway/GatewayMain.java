package org.shallothold.gateway;

import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.logging.LogContext;
import org.shallothold.runtime.logging.Logging;
import org.shallothold.runtime.settings.SettingsCommandLine;

/** Entry point of the gateway process; started with {@code --settings FILE.toml}. */
public final class GatewayMain {

  private static final int EXIT_START_FAILED = 1;
  private static final int EXIT_REQUESTS_CUT = 1;

  private GatewayMain() {}

  /** Starts the gateway, which runs until SIGTERM and then drains; exits with 1 if it can't. */
  public static void main(String[] arguments) {
    Logging.configure();
    GatewaySettings settings =
        SettingsCommandLine.of("shallothold-gateway", "Accepts callers' requests and routes them.")
            .readOrExit(arguments, GatewaySettings::read);
    LogContext.put("process", settings.processId());
    try {
      Gateway gateway = Gateway.start(settings, AuditOutput.to(System.out, settings.processId()));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> drainAndHalt(gateway), "shutdown"));
    } catch (IllegalStateException e) {
      System.err.println("shallothold-gateway: " + e.getMessage());
      System.exit(EXIT_START_FAILED);
    }
  }

  /**
   * Drains and closes the gateway on SIGTERM. Halts the JVM with its own exit code, since the code
   * after a SIGTERM doesn't say whether requests were cut.
   */
  private static void drainAndHalt(Gateway gateway) {
    int exitCode = gateway.drain() ? SettingsCommandLine.EXIT_SUCCESS : EXIT_REQUESTS_CUT;
    gateway.close();
    System.out.flush();
    Runtime.getRuntime().halt(exitCode);
  }
}
