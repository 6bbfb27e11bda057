package org.shallothold.sidecar.backend;

/**
 * The number that a sidecar stamps its commands with. A higher number belongs to a later sidecar,
 * except where a predecessor's clock was ahead. Owned by one thread.
 */
final class FencingNumber {

  private final long startMillis;
  private long value;

  private FencingNumber(long startMillis) {
    this.startMillis = startMillis;
    this.value = startMillis;
  }

  /** Returns the number of a sidecar that started at a time, in milliseconds since the epoch. */
  static FencingNumber startedAt(long startMillis) {
    return new FencingNumber(startMillis);
  }

  long value() {
    return value;
  }

  /**
   * Takes the highest number that the engine reports before this sidecar's first command. It can
   * only be a predecessor's, since this sidecar holds the VM's listening port.
   */
  void reportedAtStart(long highest) {
    value = Math.max(value, highest + 1);
  }

  /**
   * Takes the number that made the engine reject a command.
   *
   * @return true if the number is older than this sidecar's start, so that the command may be sent
   *     again under the raised number; false if a later sidecar commands the engine
   */
  boolean raiseAbove(long highest) {
    if (highest >= startMillis) {
      return false;
    }
    value = Math.max(value, highest) + 1;
    return true;
  }
}
