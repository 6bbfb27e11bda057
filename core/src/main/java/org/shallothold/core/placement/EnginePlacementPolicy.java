package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.hash.Hashing;

/**
 * Chooses a model engine by the estimated time to the first event and by the cost of the prefill
 * for other requests: an engine that prefills a long prompt delays the events of all its streams.
 *
 * <p>Pause-sensitive streams and prompts that would break their pause targets are kept apart: some
 * engines, the same in all gateways, are reserved for the former. Other prompts may use a reserved
 * engine if they leave enough of the pause target. All engines that the other prompts don't need
 * are reserved. Owned by one thread.
 */
public final class EnginePlacementPolicy implements PlacementPolicy {

  // Costs are in milliseconds of delay of the first event. This one applies to each stream whose
  // pause target is missed.
  private static final double MISSED_PAUSE_COST_MILLIS = 150;
  // A pause-sensitive stream uses another engine when the reserved engines are busier by this much.
  private static final double UNRESERVED_ENGINE_COST_MILLIS = 250;
  // A stream uses another engine when those that are fast enough for it are busier by this much.
  private static final double SLOW_ENGINE_PAUSE_COST_MILLIS = 250;
  // Prompts that break pause targets use reserved engines only when the others are unreachable.
  private static final double RESERVED_ENGINE_COST_MILLIS = 5_000;
  // Cost for each position in the release order. Pause-sensitive streams prefer the reserved
  // engines that are released last, other prompts those that are released first, so that few
  // streams run on an engine when long prompts need it.
  private static final double RELEASE_ORDER_COST_MILLIS = 12;
  // At equal load, gateways agree on the engine that caches a prefix. Pause-sensitive streams don't
  // need this: the release order decides on their engines.
  private static final double AFFINITY_COST_MILLIS = 40;
  // A prefill delays later requests, and a part that a second engine prefills evicts other parts
  // from its cache. Requests therefore prefer to wait for the engine that caches their parts.
  private static final double PREFILL_WEIGHT = 6;
  private static final double FAILURE_COST_MILLIS = 1_500;
  private static final double OTHER_DOMAIN_COST_MILLIS = 3;
  private static final double NO_FREE_SLOT_COST_MILLIS = 2_000;
  private static final double DEMAND_DECAY_MILLIS = 2_500;
  // Load per reserved engine above which requests that arrive together wait too long for their
  // first events.
  private static final double TARGET_RESERVED_LOAD = 0.4;
  // Load per unreserved engine above which the prefill of long prompts delays the requests that
  // wait for it too much.
  private static final double TARGET_LONG_PROMPT_LOAD = 0.6;
  // When both kinds of requests overload the engines, pause-sensitive streams get this multiple of
  // their share.
  private static final double PAUSE_SENSITIVE_WEIGHT = 1.5;
  // Fraction of a pause target that prefills may take; the rest is for delays in transit.
  private static final double OWN_PREFILL_PAUSE_FRACTION = 0.7;
  // Fraction of a pause target that other prompts may take at reserved engines.
  private static final double OTHER_PREFILL_PAUSE_FRACTION = 0.8;
  // Fraction of a pause target from which an expected gap counts as a miss.
  private static final double MISSED_PAUSE_FRACTION = 0.9;
  // Fraction of the slots of reserved engines that pause-sensitive streams should use at most.
  private static final double MAX_RESERVED_SLOT_FRACTION = 0.5;
  // Counting all open streams takes longer than one placement, and their number changes slowly.
  private static final long STREAM_COUNTS_MAX_AGE_MILLIS = 100;

  // Time until a transfer starts; an engine runs its transfers one after another.
  private static final double TRANSFER_SETUP_MILLIS = 10;
  // Fraction of a latency target by which a transfer may delay the first event: prefilling a cached
  // part again takes time from all requests of the engine.
  private static final double MAX_TRANSFER_DELAY_FRACTION = 0.03;
  // Prefilling fewer tokens takes less time than a request to another engine for them.
  private static final int MIN_TRANSFER_TOKENS = 64;

  private static final long NO_SHARED_PART = 0;

