package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.hash.Hashing;

/**
 * Chooses a model engine by the estimated time to the first event and by what reading the prompt
 * costs others: an engine that reads a long prompt delays the events of all its streams.
 *
 * <p>Streams with a short pause target and prompts that would break it are kept apart: some
 * engines, the lane, the same in all gateways, are kept for the former. Prompts that leave room in
 * the target may enter the lane. It takes all engines that the others leave free. Owned by one
 * thread.
 */
public final class EnginePlacement implements PlacementPolicy {

  // Cost of missing the pause target of one stream, in milliseconds of the first event's delay.
  private static final double BROKEN_PAUSE_COST_MILLIS = 150;
  // A stream with a short pause target goes to another engine when its own are this much busier.
  private static final double LEAVE_LANE_COST_MILLIS = 250;
  // Other work enters the lane only when its own engines can't be reached.
  private static final double ENTER_LANE_COST_MILLIS = 5_000;
  // For each place in the lane's order. Streams prefer the engines that leave the lane last, other
  // prompts those that leave it first: when long prompts need more engines, few streams are there.
  private static final double LANE_ORDER_COST_MILLIS = 12;
  // All else equal, gateways agree on the engine that caches a prefix. Not so for streams that are
  // kept apart: their engines are agreed on by the lane.
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
  // Above this load, the engines that read long prompts hold up those that wait for them.
  private static final double HEAVY_LOAD = 0.6;
  // Under overload of both kinds, short pauses get this much more than their share.
  private static final double LANE_FAVOUR = 1.5;
  // Part of a pause target that reading may take; the rest is for delays on the way.
  private static final double PAUSE_MARGIN = 0.7;
  // Part of a pause target that other prompts may take at engines that are kept for short pauses.
  private static final double LANE_PAUSE_PART = 0.8;
  // Part of a pause target from which on a pause counts as broken.
  private static final double BROKEN_PAUSE_PART = 0.9;
  // Streams that are kept apart take at most this part of their engines' slots.
  private static final double LANE_FILL = 0.5;
  // Counting all open streams takes longer than a choice; their number changes slowly.
  private static final long COUNT_LIFE_MILLIS = 100;

  // Time until a transfer begins; transfers of one engine follow each other.
  private static final double TRANSFER_SETUP_MILLIS = 10;
  // Part of a latency target by which a transfer may delay the first event: reading a part again
  // takes time from all requests of the engine.
  private static final double TRANSFER_DELAY_PART = 0.03;
  // Shorter parts are read in less time than it takes to ask another engine for them.
  private static final int LEAST_TRANSFER_TOKENS = 64;

  private final EngineEstimator estimator;
  private final String failureDomain;
  private final PauseRisk pauseRisk = new PauseRisk();
  private double tightDemand;
  private double otherDemand;
  private double heavyDemand;
  private long demandMillis;
  private long arrivals;
  private double peersTightLoad;
  private double peersHeavyLoad;
  private @Nullable Fleet fleet;
  private OpenStreams openStreams = new OpenStreams(0, 0, 0, Long.MIN_VALUE / 2);

  /**
   * Streams at all engines.
   *
   * @param tight streams whose pause target is at risk
   * @param all all open requests
   * @param slotsOfOne slots of an engine
   */
  private record OpenStreams(int tight, int all, int slotsOfOne, long countedMillis) {}

  /**
   * The engines at one moment.
   *
   * @param servers all engines of the service
   * @param inService those that take new work, in an order that all gateways share
   * @param laneDepths the engines that are kept for short pauses, each with the number of engines
   *     by which the lane must shrink until this one has left it
   * @param arrivals requests noted until then, whose work decides on the lane
   */
  private record Fleet(
      Collection<ServerModel> servers,
      List<ServerModel> inService,
      Map<ServerModel, Integer> laneDepths,
      long madeMillis,
      long arrivals) {}

  private EnginePlacement(EngineEstimator estimator, String failureDomain) {
    this.estimator = estimator;
    this.failureDomain = failureDomain;
  }

  /** Returns a policy for a gateway in a failure domain. */
  public static EnginePlacement of(EngineEstimator estimator, String failureDomain) {
    return new EnginePlacement(estimator, failureDomain);
  }

  /** Returns what is known of the engines' speed. */
  public EngineEstimator estimator() {
    return estimator;
  }

  /** Returns the pause targets that reading puts at risk, in milliseconds, in ascending order. */
  public List<Long> pauseTargetsAtRisk() {
    return pauseRisk.targetsAtRisk();
  }

  /** Returns how many engines were kept for streams with such targets at the last choice. */
  public int enginesKept() {
    Fleet last = fleet;
    return last == null ? 0 : last.laneDepths().size();
  }

