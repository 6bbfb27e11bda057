package org.shallothold.sidecar;

import java.util.Objects;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions. The bound only ends a test that would fail anyway. */
final class Eventually {

  private static final long BOUND_NANOS = 20_000_000_000L;

  private Eventually() {}

  static void holds(String what, BooleanSupplier condition) {
    long start = System.nanoTime();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - start > BOUND_NANOS) {
        throw new AssertionError("did not come to hold: " + what);
      }
      pause();
    }
  }

  static <T> void equal(T expected, Supplier<T> actual) {
    long start = System.nanoTime();
    while (!Objects.equals(expected, actual.get())) {
      if (System.nanoTime() - start > BOUND_NANOS) {
        throw new AssertionError("expected " + expected + " but got " + actual.get());
      }
      pause();
    }
  }

  private static void pause() {
    try {
      Thread.sleep(5);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }
}
