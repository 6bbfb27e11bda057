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
 * Bounds the requests being served at once, and with them the memory that they hold: a large
 * request takes several places. An arrival at a full gate takes the places of the latest requests
 * of the lowest tiers below its own that have received no part of their answers. Each class may
 * have one request beyond the bound, and its oldest request can't be displaced, so no class is
 * starved. Made once per gateway; owned by one thread.
 */
public final class AdmissionGate {

  private final int capacity;
  private final Map<Long, Place> places = new HashMap<>();
  private final Map<String, NavigableSet<Long>> numbersByClass = new HashMap<>();
  private int used;
  private final NavigableMap<Integer, NavigableSet<Long>> displaceableByTier = new TreeMap<>();

  private AdmissionGate(int capacity) {
    this.capacity = capacity;
  }

  private record Place(String serviceClass, int tier, int places) {}

  /** Returns an empty gate with the given number of places. */
  public static AdmissionGate ofCapacity(int capacity) {
    return new AdmissionGate(capacity);
  }

  /**
   * Decides on an arrival; an admitted request holds its places until {@link #release}. Those of
   * displaced requests are released here.
   *
   * @param wanted places that the request takes, at least 1
   * @param displaceable whether the request may later be displaced, which an order may not
   */
  public Admission admit(
      long number, String serviceClass, int tier, int wanted, boolean displaceable) {
    Admission admission = decide(serviceClass, tier, wanted);
    if (admission instanceof Admission.Displacing displacing) {
      displacing.requestNumbers().forEach(this::release);
    }
    if (!(admission instanceof Admission.Refused)) {
      places.put(number, new Place(serviceClass, tier, wanted));
      used += wanted;
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
      used -= place.places();
      numbersByClass.computeIfPresent(
          place.serviceClass(),
          (name, numbers) -> numbers.remove(number) && numbers.isEmpty() ? null : numbers);
    }
  }

  /** Returns how many requests hold a place. */
  public int size() {
    return places.size();
  }

  private Admission decide(String serviceClass, int tier, int wanted) {
    if (used + wanted <= capacity || !numbersByClass.containsKey(serviceClass)) {
      return new Admission.Admitted();
    }
    List<Long> displaced = new ArrayList<>();
    // A class's place beyond the bound is never taken back from the classes within it.
    int missing = Math.min(wanted, used + wanted - capacity);
    for (NavigableSet<Long> numbers :
        displaceableByTier.tailMap(tier, false).descendingMap().values()) {
      for (long number : numbers.descendingSet()) {
        Place place = places.get(number);
        if (missing > 0 && place != null && !isOldestOfClass(number)) {
          displaced.add(number);
          missing -= place.places();
        }
      }
    }
    return missing > 0 ? new Admission.Refused() : new Admission.Displacing(displaced);
  }

  private boolean isOldestOfClass(long number) {
    Place place = places.get(number);
    NavigableSet<Long> numbers = place == null ? null : numbersByClass.get(place.serviceClass());
    return numbers != null && numbers.first() == number;
  }
}
