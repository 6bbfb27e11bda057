package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalDouble;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.shallothold.core.route.RoutedService;

/**
 * Estimates the timings of a service's engines from the answers that pass through a gateway and
 * from the estimates of its peers. A restarted gateway has valid estimates with the first update of
 * a peer.
 *
 * <p>The timings are those of an engine of the service's median speed at its usual speed: callers
 * divide what they measure by {@link ServerSpeed#factor}.
 *
 * <p>Without enough samples the timings assume that a prefill can delay running streams without a
 * bound. One instance per service; owned by one thread.
 */
public final class EngineEstimator {

  private static final double PRIOR_DECODE_STEP_MILLIS = 5;
  // Estimates from fewer samples are not used.
  private static final int MIN_SAMPLES = 8;
  // The prefill pause needs more samples: if it is underestimated, pause-sensitive streams are sent
  // to engines that prefill.
  private static final int MIN_PAUSE_SAMPLES = 40;
  // A gateway's estimate is weighted by its number of samples, up to this number.
  private static final int MAX_WEIGHT_SAMPLES = 200;
  // Shorter prefills are masked by the delays of the network and of decode steps.
  private static final double MIN_PREFILL_MILLIS = 25;
  // With a longer known backlog, the time to the first event includes queueing behind other
  // prompts.
  private static final double MAX_IDLE_BACKLOG_MILLIS = 1;
  private static final double MEDIAN = 0.5;
  // The duration of a prefill chunk depends on the attention over its prompt; the longer chunks
  // decide whether pause targets are met.
  private static final double PREFILL_PAUSE_QUANTILE = 0.85;

  private final PrefillCostFilter prefillCosts = PrefillCostFilter.create();
  private final QuantileEstimate idlePauses = QuantileEstimate.of(MEDIAN);
  private final QuantileEstimate prefillPauses = QuantileEstimate.of(PREFILL_PAUSE_QUANTILE);
  private final Map<String, EngineEstimate> peerEstimates = new HashMap<>();
  private int tokensPerEvent = 1;
  private double transferMillisPerToken = RoutedService.NO_TRANSFER;
  private EngineTimings timings;
  private boolean decodeStepMeasured;

  private EngineEstimator() {
    timings = merge();
  }

  /** Returns an estimator without samples, which returns default timings. */
  public static EngineEstimator create() {
    return new EngineEstimator();
  }

  /** Applies the configured properties of the engines. */
  public void configure(RoutedService service) {
    transferMillisPerToken = service.transferMillisPerToken();
    if (service.tokensPerEvent() != tokensPerEvent) {
      tokensPerEvent = Math.max(1, service.tokensPerEvent());
      timings = merge();
    }
  }

  /**
   * Returns the time in which an engine fetches one cached token from another engine, in
   * milliseconds; {@link RoutedService#NO_TRANSFER} if engines can't fetch from each other.
   */
  public double transferMillisPerToken() {
    return transferMillisPerToken;
  }

  /**
   * Returns the current timings: the means of this gateway's and its peers' estimates, weighted by
   * their samples, or defaults while there are too few samples.
   */
  public EngineTimings timings() {
    return timings;
  }

  /**
   * Returns whether the duration of a decode step has been measured, by this gateway or its peers.
   */
  public boolean hasMeasuredDecodeStep() {
    return decodeStepMeasured;
  }

  /**
   * Records the time to the first event of a request. It is ignored if the engine had a backlog or
   * if the prefill is too short to be measured.
   *
   * @param promptTokens tokens of the whole prompt
   * @param cachedTokens tokens at the start of the prompt that were probably in the prefix cache
   * @param backlogMillis known prefill backlog of the engine when the prompt was sent
   * @param elapsedMillis time from sending the prompt to the first event, at the usual speed
   */
  public void recordFirstEvent(
      int promptTokens, int cachedTokens, double backlogMillis, double elapsedMillis) {
    if (backlogMillis > MAX_IDLE_BACKLOG_MILLIS
        || timings.prefillMillis(promptTokens, cachedTokens) < MIN_PREFILL_MILLIS) {
      return;
    }
    prefillCosts.add(
        Math.max(1, promptTokens - cachedTokens),
        EngineTimings.millionPairs(promptTokens, cachedTokens),
        elapsedMillis);
    timings = merge();
  }