  /** Notes a request for an engine, whether it is sent or not. */
  public void requestArrived(Work work, long nowMillis) {
    fade(nowMillis);
    arrivals++;
    EngineFigures figures = estimator.figures();
    double read = figures.readMillis(work.promptTokens(), work.sharedTokens());
    pauseRisk.arrived(work, figures, nowMillis);
    if (pauseRisk.isSensitive(work, figures, nowMillis)) {
      tightDemand += read;
      return;
    }
    otherDemand += read;
    double readNow = figures.readMillis(work.promptTokens(), cachedAnywhere(work));
    if (laneRoom(pauseRisk.shortestTargetMillis(nowMillis), figures, readNow) < 0) {
      heavyDemand += readNow;
    }
  }

  private int cachedAnywhere(Work work) {
    Fleet last = fleet;
    long[] chain = work.chain();
    return last == null
        ? 0
        : last.inService().stream()
            .mapToInt(server -> server.cachedTokens(chain, work))
            .max()
            .orElse(0);
  }

  /**
   * Returns the backlog up to which a stream's own prompt and what is read before fit its target.
   */
  private static double pauseRoom(double targetMillis, EngineFigures figures, double readMillis) {
    return targetMillis * PAUSE_MARGIN - figures.pauseMillis(readMillis);
  }

  /**
   * Returns the backlog up to which another prompt breaks no pause target of an engine's streams.
   */
  private static double laneRoom(double targetMillis, EngineFigures figures, double readMillis) {
    return targetMillis * LANE_PAUSE_PART - figures.pauseMillis(readMillis);
  }

  /** Returns the work of streams with a short pause target, in engines that it keeps busy. */
  public double tightLoad(long nowMillis) {
    fade(nowMillis);
    return tightDemand / DEMAND_MEMORY_MILLIS;
  }

  /** Returns the work of prompts that break short pause targets, in engines that it keeps busy. */
  public double heavyLoad(long nowMillis) {
    fade(nowMillis);
    return heavyDemand / DEMAND_MEMORY_MILLIS;
  }

  /** Sets the sum of the peers' {@link #heavyLoad}. */
  public void peersHeavyLoad(double load) {
    peersHeavyLoad = load;
  }

  /** Sets the sum of the peers' {@link #tightLoad}. */
  public void peersTightLoad(double load) {
    peersTightLoad = load;
  }

  @Override
  public Optional<Placement> choose(
      Work work, Collection<ServerModel> servers, Predicate<ServerModel> excluded, long nowMillis) {
    Fleet current = fleet(servers, nowMillis);
    List<ServerModel> usable = PlacementPolicy.reachable(current.inService(), excluded, nowMillis);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    EngineFigures figures = estimator.figures();
    long[] chain = work.chain();
    int[] cached =
        usable.stream()
            .mapToInt(server -> Math.min(server.cachedTokens(chain, work), work.promptTokens()))
            .toArray();
    Request request =
        new Request(
            work,
            pauseRisk.isSensitive(work, figures, nowMillis),
            figures,
            pauseRisk.shortestTargetMillis(nowMillis),
            affinity(chain),
            CacheSource.best(usable, cached));
    return IntStream.range(0, usable.size())
        .mapToObj(
            index ->
                assess(usable.get(index), cached[index], request, current.laneDepths(), nowMillis))
        .min(Comparator.comparingDouble(Choice::cost))
        .map(Choice::placement);
  }

  /** Returns the engines as they are now; requests that are looked at together share the result. */
  private Fleet fleet(Collection<ServerModel> servers, long nowMillis) {
    Fleet known = fleet;
    if (known != null
        && known.servers() == servers
        && known.madeMillis() == nowMillis
        && known.arrivals() == arrivals) {
      return known;
    }
    List<ServerModel> inService = PlacementPolicy.inService(servers);
    PlacementPolicy.compareSlowness(inService);
    countStreams(inService, nowMillis);
    // Engines out of reach keep their places, so that gateways that reach them agree with others.
    int laneSize = laneSize(inService.size(), nowMillis);
    Map<ServerModel, Integer> laneDepths =
        IntStream.range(0, laneSize)
            .boxed()
            .collect(Collectors.toMap(inService::get, index -> laneSize - index));
    Fleet made = new Fleet(servers, inService, laneDepths, nowMillis, arrivals);
    fleet = made;
    return made;
  }

  /** Returns how many of the engines are kept for streams with a short pause target. */
  int laneSize(int engines, long nowMillis) {
    double load = tightLoad(nowMillis) + peersTightLoad;
    if (engines < 2 || load == 0) {
      return 0;
    }
    double favoured = tightDemand * LANE_FAVOUR;
    double partOfReading = favoured / (favoured + otherDemand);
    double partOfStreams = (double) openStreams.tight() / Math.max(1, openStreams.all());
    long fair = Math.round(engines * Math.max(partOfReading, partOfStreams));
    double enginesForStreams =
        openStreams.tight() / Math.max(1, openStreams.slotsOfOne() * LANE_FILL);
    long wanted = (long) Math.ceil(Math.max(load / LANE_LOAD, enginesForStreams));
    double heavy = heavyLoad(nowMillis) + peersHeavyLoad;
    long free = engines - (long) Math.ceil(heavy / HEAVY_LOAD);
    return (int) Math.clamp(Math.max(free, Math.min(wanted, Math.max(1, fair))), 1, engines - 1L);
  }

