package org.shallothold.core.limit;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Limits the requests in flight, and thereby the memory that they use: each request holds permits,
 * a large one several. When no permits are free, a new request displaces the latest requests of the
 * lowest tiers below its own that have not received any part of their answers. A class without a
 * request in flight gets one beyond the capacity, and the oldest request of a class can't be
 * displaced, so that no class starves. One instance per gateway; owned by one thread.
 */
public final class AdmissionGate {

  private final int capacity;
  private final Map<Long, AdmittedRequest> admittedByNumber = new HashMap<>();
  private final Map<String, NavigableSet<Long>> numbersByClass = new HashMap<>();
  private int usedPermits;
  private final NavigableMap<Integer, NavigableSet<Long>> displaceableByTier = new TreeMap<>();

  private AdmissionGate(int capacity) {
    this.capacity = capacity;
  }

  private record AdmittedRequest(String serviceClass, int tier, int permitCount) {}

  /** Returns a gate with the given number of permits, all free. */
  public static AdmissionGate ofCapacity(int capacity) {
    return new AdmissionGate(capacity);
  }

  /**
   * Decides about a new request. An admitted request holds its permits until {@link #release}; the
   * permits of displaced requests are released by this method.
   *
   * @param number number of the request, unique among those in flight
   * @param serviceClass name of its service class
   * @param tier tier of its service class
   * @param permitCount number of permits that the request needs, at least 1
   * @param displaceable whether the request may be displaced later; false for an order
   */
  public Admission admit(
      long number, String serviceClass, int tier, int permitCount, boolean displaceable) {
    Admission admission = decide(serviceClass, tier, permitCount);
    if (admission instanceof Admission.Displacing displacing) {
      displacing.requestNumbers().forEach(this::release);
    }
    if (!(admission instanceof Admission.Refused)) {
      admittedByNumber.put(number, new AdmittedRequest(serviceClass, tier, permitCount));
      usedPermits += permitCount;
      numbersByClass.computeIfAbsent(serviceClass, name -> new TreeSet<>()).add(number);
      if (displaceable) {
        displaceableByTier.computeIfAbsent(tier, key -> new TreeSet<>()).add(number);
      }
    }
    return admission;
  }

  /** Records that a request received part of its answer, so that it can't be displaced any more. */
  public void answerStarted(long number) {
    AdmittedRequest admitted = admittedByNumber.get(number);
    if (admitted != null) {
      displaceableByTier.getOrDefault(admitted.tier(), new TreeSet<>()).remove(number);
    }
  }

  /** Releases the permits of a request; does nothing if it holds none. */
  public void release(long number) {
    answerStarted(number);
    AdmittedRequest admitted = admittedByNumber.remove(number);
    if (admitted != null) {
      usedPermits -= admitted.permitCount();
      numbersByClass.computeIfPresent(
          admitted.serviceClass(),
          (name, numbers) -> numbers.remove(number) && numbers.isEmpty() ? null : numbers);
    }
  }

  /** Returns the number of requests that hold permits. */
  public int size() {
    return admittedByNumber.size();
  }

  private Admission decide(String serviceClass, int tier, int permitCount) {
    if (usedPermits + permitCount <= capacity || !numbersByClass.containsKey(serviceClass)) {
      return new Admission.Admitted();
    }
    List<Long> displaced = new ArrayList<>();
    // Permits that a class holds beyond the capacity are not reclaimed here: displacement has to
    // free at most as many permits as the new request needs.
    int missingPermits = Math.min(permitCount, usedPermits + permitCount - capacity);
    for (NavigableSet<Long> numbers :
        displaceableByTier.tailMap(tier, false).descendingMap().values()) {
      for (long number : numbers.descendingSet()) {
        AdmittedRequest admitted = admittedByNumber.get(number);
        if (missingPermits > 0 && admitted != null && !isOldestOfClass(number)) {
          displaced.add(number);
          missingPermits -= admitted.permitCount();
        }
      }
    }
    return missingPermits > 0 ? new Admission.Refused() : new Admission.Displacing(displaced);
  }

  private boolean isOldestOfClass(long number) {
    AdmittedRequest admitted = admittedByNumber.get(number);
    NavigableSet<Long> numbers =
        admitted == null ? null : numbersByClass.get(admitted.serviceClass());
    return numbers != null && numbers.first() == number;
  }
}
