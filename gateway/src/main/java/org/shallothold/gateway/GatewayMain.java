package org.shallothold.gateway;

import java.nio.file.Path;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.logging.LogContext;
import org.shallothold.runtime.logging.Logging;
import org.shallothold.runtime.settings.SettingsDocument;
import org.shallothold.runtime.settings.SettingsException;

/** Starts a gateway: {@code --settings FILE.toml}. */
public final class GatewayMain {

  private static final int BAD_USAGE = 2;
  private static final int CANNOT_START = 1;

  private GatewayMain() {}

  /** Runs until SIGTERM, then drains. */
  public static void main(String[] arguments) {
    if (arguments.length != 2 || !arguments[0].equals("--settings")) {
      System.err.println("usage: shallothold-gateway --settings FILE.toml");
      System.exit(BAD_USAGE);
    }
    Logging.configure();
    GatewaySettings settings = null;
    try {
      settings = GatewaySettings.read(SettingsDocument.read(Path.of(arguments[1])));
    } catch (SettingsException e) {
      System.err.println(e.getMessage());
      System.exit(BAD_USAGE);
    }
    if (settings != null) {
      run(settings);
    }
  }

  private static void run(GatewaySettings settings) {
    LogContext.put("process", settings.processId());
    try {
      Gateway gateway = Gateway.start(settings, AuditOutput.to(System.out, settings.processId()));
      Runtime.getRuntime().addShutdownHook(new Thread(() -> leave(gateway), "shutdown"));
    } catch (IllegalStateException e) {
      System.err.println(e.getMessage());
      System.exit(CANNOT_START);
    }
  }

  private static void leave(Gateway gateway) {
    gateway.drain();
    gateway.close();
  }
}
