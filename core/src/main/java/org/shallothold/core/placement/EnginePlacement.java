package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Optional;

/**
 * Chooses a model engine by the estimated time to the first event and by what reading the prompt
 * costs others: an engine that reads a long prompt delays the events of all its streams.
 *
 * <p>Streams with a short pause target and long prompts are kept apart: a part of the engines, the
 * same in all gateways, is preferred for the former. How large it is follows from the work of both
 * kinds. Owned by one thread.
 */
public final class EnginePlacement implements PlacementPolicy {

  // Cost of missing the pause target of one stream, in milliseconds of the first event's delay.
  private static final double BROKEN_PAUSE_COST_MILLIS = 150;
  // Cost of an engine kept for the other kind of work.
  private static final double OTHER_LANE_COST_MILLIS = 120;
  // All else equal, gateways agree on the engine that caches a prefix.
  private static final double RANK_COST_MILLIS = 25;
  private static final double FAILURE_COST_MILLIS = 1_500;
  private static final double OTHER_DOMAIN_COST_MILLIS = 3;
  private static final double FULL_COST_MILLIS = 2_000;
  private static final double LANE_MEMORY_MILLIS = 4_000;
  // Engines for short pauses are kept at a lower load, since their first events are due soonest.
  private static final double TIGHT_HEADROOM = 2.0;

  private final EngineFigures figures;
  private final String failureDomain;
  private double tightDemand;
  private double otherDemand;
  private long demandMillis;

  private EnginePlacement(EngineFigures figures, String failureDomain) {
    this.figures = figures;
    this.failureDomain = failureDomain;
  }

  /** Returns a policy for a gateway in a failure domain. */
  public static EnginePlacement of(EngineFigures figures, String failureDomain) {
    return new EnginePlacement(figures, failureDomain);
  }

  @Override
  public Optional<Placement> choose(Work work, Collection<ServerModel> candidates, long nowMillis) {
    List<ServerModel> usable = PlacementPolicy.reachable(candidates, nowMillis);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    long[] chain = work.chain();
    boolean tight = isTight(work);
    int lane = tightLaneSize(usable.size());
    List<ServerModel> order =
        usable.stream()
            .sorted(
                Comparator.comparingLong(ServerModel::idHash)
                    .thenComparing(server -> server.entry().id()))
            .toList();
    Choice best = null;
    for (int i = 0; i < order.size(); i++) {
      Choice choice = assess(order.get(i), work, chain, tight == i < lane, nowMillis);
      if (best == null || choice.cost() < best.cost()) {
        best = choice;
      }
    }
    if (best == null) {
      return Optional.empty();
    }
    noteDemand(tight, best.placement().readMillis(), work, nowMillis);
    return Optional.of(best.placement());
  }

  private record Choice(Placement placement, double cost) {}

  private Choice assess(
      ServerModel server, Work work, long[] chain, boolean ownLane, long nowMillis) {
    int cached = Math.min(server.cachedTokens(chain, work), work.promptTokens());
    double read = figures.readMillis(work.promptTokens(), cached);
    double backlog = server.backlogMillis(nowMillis);
    double first = (backlog + read) * server.slowness();
    int open = server.openRequests(nowMillis);
    double cost = first;
    if (figures.pauseMillis(backlog + read) * server.slowness()
        > ServerModel.TIGHT_PAUSE_MILLIS * TIGHT_MARGIN) {
      cost += BROKEN_PAUSE_COST_MILLIS * server.tightStreams(nowMillis);
    }
    cost += ownLane ? 0 : OTHER_LANE_COST_MILLIS;
    cost += RANK_COST_MILLIS * Hashing.unit(affinity(chain), server.idHash());
    cost += FAILURE_COST_MILLIS * server.failureRate();
    cost += open * figures.stepMillis() / 2;
    cost += open >= server.entry().slots() ? FULL_COST_MILLIS : 0;
    cost += server.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_COST_MILLIS;
    return new Choice(new Placement(server, read, first, cached), cost);
  }

  // The measured pause is reached only by part of the streams.
  private static final double TIGHT_MARGIN = 0.7;

  /** Returns the hash of the last part that other requests share; the last part is its own. */
  private static long affinity(long[] chain) {
    return chain.length < 2 ? 0 : chain[chain.length - 2];
  }

  private static boolean isTight(Work work) {
    return work.pauseTargetMillis() > 0
        && work.pauseTargetMillis() <= ServerModel.TIGHT_PAUSE_MILLIS;
  }

  private int tightLaneSize(int engines) {
    if (engines < 2 || tightDemand == 0) {
      return 0;
    }
    double tight = tightDemand * TIGHT_HEADROOM;
    int size = (int) Math.round(engines * tight / (tight + otherDemand));
    return Math.clamp(size, 1, engines - 1);
  }

  private void noteDemand(boolean tight, double readMillis, Work work, long nowMillis) {
    double keep = Math.exp(-Math.max(0, nowMillis - demandMillis) / LANE_MEMORY_MILLIS);
    demandMillis = nowMillis;
    double demand = readMillis + figures.answerMillis(work.outputTokens()) * DECODE_SHARE;
    tightDemand = tightDemand * keep + (tight ? demand : 0);
    otherDemand = otherDemand * keep + (tight ? 0 : demand);
  }

  // Many streams share each step of an engine.
  private static final double DECODE_SHARE = 0.03;
}
