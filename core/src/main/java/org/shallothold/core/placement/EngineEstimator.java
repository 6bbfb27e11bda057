package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;
import java.util.function.ToIntFunction;
import java.util.stream.Stream;
import org.shallothold.core.route.RoutedService;

/**
 * Estimates the speed of a service's engines from the answers that pass through a gateway, joined
 * with what its peers measured, so that a restarted gateway knows it with its peers' first news.
 * Before there are samples the figures assume that reading delays streams without a bound. Made for
 * each service; owned by one thread.
 */
public final class EngineEstimator {

  private static final double PRIOR_STEP_MILLIS = 5;
  // With fewer samples a value is not used.
  private static final int LEAST_SAMPLES = 8;
  // The longest pause needs more: taken for too short, streams would be sent to engines that read.
  private static final int LEAST_PAUSE_SAMPLES = 40;
  // A gateway's weight among its peers grows up to this number of samples.
  private static final int MAX_WEIGHT = 200;
  // Shorter reads are hidden by the delays of the network and of steps.
  private static final double LEAST_READ_MILLIS = 25;
  // With any known prompt before it, a first event tells of waiting and not of reading.
  private static final double IDLE_BACKLOG_MILLIS = 1;
  private static final double MEDIAN = 0.5;
  // Chunks differ by the attention of their prompts; the longer ones decide whether pauses hold.
  private static final double PAUSE_QUANTILE = 0.85;

  private final ReadingCostFilter reading = ReadingCostFilter.create();
  private final QuantileEstimate quietPause = QuantileEstimate.of(MEDIAN);
  private final QuantileEstimate readingPause = QuantileEstimate.of(PAUSE_QUANTILE);
  private final Map<String, EngineEstimate> peers = new HashMap<>();
  private int tokensPerEvent = 1;
  private double transferMillisPerToken = RoutedService.NO_TRANSFER;
  private EngineFigures figures;

  private EngineEstimator() {
    figures = merged();
  }

  /** Returns an estimator without samples. */
  public static EngineEstimator create() {
    return new EngineEstimator();
  }

  /** Takes what the configuration tells of the engines. */
  public void configured(RoutedService service) {
    transferMillisPerToken = service.transferMillisPerToken();
    if (service.tokensPerEvent() != tokensPerEvent) {
      tokensPerEvent = Math.max(1, service.tokensPerEvent());
      figures = merged();
    }
  }

  /** Returns the time in which an engine gets one cached token from another one. */
  public double transferMillisPerToken() {
    return transferMillisPerToken;
  }

  /** Returns the present estimate. */
  public EngineFigures figures() {
    return figures;
  }

  /**
   * Takes the time to a first event.
   *
   * @param cachedTokens tokens at the prompt's start that were probably cached
   * @param backlogMillis reading that was known at the engine when the prompt was sent
   */
  public void firstEvent(
      int promptTokens, int cachedTokens, double backlogMillis, double elapsedMillis) {
    if (backlogMillis > IDLE_BACKLOG_MILLIS
        || figures.readMillis(promptTokens, cachedTokens) < LEAST_READ_MILLIS) {
      return;
    }
    reading.add(
        Math.max(1, promptTokens - cachedTokens),
        EngineFigures.millionPairs(promptTokens, cachedTokens),
        elapsedMillis);
    figures = merged();
  }

  /** Takes the time between two events of a stream at an engine that had nothing to read. */
  public void quietPause(double millis) {
    quietPause.add(millis);
    figures = merged();
  }

  /** Takes the time between two events of a stream at an engine that read all the while. */
  public void readingPause(double millis) {
    readingPause.add(millis);
    figures = merged();
  }

  /** Returns what this gateway measured. */
  public EngineEstimate own() {
    return new EngineEstimate(
        reading.tokenMillis(),
        reading.pairMillis(),
        reading.samples(),
        quietPause.value() / tokensPerEvent,
        quietPause.samples(),
        readingPause.value(),
        readingPause.samples());
  }

  /** Takes what a peer measured. */
  public void peer(String peer, EngineEstimate estimate) {
    peers.put(peer, estimate);
    figures = merged();
  }

  /** Forgets a peer that is gone. */
  public void forgetPeer(String peer) {
    if (peers.remove(peer) != null) {
      figures = merged();
    }
  }

  private EngineFigures merged() {
    List<EngineEstimate> all = Stream.concat(Stream.of(own()), peers.values().stream()).toList();
    double step =
        mean(
            all,
            EngineEstimate::stepMillis,
            EngineEstimate::stepSamples,
            LEAST_SAMPLES,
            PRIOR_STEP_MILLIS);
    double pause =
        mean(
            all,
            EngineEstimate::readingPauseMillis,
            EngineEstimate::pauseSamples,
            LEAST_PAUSE_SAMPLES,
            EngineFigures.UNKNOWN_PAUSE);
    return new EngineFigures(
        mean(
            all,
            EngineEstimate::tokenMillis,
            EngineEstimate::readSamples,
            LEAST_SAMPLES,
            reading.tokenMillis()),
        mean(
            all,
            EngineEstimate::pairMillis,
            EngineEstimate::readSamples,
            LEAST_SAMPLES,
            reading.pairMillis()),
        step,
        Math.max(0, pause - tokensPerEvent * step),
        tokensPerEvent);
  }

  private static double mean(
      List<EngineEstimate> all,
      ToDoubleFunction<EngineEstimate> value,
      ToIntFunction<EngineEstimate> samples,
      int leastSamples,
      double otherwise) {
    int weight = all.stream().mapToInt(estimate -> weight(samples.applyAsInt(estimate))).sum();
    if (weight < leastSamples) {
      return otherwise;
    }
    return all.stream()
            .mapToDouble(
                estimate -> value.applyAsDouble(estimate) * weight(samples.applyAsInt(estimate)))
            .sum()
        / weight;
  }

  private static int weight(int samples) {
    return Math.min(MAX_WEIGHT, samples);
  }
}