  private void countStreams(List<ServerModel> engines, long nowMillis) {
    if (nowMillis - openStreams.countedMillis() < COUNT_LIFE_MILLIS) {
      return;
    }
    openStreams =
        new OpenStreams(
            engines.stream().mapToInt(engine -> engine.tightStreams(nowMillis)).sum(),
            engines.stream().mapToInt(engine -> engine.openRequests(nowMillis)).sum(),
            engines.isEmpty() ? 0 : engines.getFirst().entry().slots(),
            nowMillis);
  }

  private record Choice(Placement placement, double cost) {}

  /**
   * A request and what is the same for all engines.
   *
   * @param tight whether its pause target is at risk
   * @param shortestTargetMillis shortest pause target that reading puts at risk
   * @param affinity hash of the last part that other requests share
   * @param source engine from which others can get the parts that it caches
   */
  private record Request(
      Work work,
      boolean tight,
      EngineFigures figures,
      double shortestTargetMillis,
      long affinity,
      CacheSource source) {}

  /**
   * The engine in reach that caches most of a prompt.
   *
   * @param tokens tokens of the prompt that it caches
   */
  private record CacheSource(ServerModel server, int tokens) {

    private static CacheSource best(List<ServerModel> reachable, int[] cached) {
      return IntStream.range(0, cached.length)
          .mapToObj(index -> new CacheSource(reachable.get(index), cached[index]))
          .max(Comparator.comparingInt(CacheSource::tokens))
          .orElseThrow();
    }
  }

  /** Returns the time to get from a source what an engine lacks of it, and to read the rest. */
  private double transferMillis(Request request, ServerModel server, int cached) {
    CacheSource source = request.source();
    if (source.server() == server || source.tokens() - cached < LEAST_TRANSFER_TOKENS) {
      return Double.POSITIVE_INFINITY;
    }
    return TRANSFER_SETUP_MILLIS
        + (source.tokens() - cached) * estimator.transferMillisPerToken()
        + request.figures().readMillis(request.work().promptTokens(), source.tokens());
  }

  private Choice assess(
      ServerModel server,
      int cached,
      Request request,
      Map<ServerModel, Integer> laneDepths,
      long nowMillis) {
    Work work = request.work();
    EngineFigures figures = request.figures();
    double alone = figures.readMillis(work.promptTokens(), cached);
    double transfer = transferMillis(request, server, cached);
    boolean transfers = transfer < alone + work.latencyTargetMillis() * TRANSFER_DELAY_PART;
    double read = transfers ? transfer : alone;
    double slowness = server.relativeSlowness();
    double backlog = server.backlogMillis(nowMillis);
    int open = server.openRequests(nowMillis);
    double cost = (backlog + read * READ_WEIGHT) * slowness;
    int laneDepth = laneDepths.getOrDefault(server, 0);
    boolean inLane = laneDepth > 0;
    double pauseRoom =
        request.tight()
            ? pauseRoom((double) work.pauseTargetMillis(), figures, read)
            : inLane
                ? laneRoom(request.shortestTargetMillis(), figures, read)
                : Placement.NO_PAUSE_LIMIT;
    cost += laneCost(request.tight() || pauseRoom >= 0, request.tight(), inLane);
    cost += LANE_ORDER_COST_MILLIS * (request.tight() ? laneDepths.size() - laneDepth : laneDepth);
    if (figures.pauseMillis(backlog + read) * slowness
        > request.shortestTargetMillis() * BROKEN_PAUSE_PART) {
      cost += BROKEN_PAUSE_COST_MILLIS * server.tightStreams(nowMillis);
    }
    cost +=
        request.tight() ? 0 : RANK_COST_MILLIS * Hashing.unit(request.affinity(), server.idHash());
    cost += FAILURE_COST_MILLIS * server.failureRate();
    cost += open * figures.stepMillis() / 2;
    cost += open >= server.entry().slots() ? FULL_COST_MILLIS : 0;
    cost += server.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_COST_MILLIS;
    return new Choice(
        new Placement(
            server,
            read,
            (backlog + read) * slowness,
            backlog * slowness,
            transfers ? request.source().tokens() : cached,
            transfers ? request.source().server() : null,
            request.tight(),
            pauseRoom),
        cost);
  }

  private static double laneCost(boolean fitsLane, boolean tight, boolean inLane) {
    if (inLane) {
      return fitsLane ? 0 : ENTER_LANE_COST_MILLIS;
    }
    return tight ? LEAVE_LANE_COST_MILLIS : 0;
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
    heavyDemand *= keep;
  }
}