  /**
   * Records the inter-event gap of a stream whose engine had nothing to prefill, in milliseconds at
   * the usual speed.
   */
  public void recordIdlePause(double millis) {
    idlePauses.add(millis);
    timings = merge();
  }

  /**
   * Records the inter-event gap of a stream whose engine prefilled during the whole gap, in
   * milliseconds at the usual speed.
   */
  public void recordPrefillPause(double millis) {
    prefillPauses.add(millis);
    timings = merge();
  }

  /**
   * Returns the usual time between two events of a stream whose engine has nothing to prefill, in
   * milliseconds; empty while there are too few samples.
   */
  public OptionalDouble idlePauseMillis() {
    int samples =
        Stream.concat(Stream.of(ownEstimate()), peerEstimates.values().stream())
            .mapToInt(estimate -> weight(estimate.decodeStepSamples()))
            .sum();
    return samples < MIN_SAMPLES
        ? OptionalDouble.empty()
        : OptionalDouble.of(tokensPerEvent * timings.decodeStepMillis());
  }

  /** Returns the measurements of this gateway alone, as sent to peers. */
  public EngineEstimate ownEstimate() {
    return new EngineEstimate(
        prefillCosts.millisPerPrefillToken(),
        prefillCosts.millisPerMillionPairs(),
        prefillCosts.samples(),
        idlePauses.value() / tokensPerEvent,
        idlePauses.samples(),
        prefillPauses.value(),
        prefillPauses.samples());
  }

  /** Replaces the estimate of a peer. */
  public void updatePeer(String peer, EngineEstimate estimate) {
    peerEstimates.put(peer, estimate);
    timings = merge();
  }

  /** Removes the estimate of a peer that is gone; does nothing if there is none. */
  public void removePeer(String peer) {
    if (peerEstimates.remove(peer) != null) {
      timings = merge();
    }
  }

  private EngineTimings merge() {
    List<EngineEstimate> estimates =
        Stream.concat(Stream.of(ownEstimate()), peerEstimates.values().stream()).toList();
    decodeStepMeasured =
        estimates.stream().mapToInt(estimate -> weight(estimate.decodeStepSamples())).sum()
            >= MIN_SAMPLES;
    double decodeStepMillis =
        weightedMean(
            estimates,
            EngineEstimate::decodeStepMillis,
            EngineEstimate::decodeStepSamples,
            MIN_SAMPLES,
            PRIOR_DECODE_STEP_MILLIS);
    double prefillPauseMillis =
        weightedMean(
            estimates,
            EngineEstimate::prefillPauseMillis,
            EngineEstimate::prefillPauseSamples,
            MIN_PAUSE_SAMPLES,
            EngineTimings.UNKNOWN_PAUSE_MILLIS);
    return new EngineTimings(
        weightedMean(
            estimates,
            EngineEstimate::millisPerPrefillToken,
            EngineEstimate::prefillSamples,
            MIN_SAMPLES,
            prefillCosts.millisPerPrefillToken()),
        weightedMean(
            estimates,
            EngineEstimate::millisPerMillionPairs,
            EngineEstimate::prefillSamples,
            MIN_SAMPLES,
            prefillCosts.millisPerMillionPairs()),
        decodeStepMillis,
        Math.max(0, prefillPauseMillis - tokensPerEvent * decodeStepMillis),
        tokensPerEvent);
  }

  private static double weightedMean(
      List<EngineEstimate> estimates,
      ToDoubleFunction<EngineEstimate> value,
      ToIntFunction<EngineEstimate> samples,
      int minSamples,
      double fallback) {
    int weight =
        estimates.stream().mapToInt(estimate -> weight(samples.applyAsInt(estimate))).sum();
    if (weight < minSamples) {
      return fallback;
    }
    return estimates.stream()
            .mapToDouble(
                estimate -> value.applyAsDouble(estimate) * weight(samples.applyAsInt(estimate)))
            .sum()
        / weight;
  }

  private static int weight(int samples) {
    return Math.min(MAX_WEIGHT_SAMPLES, samples);
  }
}
