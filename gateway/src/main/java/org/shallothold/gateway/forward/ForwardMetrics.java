package org.shallothold.gateway.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import org.shallothold.runtime.metrics.Metrics;

/** Counters and latency histograms of the direct forwarding path. Thread-safe. */
final class ForwardMetrics {

  private static final double[] LATENCY_BUCKETS_SECONDS = {
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10
  };

  final Counter requests;
  final Counter attempts;
  final Counter retriesDenied;
  final Counter rateLimitedSends;
  final Counter requestsHeldForRate;
  final Counter misdirectedPermitRequests;
  final Counter additionalBytes;
  final Counter foreignBytes;
  final Counter buffersShed;
  final Counter requestMemoryShortages;
  final Counter serverEnds;
  final Counter partStandingChanges;
  final Counter requestsBlockedForPart;
  final Histogram firstEventSeconds;
  final Histogram answerSeconds;

  private final Metrics metrics;

  private ForwardMetrics(Metrics metrics) {
    this.metrics = metrics;
    requests =
        metrics.counter(
            "shallothold_forwarded_requests_total",
            "Requests by route, outcome and cause.",
            "route",
            "outcome",
            "cause");
    attempts =
        metrics.counter(
            "shallothold_forwarded_attempts_total",
            "Sends to backend servers by service and result.",
            "service",
            "result");
    retriesDenied =
        metrics.counter(
            "shallothold_repeats_denied_total",
            "Repeats that the shared budget did not allow.",
            "service");
    rateLimitedSends =
        metrics.counter(
            "shallothold_rate_limited_sends_total",
            "Sends to backend servers that state a rate limit.",
            "service");
    requestsHeldForRate =
        metrics.counter(
            "shallothold_requests_held_for_rate_total",
            "Requests that did not go to the chosen server because of its stated rate limit.",
            "service");
    misdirectedPermitRequests =
        metrics.counter(
            "shallothold_misdirected_permit_requests_total",
            "Requests for send permits that reached a gateway that does not coordinate the server.");
    additionalBytes =
        metrics.counter(
            "shallothold_additional_bytes_connections_total",
            "Connections closed because the server sent bytes that belong to no request.",
            "service");
    foreignBytes =
        metrics.counter(
            "shallothold_foreign_bytes_total",
            "Responses of servers, or parts of them, that do not belong to the request in flight.",
            "service",
            "place");
    buffersShed =
        metrics.counter(
            "shallothold_buffers_shed_total",
            "Responses given up because the memory for buffers was used up.",
            "service");
    requestMemoryShortages =
        metrics.counter(
            "shallothold_request_memory_shortages_total",
            "Requests refused, or ended for others, because the memory for requests was used up.",
            "action");
    serverEnds =
        metrics.counter(
            "shallothold_server_ends_total",
            "Ends of backend servers that broke off requests which they had hardly begun to answer.",
            "service");
    partStandingChanges =
        metrics.counter(
            "shallothold_prompt_part_standing_changes_total",
            "Prompt parts that became clear, quarantined or blocked.",
            "standing");
    requestsBlockedForPart =
        metrics.counter(
            "shallothold_requests_blocked_for_part_total",
            "Requests that ended because a part of their prompt is blocked.",
            "route");
    firstEventSeconds =
        metrics.secondsHistogram(
            "shallothold_forwarded_first_event_seconds",
            "Time from a request's arrival to the first byte of its answer's body.",
            LATENCY_BUCKETS_SECONDS,
            "route");
    answerSeconds =
        metrics.secondsHistogram(
            "shallothold_forwarded_answer_seconds",
            "Time from a request's arrival to the end of its answer.",
            LATENCY_BUCKETS_SECONDS,
            "route");
  }

  static ForwardMetrics create() {
    return new ForwardMetrics(Metrics.create());
  }

  /** Returns the registry, to which gauges that are updated at each scrape can be added. */
  Metrics registry() {
    return metrics;
  }

  /** Returns all metrics in the Prometheus text format. */
  String text() {
    return metrics.toPrometheusText();
  }
}
