package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;

/**
 * Chooses the server of a plain service with the lowest ratio of open requests to slots. Among
 * equally loaded servers it prefers those in the gateway's own failure domain, faster ones and
 * those with fewer failures. Owned by one thread.
 */
public final class PlainPlacementPolicy implements PlacementPolicy {

  // Costs are in units of utilization. A server that failed half of its requests is chosen only
  // when the utilization of the others is higher by half of this.
  private static final double FAILURE_COST = 2;
  private static final double OTHER_DOMAIN_COST = 0.2;
  private static final double SLOWNESS_COST = 0.3;
  // Gateways that decide by the same stated slowness don't know of each other's choices yet.
  private static final double SPREAD_COST = 0.1;

  private final String failureDomain;
  private final RandomGenerator random = new SplittableRandom();

  /** A server with its cost, which is partly random. */
  private record Candidate(TrackedServer server, double cost) {}

  private PlainPlacementPolicy(String failureDomain) {
    this.failureDomain = failureDomain;
  }

  /** Returns a policy for a gateway in the given failure domain. */
  public static PlainPlacementPolicy in(String failureDomain) {
    return new PlainPlacementPolicy(failureDomain);
  }

  @Override
  public Optional<Placement> choose(
      RequestProfile profile,
      Collection<TrackedServer> servers,
      Predicate<TrackedServer> excluded,
      long nowMillis) {
    List<TrackedServer> usable =
        PlacementPolicy.reachable(PlacementPolicy.inService(servers), excluded, nowMillis);
    PlacementPolicy.updateRelativeSlowness(usable);
    boolean spreads = SpeedCosts.differ(usable, nowMillis);
    return usable.stream()
        .map(server -> new Candidate(server, cost(server, spreads, nowMillis)))
        .min(Comparator.comparingDouble(Candidate::cost))
        .map(Candidate::server)
        .map(server -> Placement.forPlainService(server, profile.latencyTargetMillis() / 2.0));
  }

  private double cost(TrackedServer server, boolean spreads, long nowMillis) {
    double timeFactor = server.timeFactor(nowMillis);
    double utilization =
        (double) server.openRequests(nowMillis) / Math.max(1, server.entry().slots());
    double domainCost =
        server.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_COST;
    return utilization * timeFactor
        + domainCost
        + SLOWNESS_COST * (timeFactor - 1)
        + FAILURE_COST * server.failureRate()
        + (spreads ? SPREAD_COST * timeFactor * -Math.log1p(-random.nextDouble()) : 0);
  }
}
