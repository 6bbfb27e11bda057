package org.shallothold.sidecar;

import java.util.Objects;
import java.util.concurrent.locks.LockSupport;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions. The bound only ends a test that would fail anyway. */
final class Eventually {

  private static final long BOUND_NANOS = 20_000_000_000L;
  private static final long PAUSE_NANOS = 2_000_000;

  private Eventually() {}

  static void holds(String what, BooleanSupplier condition) {
    equal(what, () -> condition.getAsBoolean() ? what : "not yet");
  }

  static <T> void equal(T expected, Supplier<T> actual) {
    long start = System.nanoTime();
    while (!Objects.equals(expected, actual.get())) {
      if (System.nanoTime() - start > BOUND_NANOS) {
        throw new AssertionError("expected " + expected + " but got " + actual.get());
      }
      LockSupport.parkNanos(PAUSE_NANOS);
    }
  }
}
