package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.concurrent.TimeUnit;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.ReadTimes;

/**
 * Measures how late the event loop is, and logs which connection held it. Owned by the event loop.
 */
final class EventLoopWatch {

  private static final long INTERVAL_MILLIS = 50;
  // Callers notice such a delay, since a request takes several turns of the event loop.
  private static final long LOGGED_DELAY_MILLIS = 100;
  private static final long MIN_LOG_INTERVAL_MILLIS = 1_000;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventLoop eventLoop;
  private final ReadTimes readTimes;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private long expectedNanos;
  private long lastLogMillis = -MIN_LOG_INTERVAL_MILLIS;
  private int unloggedDelays;

  private EventLoopWatch(
      EventLoop eventLoop, ReadTimes readTimes, StructuredLog log, ForwardMetrics metrics) {
    this.eventLoop = eventLoop;
    this.readTimes = readTimes;
    this.log = log;
    this.metrics = metrics;
  }

  /** Starts to measure until the event loop ends. */
  static void start(
      EventLoop eventLoop, ReadTimes readTimes, StructuredLog log, ForwardMetrics metrics) {
    EventLoopWatch watch = new EventLoopWatch(eventLoop, readTimes, log, metrics);
    eventLoop.execute(watch::scheduleNext);
  }

  private void scheduleNext() {
    expectedNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(INTERVAL_MILLIS);
    eventLoop.schedule(this::measure, INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
  }

  private void measure() {
    long delayNanos = Math.max(0, System.nanoTime() - expectedNanos);
    ReadTimes.Window window = readTimes.endWindow();
    metrics.eventLoopDelaySeconds.observe(delayNanos / NANOS_PER_SECOND);
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(delayNanos);
    if (delayMillis >= LOGGED_DELAY_MILLIS) {
      logDelay(delayMillis, window);
    }
    scheduleNext();
  }

  private void logDelay(long delayMillis, ReadTimes.Window window) {
    long nowMillis = MonotonicClock.millis();
    if (nowMillis - lastLogMillis < MIN_LOG_INTERVAL_MILLIS) {
      unloggedDelays++;
      return;
    }
    LogLine line =
        LogLine.of("event_loop_held")
            .with("delay_millis", delayMillis)
            .with("read_millis", TimeUnit.NANOSECONDS.toMillis(window.nanos()))
            .with("unlogged_delays", unloggedDelays);
    window.busiest().ifPresent(usage -> describe(line, usage));
    log.add(line);
    lastLogMillis = nowMillis;
    unloggedDelays = 0;
  }

  private static void describe(LogLine line, ReadTimes.Usage usage) {
    line.with("busiest", usage.source().kind())
        .with("name", usage.source().name().get())
        .with("request", usage.source().request().get())
        .with("busiest_millis", TimeUnit.NANOSECONDS.toMillis(usage.nanos()))
        .with("busiest_bytes", usage.bytes());
  }
}
