package org.shallothold.standin.engine;

import java.util.ArrayDeque;
import java.util.Deque;

/**
 * Counts the most requests that arrived within any four seconds. Not to be shared between threads.
 */
final class ArrivalWindow {

  private static final long WINDOW_MILLIS = 4_000;

  private final Deque<Long> arrivalMillis = new ArrayDeque<>();
  private int most;

  private ArrivalWindow() {}

  static ArrivalWindow create() {
    return new ArrivalWindow();
  }

  void record(long nowMillis) {
    arrivalMillis.addLast(nowMillis);
    while (nowMillis - arrivalMillis.getFirst() >= WINDOW_MILLIS) {
      arrivalMillis.removeFirst();
    }
    most = Math.max(most, arrivalMillis.size());
  }

  int most() {
    return most;
  }
}
