package org.shallothold.runtime.logging;

import java.util.logging.Handler;
import java.util.logging.Level;
import java.util.logging.Logger;

/** Configures the log of a process: JSON lines on standard error. */
public final class Logging {

  private Logging() {}

  /** Configures the root handlers and limits library logs to warnings; called once at start. */
  public static void configure() {
    Logger root = Logger.getLogger("");
    for (Handler handler : root.getHandlers()) {
      handler.setFormatter(new JsonLineFormatter());
      handler.setLevel(Level.INFO);
    }
    Logger.getLogger("ratpack").setLevel(Level.WARNING);
    Logger.getLogger("io.netty").setLevel(Level.WARNING);
  }
}
