package org.shallothold.core.limit;

import java.util.HashMap;
import java.util.Map;
import java.util.NavigableMap;
import java.util.NavigableSet;
import java.util.Optional;
import java.util.TreeMap;
import java.util.TreeSet;

/**
 * Bounds the requests being served at once. An arrival at a full gate takes the place of the latest
 * request of the lowest tier below its own that has received no part of its answer. Each class has
 * one place beyond the bound, and its oldest request can't be displaced, so no class is starved.
 * Made once per gateway; owned by one thread.
 */
public final class AdmissionGate {

  private final int capacity;
  private final Map<Long, Place> places = new HashMap<>();
  private final Map<String, NavigableSet<Long>> numbersByClass = new HashMap<>();
  private final NavigableMap<Integer, NavigableSet<Long>> displaceableByTier = new TreeMap<>();

  private AdmissionGate(int capacity) {
    this.capacity = capacity;
  }

  private record Place(String serviceClass, int tier) {}

  /** Returns an empty gate with the given number of places. */
  public static AdmissionGate ofCapacity(int capacity) {
    return new AdmissionGate(capacity);
  }

  /**
   * Decides on an arrival; an admitted request holds its place until {@link #release}. The place of
   * a displaced request is released here.
   *
   * @param displaceable whether the request may later be displaced, which an order may not
   */
  public Admission admit(long number, String serviceClass, int tier, boolean displaceable) {
    Admission admission = decide(serviceClass, tier);
    if (admission instanceof Admission.Displacing displacing) {
      release(displacing.requestNumber());
    }
    if (!(admission instanceof Admission.Refused)) {
      places.put(number, new Place(serviceClass, tier));
      numbersByClass.computeIfAbsent(serviceClass, name -> new TreeSet<>()).add(number);
      if (displaceable) {
        displaceableByTier.computeIfAbsent(tier, key -> new TreeSet<>()).add(number);
      }
    }
    return admission;
  }

  /** Notes that a request received part of its answer and can't be displaced any more. */
  public void answered(long number) {
    Place place = places.get(number);
    if (place != null) {
      displaceableByTier.getOrDefault(place.tier(), new TreeSet<>()).remove(number);
    }
  }

  /** Gives the place of a request back; does nothing if it holds none. */
  public void release(long number) {
    answered(number);
    Place place = places.remove(number);
    if (place != null) {
      numbersByClass.computeIfPresent(
          place.serviceClass(),
          (name, numbers) -> numbers.remove(number) && numbers.isEmpty() ? null : numbers);
    }
  }

  /** Returns how many requests hold a place. */
  public int size() {
    return places.size();
  }

  private Admission decide(String serviceClass, int tier) {
    if (places.size() < capacity || !numbersByClass.containsKey(serviceClass)) {
      return new Admission.Admitted();
    }
    return displaceableByTier.tailMap(tier, false).descendingMap().values().stream()
        .flatMap(numbers -> latestDisplaceable(numbers).stream())
        .findFirst()
        .<Admission>map(Admission.Displacing::new)
        .orElseGet(Admission.Refused::new);
  }

  private Optional<Long> latestDisplaceable(NavigableSet<Long> numbers) {
    return numbers.descendingSet().stream().filter(number -> !isOldestOfClass(number)).findFirst();
  }

  private boolean isOldestOfClass(long number) {
    Place place = places.get(number);
    NavigableSet<Long> numbers = place == null ? null : numbersByClass.get(place.serviceClass());
    return numbers != null && numbers.first() == number;
  }
}