  // A copy evicts as many tokens of other parts. This fraction of them is prefilled again, which
  // delays later requests.
  private static final double EVICTED_PREFILL_FRACTION = 0.5;

  private final EngineEstimator estimator;
  private final String failureDomain;
  private final RandomGenerator random;
  private final ServerSpeeds speeds = ServerSpeeds.create();
  private final PauseRiskTracker pauseRisk = new PauseRiskTracker();
  private double pauseSensitiveDemandMillis;
  private double otherDemandMillis;
  private double longPromptDemandMillis;
  private long demandUpdatedMillis;
  private long arrivals;
  private double peersPauseSensitiveLoad;
  private double peersLongPromptLoad;
  private @Nullable EngineSnapshot snapshot;
  private boolean protectsStreams;
  private StreamCounts streamCounts = new StreamCounts(0, 0, 0, Long.MIN_VALUE / 2);

  /**
   * Counts of the streams at all engines.
   *
   * @param pauseSensitive open streams whose pause target is at risk
   * @param openRequests all open requests
   * @param slotsPerEngine slots of one engine; 0 without engines
   * @param countedMillis time of the count
   */
  private record StreamCounts(
      int pauseSensitive, int openRequests, int slotsPerEngine, long countedMillis) {}

  /**
   * The engines and the reserved ones among them at one time.
   *
   * @param servers all engines of the service
   * @param inService engines that accept new work, in an order that all gateways share
   * @param releasePositions reserved engines with their positions in the release order: 1 for the
   *     engine that is released first when fewer engines are reserved
   * @param createdMillis time of the snapshot
   * @param arrivals number of requests recorded until then, whose demand decides how many engines
   *     are reserved
   */
  private record EngineSnapshot(
      Collection<TrackedServer> servers,
      List<TrackedServer> inService,
      Map<TrackedServer, Integer> releasePositions,
      long createdMillis,
      long arrivals) {}

  private EnginePlacementPolicy(
      EngineEstimator estimator, String failureDomain, RandomGenerator random) {
    this.estimator = estimator;
    this.failureDomain = failureDomain;
    this.random = random;
  }

  /** Returns a policy for a gateway in the given failure domain. */
  public static EnginePlacementPolicy of(EngineEstimator estimator, String failureDomain) {
    return of(estimator, failureDomain, new SplittableRandom());
  }

  /**
   * Returns a policy for a gateway in the given failure domain.
   *
   * @param random source of the choice among engines of nearly equal cost, used only while engines
   *     are known to differ in speed
   */
  static EnginePlacementPolicy of(
      EngineEstimator estimator, String failureDomain, RandomGenerator random) {
    return new EnginePlacementPolicy(estimator, failureDomain, random);
  }

  /** Returns the comparison of the engines' persistent speeds. */
  public ServerSpeeds speeds() {
    return speeds;
  }

  /** Returns the estimator of the engines' timings, which the caller feeds with measurements. */
  public EngineEstimator estimator() {
    return estimator;
  }

  /** Returns the pause targets that prefills put at risk, in milliseconds, in ascending order. */
  public List<Long> pauseTargetsAtRisk() {
    return pauseRisk.targetsAtRisk();
  }

  /** Returns how many engines were reserved at the last placement; 0 before the first one. */
  public int reservedEngines() {
    EngineSnapshot latest = snapshot;
    return latest == null ? 0 : latest.releasePositions().size();
  }

  /**
   * Records the demand of an arriving request, whether it is sent or not. To be called once for
   * each request, before {@link #choose}.
   */
  public void requestArrived(RequestProfile profile, long nowMillis) {
    decayDemand(nowMillis);
    arrivals++;
    EngineTimings timings = estimator.timings();
    double prefillMillis = timings.prefillMillis(profile.promptTokens(), profile.sharedTokens());
    pauseRisk.recordArrival(profile, timings, nowMillis);
    if (pauseRisk.isPauseSensitive(profile, timings, nowMillis)) {
      pauseSensitiveDemandMillis += prefillMillis;
      return;
    }
    otherDemandMillis += prefillMillis;
    double uncachedPrefillMillis =
        timings.prefillMillis(profile.promptTokens(), cachedAnywhere(profile));
    if (reservedBacklogLimitMillis(
            pauseRisk.shortestTargetMillis(nowMillis), timings, uncachedPrefillMillis, 1)
        < 0) {
      longPromptDemandMillis += uncachedPrefillMillis;
    }
  }

