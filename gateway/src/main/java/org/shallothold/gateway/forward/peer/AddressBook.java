package org.shallothold.gateway.forward.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.StateDifference;

/**
 * Addresses that a gateway has told its peers, in a fixed order, so that later only their ages need
 * to be told. Not thread-safe.
 */
final class AddressBook {

  // Ages are rounded up: an address must not appear younger each time that it is passed on.
  private static final long STEP_MILLIS = 20;
  // Receivers ignore an address of this age.
  private static final int UNKNOWN_AGE_MILLIS = 1_000_000;

  // By address, its index.
  private final Map<String, Integer> indexes = new LinkedHashMap<>();
  private Map<String, Long> ages = Map.of();

  // Addresses that peers with differences were not told yet.
  private final List<String> added = new ArrayList<>();

  /**
   * Takes over the addresses that are known now.
   *
   * @param agesByAddress time since each was last heard of, in milliseconds
   */
  void update(Map<String, Long> agesByAddress) {
    ages = agesByAddress;
    agesByAddress.keySet().stream()
        .filter(address -> !indexes.containsKey(address))
        .forEach(
            address -> {
              indexes.put(address, indexes.size());
              added.add(address);
            });
  }

  /** Forgets the addresses that are no longer known; all peers must be told all addresses next. */
  void compact() {
    indexes.clear();
    update(ages);
    added.clear();
  }

  /** Adds all addresses with their ages in milliseconds. */
  void describeAll(FleetNews.Builder update) {
    indexes
        .keySet()
        .forEach(
            address -> {
              Long age = ages.get(address);
              update
                  .addKnownAddresses(address)
                  .addKnownAddressAgeMillis(
                      age == null ? UNKNOWN_AGE_MILLIS : (int) Math.min(age, UNKNOWN_AGE_MILLIS));
            });
  }

  /** Adds the addresses that were not told yet; returns whether there are any. */
  boolean describeAdded(FleetNews.Builder update) {
    boolean anyAdded = !added.isEmpty();
    update.addAllKnownAddresses(added);
    added.clear();
    return anyAdded;
  }

  /** Adds the ages of all addresses. */
  void describeAges(StateDifference.Builder difference) {
    indexes.keySet().forEach(address -> difference.addAddressAges(toSteps(ages.get(address))));
  }

  private static int toSteps(@Nullable Long ageMillis) {
    return ageMillis == null
        ? 0
        : 1 + (int) ((Math.max(0, ageMillis) + STEP_MILLIS - 1) / STEP_MILLIS);
  }

  /**
   * Returns the addresses of a received difference, with their ages in milliseconds.
   *
   * @param addresses all addresses that the sender has told, in order
   */
  static Map<String, Integer> decode(List<String> addresses, List<Integer> steps) {
    Map<String, Integer> decoded = new LinkedHashMap<>();
    for (int i = 0; i < Math.min(addresses.size(), steps.size()); i++) {
      if (steps.get(i) > 0) {
        decoded.put(addresses.get(i), (int) ((steps.get(i) - 1) * STEP_MILLIS));
      }
    }
    return decoded;
  }
}
