package org.shallothold.runtime.platform;

import static java.nio.charset.StandardCharsets.UTF_8;

/** Bodies of patches for tests. */
public final class PatchTexts {

  private PatchTexts() {}

  /** Returns a patch that sets one engine. */
  public static byte[] setEngine(long base, int number) {
    return """
    {"base": %d, "author": "ann", "time": "2026-12-04T08:00:00Z", "reason": "engine %d",
     "set": {"servers": {"engine-%d": {"kind": "engine", "address": "127.0.0.1:%d",
       "failure_domain": "hopper-hall", "models": ["small"], "max_running": 4,
       "max_waiting": 16}}}}
    """
        .formatted(base, number, number, 7000 + number)
        .getBytes(UTF_8);
  }
}
