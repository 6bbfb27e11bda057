package org.shallothold.gateway.http;

import java.lang.System.Logger;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.shallothold.core.memory.RequestMemoryBudget;

/** Logs that the memory for requests is used up, at most once in an interval. Thread-safe. */
final class ShortageLog {

  private static final Logger LOGGER = System.getLogger(ShortageLog.class.getName());
  private static final long INTERVAL_NANOS = TimeUnit.SECONDS.toNanos(10);

  private final RequestMemoryBudget memory;
  private final AtomicLong nextNanos = new AtomicLong(System.nanoTime());

  ShortageLog(RequestMemoryBudget memory) {
    this.memory = memory;
  }

  void requestRefused() {
    long now = System.nanoTime();
    long next = nextNanos.get();
    if (now - next < 0 || !nextNanos.compareAndSet(next, now + INTERVAL_NANOS)) {
      return;
    }
    LOGGER.log(
        Logger.Level.WARNING,
        "the memory for requests is used up: {0} of {1} bytes; refused {2}, shed {3} since the start",
        memory.usedBytes(),
        memory.limitBytes(),
        memory.refusedCount(),
        memory.shedCount());
  }
}