  /** Returns the most tokens of the prompt that any engine probably caches. */
  private int cachedAnywhere(RequestProfile profile) {
    EngineSnapshot latest = snapshot;
    long[] chain = profile.chainHashes();
    return latest == null
        ? 0
        : latest.inService().stream()
            .mapToInt(server -> server.cachedTokens(chain, profile))
            .max()
            .orElse(0);
  }

  /**
   * Returns the backlog up to which a stream's own prompt, together with the backlog, leaves its
   * pause target intact; negative if the prompt alone breaks it.
   */
  private static double streamBacklogLimitMillis(
      double pauseTargetMillis, EngineTimings timings, double prefillMillis, double speedFactor) {
    return pauseTargetMillis * OWN_PREFILL_PAUSE_FRACTION
        - timings.pauseMillis(prefillMillis) * speedFactor;
  }

  /**
   * Returns the backlog of a reserved engine up to which another prompt breaks no pause target of
   * the engine's streams; negative if the prompt alone breaks one.
   */
  private static double reservedBacklogLimitMillis(
      double pauseTargetMillis, EngineTimings timings, double prefillMillis, double speedFactor) {
    return pauseTargetMillis * OTHER_PREFILL_PAUSE_FRACTION
        - timings.pauseMillis(prefillMillis) * speedFactor;
  }

  /**
   * Returns the recent prefill load of pause-sensitive streams at this gateway, in engines that it
   * keeps busy.
   */
  public double pauseSensitiveLoad(long nowMillis) {
    decayDemand(nowMillis);
    return pauseSensitiveDemandMillis / DEMAND_DECAY_MILLIS;
  }

  /**
   * Returns the recent prefill load of prompts that break pause targets of other streams, in
   * engines that it keeps busy.
   */
  public double longPromptLoad(long nowMillis) {
    decayDemand(nowMillis);
    return longPromptDemandMillis / DEMAND_DECAY_MILLIS;
  }

  /** Sets the sum of the peers' {@link #longPromptLoad}, in engines. */
  public void setPeersLongPromptLoad(double load) {
    peersLongPromptLoad = load;
  }

  /** Sets the sum of the peers' {@link #pauseSensitiveLoad}, in engines. */
  public void setPeersPauseSensitiveLoad(double load) {
    peersPauseSensitiveLoad = load;
  }

  /**
   * Sets whether engines prefill only as much as lets their running streams finish before their
   * deadlines. Has no effect until the duration of a decode step has been measured.
   */
  public void setProtectsStreams(boolean protectsStreams) {
    this.protectsStreams = protectsStreams;
  }

  /**
   * Returns the duration of a decode step by which running streams are protected, in milliseconds;
   * 0 if they aren't.
   */
  public double protectedStepMillis() {
    return protectsStreams && estimator.hasMeasuredDecodeStep()
        ? estimator.timings().decodeStepMillis()
        : 0;
  }

  /**
   * Adapts the pace of prefills at the engines to their running streams. To be called also while no
   * requests arrive.
   */
  public void updatePaces(Collection<TrackedServer> engines, long nowMillis) {
    double stepMillis = protectedStepMillis();
    engines.forEach(engine -> engine.updatePace(stepMillis, nowMillis));
  }

