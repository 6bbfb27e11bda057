package org.shallothold.gateway.forward;

import io.netty.channel.EventLoop;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.connection.ReadScheduler;
import org.shallothold.wire.connection.ReadTimes;

/**
 * Measures how late the event loop is and how much time connections use that make much work, and
 * logs the busiest of them. Owned by the event loop.
 */
final class EventLoopWatch {

  private static final long INTERVAL_MILLIS = 50;
  // Callers notice such a delay, since a request takes several turns of the event loop.
  private static final long LOGGED_DELAY_MILLIS = 100;
  private static final long LOG_INTERVAL_MILLIS = 1_000;
  // A tenth of the time between two lines.
  private static final long LOGGED_DEFERRED_MILLIS = 100;
  private static final double NANOS_PER_SECOND = 1e9;

  private final EventLoop eventLoop;
  private final ReadTimes readTimes;
  private final List<DeferredReads> deferredReads;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private long expectedNanos;
  private long lastDelayLogMillis = -LOG_INTERVAL_MILLIS;
  private int unloggedDelays;

  private EventLoopWatch(
      EventLoop eventLoop,
      List<ReadScheduler> schedulers,
      StructuredLog log,
      ForwardMetrics metrics) {
    this.eventLoop = eventLoop;
    this.readTimes = ReadTimes.of(eventLoop);
    this.deferredReads = schedulers.stream().map(DeferredReads::new).toList();
    this.log = log;
    this.metrics = metrics;
  }

  /**
   * Starts to measure until the event loop ends.
   *
   * @param schedulers schedulers of the connections of callers and servers
   */
  static void start(
      EventLoop eventLoop,
      List<ReadScheduler> schedulers,
      StructuredLog log,
      ForwardMetrics metrics) {
    EventLoopWatch watch = new EventLoopWatch(eventLoop, schedulers, log, metrics);
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
    long nowMillis = MonotonicClock.millis();
    long delayMillis = TimeUnit.NANOSECONDS.toMillis(delayNanos);
    if (delayMillis >= LOGGED_DELAY_MILLIS) {
      logDelay(delayMillis, window, nowMillis);
    }
    deferredReads.forEach(reads -> reads.update(window, nowMillis));
    scheduleNext();
  }

  private void logDelay(long delayMillis, ReadTimes.Window window, long nowMillis) {
    if (nowMillis - lastDelayLogMillis < LOG_INTERVAL_MILLIS) {
      unloggedDelays++;
      return;
    }
    lastDelayLogMillis = nowMillis;
    LogLine line =
        LogLine.of("event_loop_held")
            .with("delay_millis", delayMillis)
            .with("read_millis", TimeUnit.NANOSECONDS.toMillis(window.nanos()))
            .with("unlogged_delays", unloggedDelays);
    unloggedDelays = 0;
    window.busiest().ifPresent(usage -> describe(line, usage));
    log.add(line);
  }

  private static void describe(LogLine line, ReadTimes.Usage usage) {
    line.with("busiest", usage.source().kind())
        .with("busiest_name", usage.source().name().get())
        .with("busiest_request", usage.source().request().get())
        .with("busiest_millis", TimeUnit.NANOSECONDS.toMillis(usage.nanos()))
        .with("busiest_bytes", usage.bytes());
  }

  /** What deferred connections of one kind have used since the last line. */
  private final class DeferredReads {

    private final ReadScheduler scheduler;
    private long countedDeferrals;
    private long countedNanos;
    private long nanosAtLastLine;
    private long lastLineMillis = MonotonicClock.millis();

    private DeferredReads(ReadScheduler scheduler) {
      this.scheduler = scheduler;
    }

    private void update(ReadTimes.Window window, long nowMillis) {
      long deferrals = scheduler.deferrals() - countedDeferrals;
      long nanos = scheduler.deferredNanos() - countedNanos;
      countedDeferrals += deferrals;
      countedNanos += nanos;
      metrics.readDeferrals.labelValues(scheduler.kind()).inc((double) deferrals);
      metrics.deferredReadSeconds.labelValues(scheduler.kind()).inc(nanos / NANOS_PER_SECOND);
      if (nowMillis - lastLineMillis < LOG_INTERVAL_MILLIS) {
        return;
      }
      long usedMillis = TimeUnit.NANOSECONDS.toMillis(countedNanos - nanosAtLastLine);
      if (usedMillis >= LOGGED_DEFERRED_MILLIS) {
        LogLine line =
            LogLine.of("reads_deferred")
                .with("source", scheduler.kind())
                .with("used_millis", usedMillis)
                .with("period_millis", nowMillis - lastLineMillis)
                .with("waiting_connections", scheduler.deferredConnections());
        window.busiest().ifPresent(usage -> describe(line, usage));
        log.add(line);
      }
      lastLineMillis = nowMillis;
      nanosAtLastLine = countedNanos;
    }
  }
}
