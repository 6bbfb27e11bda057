package org.shallothold.core.placement;

import java.util.Comparator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Stream;

/**
 * Requests of one service that wait in a gateway, ordered for dispatch. Owned by one thread.
 *
 * @param <R> type of the waiting requests
 */
public final class DispatchQueue<R extends DispatchQueue.Entry> {

  private final Set<R> entries = new LinkedHashSet<>();

  private DispatchQueue() {}

  /** A waiting request. */
  public interface Entry {

    /** Returns the properties that decide its order. */
    RequestProfile profile();

    /** Returns the time of its arrival, in milliseconds of the monotonic clock. */
    long arrivedMillis();

    /** Returns whether a busy engine can finish it before its deadline. */
    default boolean canFinish(long nowMillis) {
      return true;
    }
  }

  /** Returns a queue without requests. */
  public static <R extends Entry> DispatchQueue<R> empty() {
    return new DispatchQueue<>();
  }

  /** Adds a request; does nothing if it is in the queue already. */
  public void add(R request) {
    entries.add(request);
  }

  /** Removes a request; does nothing if it is not in the queue. */
  public void remove(R request) {
    entries.remove(request);
  }

  /** Returns whether a request is in the queue. */
  public boolean contains(R request) {
    return entries.contains(request);
  }

  /** Returns the requests in the order of their addition. */
  public Stream<R> stream() {
    return entries.stream();
  }

  /** Returns whether no request waits. */
  public boolean isEmpty() {
    return entries.isEmpty();
  }

  /** Returns the number of waiting requests. */
  public int size() {
    return entries.size();
  }

  /**
   * Returns the requests in the order in which they are to be sent: requests that busy engines can
   * finish before those that they can't, then requests that can still meet their latency target
   * before overdue ones, then by rank, then by arrival.
   */
  public List<R> inDispatchOrder(long nowMillis) {
    return entries.stream()
        .map(entry -> Position.of(entry, nowMillis))
        .sorted(Position.order())
        .map(Position::entry)
        .toList();
  }

  /** A request with what decides its position at one time. */
  private record Position<R extends Entry>(R entry, boolean canFinish, boolean overdue) {

    private static <R extends Entry> Position<R> of(R entry, long nowMillis) {
      return new Position<>(entry, entry.canFinish(nowMillis), isOverdue(entry, nowMillis));
    }

    private static <R extends Entry> Comparator<Position<R>> order() {
      return Comparator.comparing((Position<R> position) -> !position.canFinish())
          .thenComparing(Position::overdue)
          .thenComparing(position -> position.entry().profile().rank())
          .thenComparingLong(position -> position.entry().arrivedMillis());
    }
  }

  private static boolean isOverdue(Entry entry, long nowMillis) {
    return nowMillis - entry.arrivedMillis() > entry.profile().latencyTargetMillis();
  }
}
