package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/** Chooses a backend server for a request. Behaviour differs by kind of service. */
public sealed interface PlacementPolicy permits EnginePlacement, PlainPlacement {

  /**
   * Returns the choice among servers that take new work, or empty if there is none.
   *
   * @param candidates servers of the service that are not excluded for this request
   */
  Optional<Placement> choose(Work work, Collection<ServerModel> candidates, long nowMillis);

  /** Returns the candidates to choose from: servers out of reach only if there are no others. */
  static List<ServerModel> reachable(Collection<ServerModel> candidates, long nowMillis) {
    List<ServerModel> usable =
        candidates.stream()
            .filter(server -> !server.entry().leaving())
            .sorted(Comparator.comparing((ServerModel server) -> server.entry().id()))
            .toList();
    List<ServerModel> reachable =
        usable.stream().filter(server -> !server.suspended(nowMillis)).toList();
    return reachable.isEmpty() ? usable : reachable;
  }

  /** Returns the median slowness of servers; at least one is given. */
  static double usualSlowness(List<ServerModel> servers) {
    return servers.stream()
        .mapToDouble(ServerModel::slowness)
        .sorted()
        .skip(servers.size() / 2)
        .findFirst()
        .orElse(1);
  }
}