  @Override
  public Optional<Placement> choose(
      RequestProfile profile,
      Collection<TrackedServer> servers,
      Predicate<TrackedServer> excluded,
      long nowMillis) {
    EngineSnapshot current = snapshot(servers, nowMillis);
    List<TrackedServer> usable =
        PlacementPolicy.reachable(current.inService(), excluded, nowMillis);
    if (usable.isEmpty()) {
      return Optional.empty();
    }
    EngineTimings timings = estimator.timings();
    long[] chain = profile.chainHashes();
    int[] cached =
        usable.stream()
            .mapToInt(
                server -> Math.min(server.cachedTokens(chain, profile), profile.promptTokens()))
            .toArray();
    PlacementRequest request =
        new PlacementRequest(
            profile,
            pauseRisk.isPauseSensitive(profile, timings, nowMillis),
            timings,
            pauseRisk.shortestTargetMillis(nowMillis),
            affinityHash(chain),
            CacheSource.best(usable, cached),
            SpeedCosts.among(usable, random, nowMillis));
    return IntStream.range(0, usable.size())
        .mapToObj(
            index ->
                evaluate(
                    usable.get(index),
                    cached[index],
                    request,
                    current.releasePositions(),
                    nowMillis))
        .min(Comparator.comparingDouble(Candidate::costMillis))
        .map(Candidate::placement);
  }

  /** Returns the current snapshot; requests that are placed together share it. */
  private EngineSnapshot snapshot(Collection<TrackedServer> servers, long nowMillis) {
    EngineSnapshot previous = snapshot;
    if (previous != null
        && previous.servers() == servers
        && previous.createdMillis() == nowMillis
        && previous.arrivals() == arrivals) {
      return previous;
    }
    speeds.update(servers, estimator.idlePauseMillis(), nowMillis);
    List<TrackedServer> inService = speeds.slowLast(PlacementPolicy.inService(servers));
    PlacementPolicy.updateRelativeSlowness(inService);
    updatePaces(inService, nowMillis);
    updateStreamCounts(inService, nowMillis);
    // Unreachable engines keep their positions, so that gateways that reach them agree with those
    // that don't.
    int reservedEngineCount = reservedEngineCount(inService.size(), nowMillis);
    Map<TrackedServer, Integer> releasePositions =
        IntStream.range(0, reservedEngineCount)
            .boxed()
            .collect(Collectors.toMap(inService::get, index -> reservedEngineCount - index));
    EngineSnapshot created =
        new EngineSnapshot(servers, inService, releasePositions, nowMillis, arrivals);
    snapshot = created;
    return created;
  }

  /**
   * Returns how many of the engines are reserved for pause-sensitive streams: none without such
   * load, otherwise at least one and never all.
   */
  int reservedEngineCount(int engines, long nowMillis) {
    double totalPauseSensitiveLoad = pauseSensitiveLoad(nowMillis) + peersPauseSensitiveLoad;
    if (engines < 2 || totalPauseSensitiveLoad == 0) {
      return 0;
    }
    double weightedDemandMillis = pauseSensitiveDemandMillis * PAUSE_SENSITIVE_WEIGHT;
    double prefillShare = weightedDemandMillis / (weightedDemandMillis + otherDemandMillis);
    double streamShare =
        (double) streamCounts.pauseSensitive() / Math.max(1, streamCounts.openRequests());
    long fairShare = Math.round(engines * Math.max(prefillShare, streamShare));
    double enginesForStreams =
        streamCounts.pauseSensitive()
            / Math.max(1, streamCounts.slotsPerEngine() * MAX_RESERVED_SLOT_FRACTION);
    long demandedEngines =
        (long)
            Math.ceil(Math.max(totalPauseSensitiveLoad / TARGET_RESERVED_LOAD, enginesForStreams));
    double totalLongPromptLoad = longPromptLoad(nowMillis) + peersLongPromptLoad;
    long spareEngines =
        engines - speeds.serversForLoad(totalLongPromptLoad / TARGET_LONG_PROMPT_LOAD);
    return (int)
        Math.clamp(
            Math.max(spareEngines, Math.min(demandedEngines, Math.max(1, fairShare))),
            1,
            engines - 1L);
  }

  private void updateStreamCounts(List<TrackedServer> engines, long nowMillis) {
    if (nowMillis - streamCounts.countedMillis() < STREAM_COUNTS_MAX_AGE_MILLIS) {
      return;
    }
    streamCounts =
        new StreamCounts(
            engines.stream().mapToInt(engine -> engine.pauseSensitiveStreams(nowMillis)).sum(),
            engines.stream().mapToInt(engine -> engine.openRequests(nowMillis)).sum(),
            engines.isEmpty() ? 0 : engines.getFirst().entry().slots(),
            nowMillis);
  }

