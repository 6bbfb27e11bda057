package org.shallothold.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.Iterator;

/** Numbers of running and waiting requests over time. Not to be shared between threads. */
final class LoadHistory {

  /** Bounds the memory; enough for 8 s with a change each millisecond. */
  private static final int MAX_SAMPLES = 8_192;

  /**
   * The load from a time on.
   *
   * @param nanos when it was measured
   * @param running requests in the batch
   * @param waiting requests that wait for a place in the batch
   */
  record Sample(long nanos, int running, int waiting) {}

  private final Deque<Sample> samples = new ArrayDeque<>();

  LoadHistory(long nowNanos) {
    samples.add(new Sample(nowNanos, 0, 0));
  }

  /** Adds a sample, unless it equals the last one. */
  void record(long nowNanos, int running, int waiting) {
    Sample last = samples.getLast();
    if (last.running() == running && last.waiting() == waiting) {
      return;
    }
    samples.addLast(new Sample(nowNanos, running, waiting));
    if (samples.size() > MAX_SAMPLES) {
      samples.removeFirst();
    }
  }

  /** Returns the load at a time; if it is no longer kept, the oldest that is. */
  Sample at(long nanos) {
    for (Iterator<Sample> newestFirst = samples.descendingIterator(); newestFirst.hasNext(); ) {
      Sample sample = newestFirst.next();
      if (sample.nanos() - nanos <= 0) {
        return sample;
      }
    }
    return samples.getFirst();
  }
}
