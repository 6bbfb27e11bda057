package org.shallothold.gateway;

import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.logging.LogContext;
import org.shallothold.runtime.logging.Logging;
import org.shallothold.runtime.settings.SettingsCommandLine;

/** Starts a gateway: {@code --settings FILE.toml}. */
public final class GatewayMain {

  private static final int CANNOT_START = 1;
  private static final int REQUESTS_CUT = 1;

  private GatewayMain() {}

  /** Runs until SIGTERM, then drains. */
  public static void main(String[] arguments) {
    Logging.configure();
    GatewaySettings settings =
        SettingsCommandLine.of("shallothold-gateway", "Takes callers' requests and routes them.")
            .readOrExit(arguments, GatewaySettings::read);
    LogContext.put("process", settings.processId());
    try {
      Gateway gateway = Gateway.start(settings, AuditOutput.to(System.out, settings.processId()));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(gateway), "shutdown"));
    } catch (IllegalStateException e) {
      System.err.println("shallothold-gateway: " + e.getMessage());
      System.exit(CANNOT_START);
    }
  }

  /** Runs on SIGTERM; sets the exit code that SIGTERM would not give. */
  private static void leave(Gateway gateway) {
    int code = gateway.drain() ? SettingsCommandLine.EXIT_SUCCESS : REQUESTS_CUT;
    gateway.close();
    System.out.flush();
    Runtime.getRuntime().halt(code);
  }
}
