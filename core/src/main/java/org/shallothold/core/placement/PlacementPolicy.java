package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/** Chooses a backend server for a request. Behaviour differs by kind of service. */
public sealed interface PlacementPolicy permits EnginePlacement, PlainPlacement {

  /**
   * Returns the choice among servers that take new work, or empty if there is none.
   *
   * @param servers all servers of the service
   * @param excluded servers that the request was sent to before
   */
  Optional<Placement> choose(
      Work work, Collection<ServerModel> servers, Predicate<ServerModel> excluded, long nowMillis);

  /** Returns the servers that take new work, in an order that all gateways share. */
  static List<ServerModel> inService(Collection<ServerModel> servers) {
    return servers.stream()
        .filter(server -> !server.isLeaving())
        .sorted(
            Comparator.comparingLong(ServerModel::idHash)
                .thenComparing(server -> server.entry().id()))
        .toList();
  }

  /**
   * Returns the servers to choose from: those out of reach only if there are no others, and never
   * those that asked to be left alone.
   */
  static List<ServerModel> reachable(
      List<ServerModel> inService, Predicate<ServerModel> excluded, long nowMillis) {
    List<ServerModel> allowed =
        inService.stream()
            .filter(excluded.negate())
            .filter(server -> server.closedMillis(nowMillis) == 0)
            .toList();
    List<ServerModel> reachable =
        allowed.stream().filter(server -> !server.suspended(nowMillis)).toList();
    return reachable.isEmpty() ? allowed : reachable;
  }

  /** Compares each server with the median slowness of all. */
  static void compareSlowness(List<ServerModel> servers) {
    double usual =
        servers.stream()
            .mapToDouble(ServerModel::slowness)
            .sorted()
            .skip(servers.size() / 2)
            .findFirst()
            .orElse(1);
    servers.forEach(server -> server.compareSlowness(usual));
  }
}
