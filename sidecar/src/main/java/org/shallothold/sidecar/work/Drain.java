package org.shallothold.sidecar.work;

import java.util.Optional;
import org.jspecify.annotations.Nullable;

/** Whether the sidecar is leaving, and when it may end. Owned by one thread. */
final class Drain {

  /**
   * Time between the announcement and the end even if nothing runs, so that submissions already on
   * the way are refused as not run instead of being lost with the connection.
   */
  static final long LINGER_MILLIS = 1_000;

  private final long limitMillis;
  private @Nullable LeavingSource source;
  private long sinceMillis;

  Drain(long limitMillis) {
    this.limitMillis = limitMillis;
  }

  /** Starts draining; returns false if it has started already. */
  boolean start(LeavingSource newSource, long nowMillis) {
    if (source != null) {
      return false;
    }
    source = newSource;
    sinceMillis = nowMillis;
    return true;
  }

  boolean isLeaving() {
    return source != null;
  }

  Optional<LeavingSource> source() {
    return Optional.ofNullable(source);
  }

  /** Returns whether work that still runs is to be cut. */
  boolean isOverLimit(long nowMillis) {
    return isLeaving() && nowMillis - sinceMillis >= limitMillis;
  }

  /** Returns whether the process may end. */
  boolean isDone(int running, long nowMillis) {
    return isLeaving() && running == 0 && nowMillis - sinceMillis >= LINGER_MILLIS;
  }
}
