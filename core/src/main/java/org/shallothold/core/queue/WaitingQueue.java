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
 * The waiting requests. The oldest of each class holds the class's reserved place, and preempted
 * requests hold a limited number of further places; these are not counted and can't be displaced.
 * Scans are linear: a queue holds at most a few hundred requests. Owned by the scheduler's thread.
 */
final class WaitingQueue {

  private final Map<Long, Entry> entries = new LinkedHashMap<>();

  void add(Entry entry) {
    entries.put(entry.work.id(), entry);
  }

  Optional<Entry> remove(long id) {
    return Optional.ofNullable(entries.remove(id));
  }

  boolean isEmpty() {
    return entries.isEmpty();
  }

  int size() {
    return entries.size();
  }

  Collection<Entry> entries() {
    return entries.values();
  }

  boolean hasClass(String serviceClass) {
    return entries.values().stream()
        .anyMatch(entry -> entry.work.serviceClass().equals(serviceClass));
  }

  /** Returns the oldest request of each class by the name of the class. */
  Map<String, Entry> oldestByClass() {
    Map<String, Entry> oldest = new HashMap<>();
    entries
        .values()
        .forEach(
            entry ->
                oldest.merge(
                    entry.work.serviceClass(),
                    entry,
                    (first, second) -> first.sequence <= second.sequence ? first : second));
    return oldest;
  }

  /**
   * Returns the requests that hold a place beyond the counted ones: the oldest of each class, and
   * the oldest preempted ones, whose tokens would be wasted if they were displaced.
   *
   * @param preemptedPlaces places for preempted requests
   */
  Set<Entry> seated(int preemptedPlaces) {
    Set<Entry> seated = new HashSet<>(oldestByClass().values());
    List<Entry> preempted =
        entries.values().stream()
            .filter(entry -> entry.preemptions > 0 && !seated.contains(entry))
            .sorted(Comparator.comparingLong(entry -> entry.sequence))
            .limit(preemptedPlaces)
            .toList();
    seated.addAll(preempted);
    return seated;
  }

  /** Returns how many requests wait in counted places. */
  int ordinary(int preemptedPlaces) {
    return entries.size() - seated(preemptedPlaces).size();
  }

  /** Returns the most recent request of the lowest tier below a tier that may be displaced. */
  Optional<Entry> displaceable(int tier, int preemptedPlaces) {
    Set<Entry> seated = seated(preemptedPlaces);
    return entries.values().stream()
        .filter(entry -> entry.work.tier() > tier && !seated.contains(entry))
        .max(
            Comparator.comparingInt((Entry entry) -> entry.work.tier())
                .thenComparingLong(entry -> entry.sequence));
  }

  /** Returns the oldest request of all. */
  Optional<Entry> oldest() {
    return entries.values().stream().min(Comparator.comparingLong(entry -> entry.sequence));
  }

  /** Returns the request that starts next, apart from the floor. */
  Optional<Entry> first(RecentService service, long nowMillis) {
    return entries.values().stream().min(startOrder(service, nowMillis));
  }

  /** Returns the requests in the order of starts, apart from the floor. */
  List<Entry> inOrder(RecentService service, long nowMillis) {
    return entries.values().stream().sorted(startOrder(service, nowMillis)).toList();
  }

  private Comparator<Entry> startOrder(RecentService service, long nowMillis) {
    Map<String, Double> usage = new HashMap<>();
    entries
        .values()
        .forEach(
            entry ->
                usage.computeIfAbsent(
                    entry.work.customer(), customer -> service.of(customer, nowMillis)));
    return Comparator.comparingInt((Entry entry) -> entry.work.tier())
        .thenComparingDouble(entry -> usage.getOrDefault(entry.work.customer(), 0.0))
        .thenComparingLong(entry -> entry.work.deadlineMillis())
        .thenComparingLong(entry -> entry.sequence);
  }
}
