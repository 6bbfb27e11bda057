package org.shallothold.core.queue;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

/**
 * The waiting requests. The oldest request of each class has a reserved place, and a limited number
 * of preempted requests have reserved places too. Reserved places do not count towards the queue
 * limit, and requests in them can't be displaced. Scans are linear, since a queue holds at most a
 * few hundred requests. Owned by the scheduler's thread.
 */
final class WaitingQueue {

  private final Map<Long, SchedulerEntry> entries = new LinkedHashMap<>();

  void add(SchedulerEntry entry) {
    entries.put(entry.request.id(), entry);
  }

  Optional<SchedulerEntry> remove(long id) {
    return Optional.ofNullable(entries.remove(id));
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  Collection<SchedulerEntry> entries() {
    return entries.values();
  }

  boolean hasClass(String serviceClass) {
    return entries.values().stream()
        .anyMatch(entry -> entry.request.serviceClass().equals(serviceClass));
  }

  /** Returns the oldest request of each class, by class name. */
  Map<String, SchedulerEntry> oldestByClass() {
    Map<String, SchedulerEntry> oldest = new HashMap<>();
    entries
        .values()
        .forEach(
            entry ->
                oldest.merge(
                    entry.request.serviceClass(),
                    entry,
                    (first, second) -> first.sequence <= second.sequence ? first : second));
    return oldest;
  }

  /**
   * Returns the requests in reserved places: the oldest of each class, and the oldest preempted
   * ones, whose tokens would be wasted if they were displaced.
   *
   * @param preemptedPlaces number of places reserved for preempted requests
   */
  Set<SchedulerEntry> reservedEntries(int preemptedPlaces) {
    Set<SchedulerEntry> reserved = new HashSet<>(oldestByClass().values());
    List<SchedulerEntry> preempted =
        entries.values().stream()
            .filter(entry -> entry.preemptions > 0 && !reserved.contains(entry))
            .sorted(Comparator.comparingLong(entry -> entry.sequence))
            .limit(preemptedPlaces)
            .toList();
    reserved.addAll(preempted);
    return reserved;
  }

  /** Returns the number of waiting requests that count towards the queue limit. */
  int countedSize(int preemptedPlaces) {
    return entries.size() - reservedEntries(preemptedPlaces).size();
  }

  /**
   * Returns the request to displace for a request of a tier: of the lowest tier below it, the
   * latest arrival without a reserved place; empty if there is none.
   */
  Optional<SchedulerEntry> findDisplaceable(int tier, int preemptedPlaces) {
    Set<SchedulerEntry> reserved = reservedEntries(preemptedPlaces);
    return entries.values().stream()
        .filter(entry -> entry.request.tier() > tier && !reserved.contains(entry))
        .max(
            Comparator.comparingInt((SchedulerEntry entry) -> entry.request.tier())
                .thenComparingLong(entry -> entry.sequence));
  }

  /** Returns the earliest arrival; empty if nothing waits. */
  Optional<SchedulerEntry> oldest() {
    return entries.values().stream().min(Comparator.comparingLong(entry -> entry.sequence));
  }

  /** Returns the first request in start order, ignoring the floor; empty if nothing waits. */
  Optional<SchedulerEntry> firstInStartOrder(CustomerUsage usage, long nowMillis) {
    return entries.values().stream().min(startOrder(usage, nowMillis));
  }

  /** Returns the requests in start order, ignoring the floor. */
  List<SchedulerEntry> inStartOrder(CustomerUsage usage, long nowMillis) {
    return entries.values().stream().sorted(startOrder(usage, nowMillis)).toList();
  }

  private Comparator<SchedulerEntry> startOrder(CustomerUsage usage, long nowMillis) {
    Map<String, Double> usageByCustomer = new HashMap<>();
    entries
        .values()
        .forEach(
            entry ->
                usageByCustomer.computeIfAbsent(
                    entry.request.customer(), customer -> usage.usedMillis(customer, nowMillis)));
    return Comparator.comparingInt((SchedulerEntry entry) -> entry.request.tier())
        .thenComparingDouble(entry -> usageByCustomer.getOrDefault(entry.request.customer(), 0.0))
        .thenComparingLong(entry -> entry.request.deadlineMillis())
        .thenComparingLong(entry -> entry.sequence);
  }
}
