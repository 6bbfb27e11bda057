package org.shallothold.sidecar.work;

import java.util.Arrays;

/** Times between tokens since the last report. Owned by one thread. */
final class TokenIntervals {

  // Enough for a stable median; an engine generates more in a second only under full load.
  private static final int CAPACITY = 1_024;
  private static final long NANOS_PER_MICRO = 1_000;

  private final long[] micros = new long[CAPACITY];
  private long count;

  /**
   * Adds the time between two reads of one answer.
   *
   * @param tokens tokens of the second read, at least 1
   */
  void add(long nanos, int tokens) {
    micros[(int) (count % CAPACITY)] = nanos / NANOS_PER_MICRO / tokens;
    count++;
  }

  /** Returns the median in microseconds and starts anew; 0 if there were none. */
  long takeMedianMicros() {
    int size = (int) Math.min(count, CAPACITY);
    count = 0;
    if (size == 0) {
      return 0;
    }
    long[] sorted = Arrays.copyOf(micros, size);
    Arrays.sort(sorted);
    return sorted[size / 2];
  }
}
