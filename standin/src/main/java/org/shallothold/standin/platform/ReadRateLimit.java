package org.shallothold.standin.platform;

/**
 * Limit on reads per second over all readers. It is a token bucket with room for one second's
 * reads. Each pending watch counts as one read in each second, so pending watches slow the refill.
 * Not to be shared between threads.
 */
final class ReadRateLimit {

  private static final double NANOS_PER_SECOND = 1e9;

  private final int readsPerSecond;
  private double available;
  private long lastNanos;

  private ReadRateLimit(int readsPerSecond, long nowNanos) {
    this.readsPerSecond = readsPerSecond;
    this.available = readsPerSecond;
    this.lastNanos = nowNanos;
  }

  /** Returns a limit with one second's reads available. */
  static ReadRateLimit of(int readsPerSecond, long nowNanos) {
    return new ReadRateLimit(readsPerSecond, nowNanos);
  }

  /** Takes one read; returns whether it is allowed. */
  boolean tryRead(long nowNanos, int pendingWatches) {
    double perNano = Math.max(0, readsPerSecond - pendingWatches) / NANOS_PER_SECOND;
    available = Math.min(readsPerSecond, available + (nowNanos - lastNanos) * perNano);
    lastNanos = nowNanos;
    if (available < 1) {
      return false;
    }
    available--;
    return true;
  }
}
