package org.shallothold.standin.http;

import java.time.Duration;
import java.util.concurrent.Future;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

/** A server's thread, which also runs what its stand-in schedules. May be used from any thread. */
public final class ServerLoop {

  private static final System.Logger LOGGER = System.getLogger(ServerLoop.class.getName());

  private final ScheduledExecutorService executor;

  ServerLoop(ScheduledExecutorService executor) {
    this.executor = executor;
  }

  /** Runs a task after a delay, unless the returned future is cancelled before. */
  public Future<?> schedule(Duration delay, Runnable task) {
    return executor.schedule(() -> run(task), delay.toNanos(), TimeUnit.NANOSECONDS);
  }

  /**
   * Stops the thread for a time, as a paused process would stop, once the running handler has
   * returned. The operating system goes on accepting connections.
   */
  public void freeze(Duration duration) {
    executor.execute(
        () -> {
          try {
            Thread.sleep(duration);
          } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
          }
        });
  }

  private static void run(Runnable task) {
    try {
      task.run();
    } catch (RuntimeException e) {
      LOGGER.log(System.Logger.Level.ERROR, "a scheduled task failed", e);
    }
  }
}