  /**
   * An engine that was evaluated for a request.
   *
   * @param placement placement at the engine
   * @param costMillis cost of the placement, in milliseconds of delay of a first event
   */
  private record Candidate(Placement placement, double costMillis) {}

  /**
   * A request with the values that are the same for all engines.
   *
   * @param profile properties of the request
   * @param pauseSensitive whether its pause target is at risk
   * @param timings current timings of the engines
   * @param shortestPauseTargetMillis shortest pause target that prefills put at risk
   * @param affinityHash hash of the last part that is shared with other requests
   * @param source engine from which others can fetch the parts that it caches
   * @param speedCosts costs of the differences in speed between the engines
   */
  private record PlacementRequest(
      RequestProfile profile,
      boolean pauseSensitive,
      EngineTimings timings,
      double shortestPauseTargetMillis,
      long affinityHash,
      CacheSource source,
      SpeedCosts speedCosts) {}

  /**
   * The reachable engine that caches most of a prompt.
   *
   * @param server the engine
   * @param tokens tokens of the prompt that it caches
   */
  private record CacheSource(TrackedServer server, int tokens) {

    private static CacheSource best(List<TrackedServer> reachable, int[] cached) {
      return IntStream.range(0, cached.length)
          .mapToObj(index -> new CacheSource(reachable.get(index), cached[index]))
          .max(Comparator.comparingInt(CacheSource::tokens))
          .orElseThrow();
    }
  }

  /**
   * Returns the time to fetch from the source the cached tokens that an engine lacks, and to
   * prefill the rest; infinity if the source is the engine itself or has too little more.
   */
  private double transferMillis(PlacementRequest request, TrackedServer server, int cached) {
    CacheSource source = request.source();
    if (source.server() == server || source.tokens() - cached < MIN_TRANSFER_TOKENS) {
      return Double.POSITIVE_INFINITY;
    }
    return TRANSFER_SETUP_MILLIS
        + (source.tokens() - cached) * estimator.transferMillisPerToken()
        + request.timings().prefillMillis(request.profile().promptTokens(), source.tokens());
  }

  /** Returns the cost of the prefills that a copy of cached parts causes by what it evicts. */
  private static double copyCostMillis(PlacementRequest request, int cached) {
    return (request.source().tokens() - cached)
        * request.timings().millisPerPrefillToken()
        * EVICTED_PREFILL_FRACTION;
  }

