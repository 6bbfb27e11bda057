package org.shallothold.wire.connection;

/**
 * Time of the event loop that one connection may use at once when its bytes arrive. Answers
 * connections whose bytes make more work than others: such a connection uses its credit up and has
 * to wait until it has regained half of it, so that it can't alternate between the two at each
 * read. Not thread-safe.
 */
final class ReadCredit {

  /** Most credit that a connection can have, in nanoseconds. */
  static final long MAX_NANOS = 1_000_000;

  /** Credit of a new connection, in nanoseconds; many may be opened at the same time. */
  static final long INITIAL_NANOS = MAX_NANOS / 4;

  private static final long REGAINED_NANOS = MAX_NANOS / 2;

  private long creditNanos = INITIAL_NANOS;
  private long updatedNanos;
  private boolean exhausted;

  private ReadCredit(long nowNanos) {
    updatedNanos = nowNanos;
  }

  /** Returns the credit of a new connection. */
  static ReadCredit initial(long nowNanos) {
    return new ReadCredit(nowNanos);
  }

  /**
   * Adds a share of the time that has passed since the last call.
   *
   * @return the credit in nanoseconds; 0 while it is exhausted
   */
  long available(long nowNanos, double share) {
    long gained = (long) ((nowNanos - updatedNanos) * share);
    if (gained > 0) {
      creditNanos = Math.min(MAX_NANOS, creditNanos + gained);
      updatedNanos = nowNanos;
    }
    if (creditNanos >= REGAINED_NANOS) {
      exhausted = false;
    }
    return exhausted ? 0 : creditNanos;
  }

  /** Takes off time that was used. One long use counts only up to the full credit. */
  void spend(long nanos) {
    creditNanos = Math.max(-MAX_NANOS, creditNanos - nanos);
    exhausted |= creditNanos <= 0;
  }

  /** Returns whether the credit was used up and not regained since, as of the last call. */
  boolean isExhausted() {
    return exhausted;
  }
}
