package org.shallothold.experiment.fleet;

import java.time.Duration;
import java.util.Optional;
import java.util.function.BooleanSupplier;
import java.util.function.Supplier;

/** Waits for conditions, always with a bound; stateless. */
public final class Await {

  private static final long POLL_MILLIS = 10;

  private Await() {}

  /**
   * Returns once the condition holds.
   *
   * @param what the condition in words, for the message
   * @param detail asked for the message if the bound passes
   * @throws AssertionError if the condition doesn't hold within the bound
   */
  public static void until(
      String what, Duration bound, BooleanSupplier condition, Supplier<String> detail) {
    long end = System.nanoTime() + bound.toNanos();
    while (!condition.getAsBoolean()) {
      if (System.nanoTime() - end > 0) {
        throw new AssertionError(
            "not within %d s: %s. %s".formatted(bound.toSeconds(), what, detail.get()));
      }
      pause(Duration.ofMillis(POLL_MILLIS));
    }
  }

  /** Like {@link #until(String, Duration, BooleanSupplier, Supplier)}, without detail. */
  public static void until(String what, Duration bound, BooleanSupplier condition) {
    until(what, bound, condition, () -> "");
  }

  /** Returns the value as soon as there is one. */
  public static <T> T value(String what, Duration bound, Supplier<Optional<T>> source) {
    long end = System.nanoTime() + bound.toNanos();
    while (true) {
      Optional<T> value = source.get();
      if (value.isPresent()) {
        return value.get();
      }
      if (System.nanoTime() - end > 0) {
        throw new AssertionError("not within %d s: %s".formatted(bound.toSeconds(), what));
      }
      pause(Duration.ofMillis(POLL_MILLIS));
    }
  }

  /**
   * Sleeps. Only for pauses that are part of a workload or a fault, never to wait for a condition.
   */
  public static void pause(Duration duration) {
    try {
      Thread.sleep(duration);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new IllegalStateException("interrupted while waiting", e);
    }
  }
}
