package org.shallothold.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/** Numbers of running and waiting requests over time. Not to be shared between threads. */
final class LoadHistory {

  /** Samples kept; with one per step of at least 1 ms this is more than 8 s. */
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
    Sample found = samples.getFirst();
    for (Sample sample : samples) {
      if (sample.nanos() - nanos > 0) {
        break;
      }
      found = sample;
    }
    return found;
  }
}