  private Candidate evaluate(
      TrackedServer server,
      int cached,
      PlacementRequest request,
      Map<TrackedServer, Integer> releasePositions,
      long nowMillis) {
    RequestProfile profile = request.profile();
    EngineTimings timings = request.timings();
    double localPrefillMillis = timings.prefillMillis(profile.promptTokens(), cached);
    double withTransferMillis = transferMillis(request, server, cached);
    boolean transfers =
        withTransferMillis
            < localPrefillMillis + profile.latencyTargetMillis() * MAX_TRANSFER_DELAY_FRACTION;
    double prefillMillis = transfers ? withTransferMillis : localPrefillMillis;
    double slowness = server.relativeSlowness();
    double speedFactor = server.speed().factor(nowMillis);
    double timeFactor = server.timeFactor(nowMillis);
    double backlogMillis = server.backlogMillis(nowMillis);
    int openRequests = server.openRequests(nowMillis);
    double decodeMillis = openRequests * timings.decodeStepMillis() / 2;
    double costMillis = (backlogMillis + prefillMillis * PREFILL_WEIGHT) * slowness;
    costMillis +=
        request
                .speedCosts()
                .additionalMillis(
                    server,
                    backlogMillis,
                    decodeMillis,
                    prefillMillis,
                    profile.outputTokens() * timings.decodeStepMillis(),
                    nowMillis)
            * slowness;
    costMillis += request.speedCosts().spreadMillis(speedFactor);
    int releasePosition = releasePositions.getOrDefault(server, 0);
    boolean reserved = releasePosition > 0;
    double pauseBacklogLimitMillis =
        request.pauseSensitive()
            ? streamBacklogLimitMillis(
                (double) profile.pauseTargetMillis(), timings, prefillMillis, speedFactor)
            : reserved
                ? reservedBacklogLimitMillis(
                    request.shortestPauseTargetMillis(), timings, prefillMillis, speedFactor)
                : Placement.NO_BACKLOG_LIMIT;
    costMillis +=
        reservationCostMillis(
            request.pauseSensitive() || pauseBacklogLimitMillis >= 0,
            request.pauseSensitive(),
            reserved);
    costMillis +=
        RELEASE_ORDER_COST_MILLIS
            * (request.pauseSensitive()
                ? releasePositions.size() - releasePosition
                : releasePosition);
    if (timings.pauseMillis(backlogMillis + prefillMillis) * timeFactor
        > request.shortestPauseTargetMillis() * MISSED_PAUSE_FRACTION) {
      costMillis += MISSED_PAUSE_COST_MILLIS * server.pauseSensitiveStreams(nowMillis);
    }
    costMillis +=
        request.pauseSensitive()
                || (request.affinityHash() == NO_SHARED_PART && request.speedCosts().spreads())
            ? 0
            : AFFINITY_COST_MILLIS * Hashing.unit(request.affinityHash(), server.idHash());
    costMillis +=
        breaksPauseBySpeed(profile, timings, speedFactor) ? SLOW_ENGINE_PAUSE_COST_MILLIS : 0;
    costMillis += FAILURE_COST_MILLIS * server.failureRate();
    costMillis += decodeMillis;
    costMillis += openRequests >= server.entry().slots() ? NO_FREE_SLOT_COST_MILLIS : 0;
    costMillis +=
        server.entry().failureDomain().equals(failureDomain) ? 0 : OTHER_DOMAIN_COST_MILLIS;
    costMillis += transfers ? copyCostMillis(request, cached) : 0;
    return new Candidate(
        new Placement(
            server,
            prefillMillis,
            (backlogMillis + prefillMillis) * timeFactor,
            backlogMillis * timeFactor,
            transfers ? request.source().tokens() : cached,
            transfers ? request.source().server() : null,
            request.pauseSensitive(),
            pauseBacklogLimitMillis,
            speedFactor),
        costMillis);
  }

  /**
   * Returns whether prefills at an engine break a stream's pause target because of the engine's
   * speed: at the usual speed they would not.
   */
  private static boolean breaksPauseBySpeed(
      RequestProfile profile, EngineTimings timings, double speedFactor) {
    double limitMillis = profile.pauseTargetMillis() * MISSED_PAUSE_FRACTION;
    double usualPauseMillis = timings.pauseMillis(Double.POSITIVE_INFINITY);
    return profile.pauseTargetMillis() > 0
        && usualPauseMillis <= limitMillis
        && usualPauseMillis * speedFactor > limitMillis;
  }

  private static double reservationCostMillis(
      boolean fitsReserved, boolean pauseSensitive, boolean reserved) {
    if (reserved) {
      return fitsReserved ? 0 : RESERVED_ENGINE_COST_MILLIS;
    }
    return pauseSensitive ? UNRESERVED_ENGINE_COST_MILLIS : 0;
  }

  /**
   * Returns the hash of the last part that is shared with other requests, or {@link
   * #NO_SHARED_PART}. The last part of a prompt belongs to its request alone.
   */
  private static long affinityHash(long[] chain) {
    return chain.length < 2 ? NO_SHARED_PART : chain[chain.length - 2];
  }

  /** Reduces the recorded demand exponentially with the time since the last call. */
  private void decayDemand(long nowMillis) {
    double retainedFraction =
        Math.exp(-Math.max(0, nowMillis - demandUpdatedMillis) / DEMAND_DECAY_MILLIS);
    demandUpdatedMillis = nowMillis;
    pauseSensitiveDemandMillis *= retainedFraction;
    otherDemandMillis *= retainedFraction;
    longPromptDemandMillis *= retainedFraction;
  }
}
