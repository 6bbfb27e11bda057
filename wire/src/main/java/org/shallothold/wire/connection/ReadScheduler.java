package org.shallothold.wire.connection;

import io.netty.channel.Channel;
import io.netty.channel.EventLoop;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.concurrent.TimeUnit;
import java.util.function.LongSupplier;
import java.util.function.Supplier;

/**
 * Shares the time of an event loop among connections, whatever work their bytes make. A connection
 * that uses little is handled at once. One that has used up its {@linkplain ReadCredit credit} is
 * deferred: it waits until the event loop has served the others, and all deferred connections
 * together get a limited time, in turns, in each iteration of the event loop. They use all time
 * that nothing else needs. Not thread-safe; used on the event loop only.
 */
public final class ReadScheduler {

  // Delays everything else once in each iteration.
  private static final long RUN_NANOS = TimeUnit.MILLISECONDS.toNanos(2);
  private static final long TURN_NANOS = TimeUnit.MICROSECONDS.toNanos(500);
  // Above what the connection of a caller or the stream of a server usually takes.
  private static final double CREDIT_SHARE = 0.01;
  // For the credit of all connections that have used theirs up.
  private static final double TOTAL_CREDIT_SHARE = 0.25;

  private final String kind;
  private final EventLoop eventLoop;
  private final ReadTimes times;
  private final LongSupplier nanoClock;
  private final Deque<ScheduledReads> deferred = new ArrayDeque<>();
  private boolean runScheduled;
  private int exhaustedConnections;
  private long deferrals;
  private long deferredNanos;

  private ReadScheduler(String kind, EventLoop eventLoop, ReadTimes times, LongSupplier nanoClock) {
    this.kind = kind;
    this.eventLoop = eventLoop;
    this.times = times;
    this.nanoClock = nanoClock;
  }

  /**
   * Creates a scheduler for connections of one kind, which compete with each other only.
   *
   * @param kind kind of the processes at the other end, as logs and metrics name it
   */
  public static ReadScheduler create(String kind, EventLoop eventLoop) {
    return new ReadScheduler(kind, eventLoop, ReadTimes.of(eventLoop), System::nanoTime);
  }

  /** Creates a scheduler that reads the time from a clock, for tests. */
  public static ReadScheduler withClock(EventLoop eventLoop, LongSupplier nanoClock) {
    return new ReadScheduler("test", eventLoop, ReadTimes.create(), nanoClock);
  }

  /**
   * Returns the handler for a connection on the event loop; it must be the pipeline's first.
   *
   * @param name id or address of the process at the other end
   * @param request id of the request that the connection carries or carried last
   */
  public ScheduledReads newReads(Channel channel, Supplier<String> name, Supplier<String> request) {
    return new ScheduledReads(this, channel, times.open(new ReadSource(kind, name, request)));
  }

  /** Returns the handler for a connection that is named by its remote address. */
  public ScheduledReads newReads(Channel channel) {
    return newReads(channel, () -> String.valueOf(channel.remoteAddress()), () -> "");
  }

  /** Returns the kind of the processes at the other end. */
  public String kind() {
    return kind;
  }

  /** Returns how often a connection was deferred. */
  public long deferrals() {
    return deferrals;
  }

  /** Returns the time used by connections while they were deferred, in nanoseconds. */
  public long deferredNanos() {
    return deferredNanos;
  }

  /** Returns the number of connections that are deferred now. */
  public int deferredConnections() {
    return deferred.size();
  }

  long nanoTime() {
    return nanoClock.getAsLong();
  }

  /** Returns the share of the time that each connection gains as credit. */
  double creditShare() {
    return Math.min(CREDIT_SHARE, TOTAL_CREDIT_SHARE / Math.max(1, exhaustedConnections));
  }

  void exhaustedConnectionsChanged(int difference) {
    exhaustedConnections += difference;
  }

  /** Defers a connection that has bytes to be handled. */
  void defer(ScheduledReads reads) {
    deferrals++;
    deferred.addLast(reads);
    scheduleRun();
  }

  private void scheduleRun() {
    if (!runScheduled && !deferred.isEmpty()) {
      runScheduled = true;
      // Unlike a task that is executed at once, this runs after the event loop has polled again.
      eventLoop.schedule(this::run, 0, TimeUnit.NANOSECONDS);
    }
  }

  private void run() {
    runScheduled = false;
    long startNanos = nanoTime();
    long usedNanos = 0;
    while (!deferred.isEmpty() && usedNanos < RUN_NANOS) {
      ScheduledReads reads = deferred.removeFirst();
      if (reads.takeTurn(TURN_NANOS)) {
        deferred.addLast(reads);
      }
      usedNanos = nanoTime() - startNanos;
    }
    deferredNanos += usedNanos;
    scheduleRun();
  }
}
