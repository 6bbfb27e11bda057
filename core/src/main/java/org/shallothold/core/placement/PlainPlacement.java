package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.function.Predicate;

/**
 * Chooses a server of a plain service: the one with the fewest open requests for its slots, in the
 * gateway's own failure domain if that costs nothing. Owned by one thread.
 */
public final class PlainPlacement implements PlacementPolicy {

  // A server that failed half of its requests is taken only when others are this much fuller.
  private static final double FAILURE_COST = 2;
  private static final double OTHER_DOMAIN_COST = 0.2;
  private static final double SLOWNESS_COST = 0.3;

  private final String failureDomain;

  private PlainPlacement(String failureDomain) {
    this.failureDomain = failureDomain;
  }

  /** Returns a policy for a gateway in a failure domain. */
  public static PlainPlacement in(String failureDomain) {
    return new PlainPlacement(failureDomain);
  }

  @Override
  public Optional<Placement> choose(
      Work work, Collection<ServerModel> servers, Predicate<ServerModel> excluded, long nowMillis) {
    List<ServerModel> usable =
        PlacementPolicy.reachable(PlacementPolicy.inService(servers), excluded, nowMillis);
    PlacementPolicy.compareSlowness(usable);
    return usable.stream()
        .min(Comparator.comparingDouble(server -> cost(server, nowMillis)))
        .map(server -> Placement.ofWholeAnswer(server, work.latencyTargetMillis() / 2.0));
  }

  private double cost(ServerModel server, long nowMillis) {
    double fill = (double) server.openRequests(nowMillis) / Math.max(1, server.entry().slots());
    double distance = server.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_COST;
    return fill * server.relativeSlowness()
        + distance
        + SLOWNESS_COST * (server.relativeSlowness() - 1)
        + FAILURE_COST * server.failureRate();
  }
}
