package org.shallothold.gateway.request;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import java.util.HashSet;
import java.util.Locale;
import java.util.Set;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.runtime.metrics.Metrics;

/** Request metrics by service class. One instance per gateway; thread-safe. */
public final class RequestMetrics {

  /** Reason why generated tokens were wasted; the lower-case name is the metric label. */
  public enum WasteCause {
    /** The request missed its deadline, was displaced, or its caller read too slowly. */
    CANCELLED,
    /** The tokens were duplicates or came from an attempt that had been replaced. */
    RETRIED,
    /** The caller disconnected. */
    ABANDONED,
    /** The answer broke off and could not be resumed. */
    BROKEN;

    private String label() {
      return name().toLowerCase(Locale.ROOT);
    }
  }

  // Class names come from the configuration, which can change while the process runs; further
  // names are counted under the label "other".
  private static final int MAX_CLASS_LABELS = 128;
  private static final double[] FIRST_TOKEN_BOUNDS_SECONDS = {
    0.01, 0.025, 0.05, 0.1, 0.2, 0.32, 0.64, 1, 2, 4, 8, 16, 32
  };
  private static final double[] INTERVAL_BOUNDS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.02, 0.037, 0.05, 0.1, 0.25, 0.5, 1, 4
  };

  private final Set<String> classes = new HashSet<>();
  private final Counter requests;
  private final Counter targets;
  private final Counter refusals;
  private final Counter goodput;
  private final Counter wasted;
  private final Counter attempts;
  private final Histogram firstToken;
  private final Histogram tokenInterval;
  private final Gauge inFlight;
  private final Gauge connectedServers;

  private RequestMetrics(Metrics metrics) {
    requests =
        metrics.counter(
            "shallothold_requests_total", "Requests by class and outcome.", "class", "outcome");
    targets =
        metrics.counter(
            "shallothold_target_answers_total",
            "Answers by class, target and whether the target was met; a refusal misses all.",
            "class",
            "target",
            "met");
    refusals =
        metrics.counter(
            "shallothold_refusals_total", "Requests not served.", "class", "code", "verdict");
    goodput =
        metrics.counter("shallothold_goodput_tokens_total", "Tokens of complete answers.", "class");
    wasted =
        metrics.counter(
            "shallothold_wasted_tokens_total",
            "Tokens received from engines and of no use, by cause.",
            "class",
            "cause");
    attempts =
        metrics.counter(
            "shallothold_attempts_total", "Attempts by why they were made.", "class", "reason");
    firstToken =
        metrics.secondsHistogram(
            "shallothold_first_token_seconds",
            "Time from arrival to the first token.",
            FIRST_TOKEN_BOUNDS_SECONDS,
            "class");
    tokenInterval =
        metrics.secondsHistogram(
            "shallothold_token_interval_seconds",
            "Mean time between the tokens of one frame and the frame before.",
            INTERVAL_BOUNDS_SECONDS,
            "class");
    inFlight = metrics.gauge("shallothold_in_flight_requests", "Requests being served.");
    connectedServers =
        metrics.gauge(
            "shallothold_connected_servers", "Backend servers whose sidecar is connected.");
  }

  /** Creates the request metrics and registers them in the given registry. */
  public static RequestMetrics registerIn(Metrics metrics) {
    return new RequestMetrics(metrics);
  }

  /** Counts a request that was not served, by reason code and verdict. */
  public void refused(String serviceClass, Failure failure) {
    refusals
        .labelValues(label(serviceClass), failure.reason().code(), failure.verdict().wireName())
        .inc();
  }

  void attempted(String serviceClass, String reason) {
    attempts.labelValues(label(serviceClass), reason).inc();
  }

  void firstToken(String serviceClass, long millis) {
    firstToken.labelValues(label(serviceClass)).observe(millis / 1_000.0);
  }

  void tokenInterval(String serviceClass, double millis) {
    tokenInterval.labelValues(label(serviceClass)).observe(millis / 1_000);
  }

  void wasted(String serviceClass, WasteCause cause, int tokens) {
    if (tokens > 0) {
      wasted.labelValues(label(serviceClass), cause.label()).inc(tokens);
    }
  }

  void inFlight(int count) {
    inFlight.set(count);
  }

  void connectedServers(long count) {
    connectedServers.set((double) count);
  }

  void completed(ActiveRequest request, int tokens, long now) {
    ServiceClass serviceClass = request.request().serviceClass();
    String name = label(serviceClass.name());
    requests.labelValues(name, "completed").inc();
    target(name, "answer", now - request.arrivedMillis() <= serviceClass.answerTargetMillis());
    if (tokens > 0) {
      goodput.labelValues(name).inc(tokens);
      long first = request.firstTokenMillis();
      target(
          name,
          "first_token",
          first - request.arrivedMillis() <= serviceClass.firstTokenTargetMillis());
      if (tokens > 1) {
        double interval = (request.lastTokenMillis() - first) / (double) (tokens - 1);
        target(name, "token_interval", interval <= serviceClass.tokenIntervalTargetMillis());
      }
    }
  }

  void failed(ActiveRequest request, Failure failure) {
    String name = label(request.request().serviceClass().name());
    requests.labelValues(name, failure.verdict().wireName()).inc();
    refused(request.request().serviceClass().name(), failure);
    target(name, "answer", false);
    if (request.call() instanceof Call.Completion && request.firstTokenMillis() < 0) {
      target(name, "first_token", false);
    }
  }

  void callerDisconnected(ActiveRequest request) {
    requests.labelValues(label(request.request().serviceClass().name()), "abandoned").inc();
  }

  private void target(String serviceClass, String target, boolean met) {
    targets.labelValues(serviceClass, target, Boolean.toString(met)).inc();
  }

  private synchronized String label(String serviceClass) {
    if (classes.contains(serviceClass)) {
      return serviceClass;
    }
    if (classes.size() < MAX_CLASS_LABELS) {
      classes.add(serviceClass);
      return serviceClass;
    }
    return "other";
  }
}
