package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Chooses a backend server for a request; there is one implementation for each kind of service. */
public sealed interface PlacementPolicy permits EnginePlacementPolicy, PlainPlacementPolicy {

  /**
   * Returns the chosen server among those that accept new work, or empty if there is none.
   *
   * @param profile properties of the request
   * @param servers all servers of the service
   * @param excluded matches servers that must not be chosen, such as those that the request was
   *     already sent to
   * @param nowMillis current time
   */
  Optional<Placement> choose(
      RequestProfile profile,
      Collection<TrackedServer> servers,
      Predicate<TrackedServer> excluded,
      long nowMillis);

  /** Returns the servers that accept new work, in an order that all gateways share. */
  static List<TrackedServer> inService(Collection<TrackedServer> servers) {
    return servers.stream()
        .filter(TrackedServer::acceptsNewWork)
        .sorted(
            Comparator.comparingLong(TrackedServer::idHash)
                .thenComparing(server -> server.entry().id()))
        .toList();
  }

  /**
   * Returns the servers to choose from. Suspended servers are returned only if there are no others.
   * Servers that asked this gateway to send nothing are never returned.
   */
  static List<TrackedServer> reachable(
      List<TrackedServer> inService, Predicate<TrackedServer> excluded, long nowMillis) {
    List<TrackedServer> allowed =
        inService.stream()
            .filter(excluded.negate())
            .filter(server -> server.closedMillis(nowMillis) == 0)
            .toList();
    List<TrackedServer> reachable =
        allowed.stream().filter(server -> !server.isSuspended(nowMillis)).toList();
    return reachable.isEmpty() ? allowed : reachable;
  }

  /** Updates the relative slowness of each server from the median of all. */
  static void updateRelativeSlowness(List<TrackedServer> servers) {
    double medianSlowness =
        servers.stream()
            .mapToDouble(TrackedServer::slowness)
            .sorted()
            .skip(servers.size() / 2)
            .findFirst()
            .orElse(1);
    servers.forEach(server -> server.updateRelativeSlowness(medianSlowness));
  }
}
