package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import org.shallothold.core.hash.Hashing;

/**
 * Chooses a model engine by the estimated time to the first event and by what reading the prompt
 * costs others: an engine that reads a long prompt delays the events of all its streams.
 *
 * <p>Streams with a short pause target and long prompts are kept apart: some engines, the same in
 * all gateways, are kept for the former. How many follows from the work of these streams. Owned by
 * one thread.
 */
public final class EnginePlacement implements PlacementPolicy {

  // Cost of missing the pause target of one stream, in milliseconds of the first event's delay.
  private static final double BROKEN_PAUSE_COST_MILLIS = 150;
  // A stream with a short pause target goes to another engine when its own are this much busier.
  private static final double LEAVE_LANE_COST_MILLIS = 250;
  // Other work enters the lane only when its own engines can't be reached.
  private static final double ENTER_LANE_COST_MILLIS = 5_000;
  // All else equal, gateways agree on the engine that caches a prefix.
  private static final double RANK_COST_MILLIS = 40;
  // Reading takes time from the requests that come later, and a part that a second engine reads
  // displaces what it caches. So a request rather waits for the engine that caches its parts.
  private static final double READ_WEIGHT = 6;
  private static final double FAILURE_COST_MILLIS = 1_500;
  private static final double OTHER_DOMAIN_COST_MILLIS = 3;
  private static final double FULL_COST_MILLIS = 2_000;
  private static final double DEMAND_MEMORY_MILLIS = 2_500;
  // Above this load, requests that come together wait too long for their first events.
  private static final double LANE_LOAD = 0.4;
  // Under overload of both kinds, short pauses get this much more than their share.
  private static final double LANE_FAVOUR = 1.5;
  // The measured pause is reached only by part of the streams.
  private static final double PAUSE_MARGIN = 0.7;

  private final EngineFigures figures;
  private final String failureDomain;
  private double tightDemand;
  private double otherDemand;
  private long demandMillis;
  private double peersTightLoad;

  private EnginePlacement(EngineFigures figures, String failureDomain) {
    this.figures = figures;
    this.failureDomain = failureDomain;
  }

  /** Returns a policy for a gateway in a failure domain. */
  public static EnginePlacement of(EngineFigures figures, String failureDomain) {
    return new EnginePlacement(figures, failureDomain);
  }

  /** Notes a request for an engine, whether it is sent or not. */
  public void requestArrived(Work work, long nowMillis) {
    fade(nowMillis);
    double read = figures.readMillis(work.promptTokens(), work.sharedTokens());
    if (work.hasShortPauses()) {
      tightDemand += read;
    } else {
      otherDemand += read;
    }
  }

  /** Returns the work of streams with a short pause target, in engines that it keeps busy. */
  public double tightLoad(long nowMillis) {
    fade(nowMillis);
    return tightDemand / DEMAND_MEMORY_MILLIS;
  }

  /** Sets the sum of the peers' {@link #tightLoad}. */
  public void peersTightLoad(double load) {
    peersTightLoad = load;
  }

  @Override
  public Optional<Placement> choose(
      Work work, Collection<ServerModel> servers, Predicate<ServerModel> excluded, long nowMillis) {
    List<ServerModel> inService = PlacementPolicy.inService(servers);
    List<ServerModel> usable = PlacementPolicy.reachable(inService, excluded, nowMillis);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    PlacementPolicy.compareSlowness(usable);
    // Engines out of reach keep their places, so that gateways that reach them agree with others.
    Set<ServerModel> lane =
        inService.stream().limit(laneSize(inService.size(), nowMillis)).collect(Collectors.toSet());
    long[] chain = work.chain();
    boolean tight = work.hasShortPauses();
    return usable.stream()
        .map(
            server ->
                assess(server, work, chain, laneCost(tight, lane.contains(server)), nowMillis))
        .min(Comparator.comparingDouble(Choice::cost))
        .map(Choice::placement);
  }

  /** Returns how many of the engines are kept for streams with a short pause target. */
  int laneSize(int engines, long nowMillis) {
    double load = tightLoad(nowMillis) + peersTightLoad;
    if (engines < 2 || load == 0) {
      return 0;
    }
    double favoured = tightDemand * LANE_FAVOUR;
    long fair = Math.round(engines * favoured / (favoured + otherDemand));
    long wanted = (long) Math.ceil(load / LANE_LOAD);
    return (int) Math.clamp(Math.min(wanted, Math.max(1, fair)), 1, engines - 1L);
  }

  private record Choice(Placement placement, double cost) {}

  private Choice assess(
      ServerModel server, Work work, long[] chain, double laneCost, long nowMillis) {
    int cached = Math.min(server.cachedTokens(chain, work), work.promptTokens());
    double read = figures.readMillis(work.promptTokens(), cached);
    double backlog = server.backlogMillis(nowMillis);
    double first = (backlog + read) * server.relativeSlowness();
    int open = server.openRequests(nowMillis);
    double cost = (backlog + read * READ_WEIGHT) * server.relativeSlowness() + laneCost;
    if (figures.pauseMillis(backlog + read) * server.relativeSlowness()
        > Work.SHORT_PAUSE_MILLIS * PAUSE_MARGIN) {
      cost += BROKEN_PAUSE_COST_MILLIS * server.tightStreams(nowMillis);
    }
    cost += RANK_COST_MILLIS * Hashing.unit(affinity(chain), server.idHash());
    cost += FAILURE_COST_MILLIS * server.failureRate();
    cost += open * figures.stepMillis() / 2;
    cost += open >= server.entry().slots() ? FULL_COST_MILLIS : 0;
    cost += server.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_COST_MILLIS;
    return new Choice(
        new Placement(server, read, first, backlog * server.relativeSlowness(), cached), cost);
  }

  private static double laneCost(boolean tight, boolean inLane) {
    if (tight == inLane) {
      return 0;
    }
    return tight ? LEAVE_LANE_COST_MILLIS : ENTER_LANE_COST_MILLIS;
  }

  /** Returns the hash of the last part that other requests share; the last part is its own. */
  private static long affinity(long[] chain) {
    return chain.length < 2 ? 0 : chain[chain.length - 2];
  }

  private void fade(long nowMillis) {
    double keep = Math.exp(-Math.max(0, nowMillis - demandMillis) / DEMAND_MEMORY_MILLIS);
    demandMillis = nowMillis;
    tightDemand *= keep;
    otherDemand *= keep;
  }
}
