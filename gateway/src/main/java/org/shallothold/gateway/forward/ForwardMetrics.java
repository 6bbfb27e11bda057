package org.shallothold.gateway.forward;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Histogram;
import org.shallothold.gateway.forward.peer.PeerTraffic;
import org.shallothold.runtime.metrics.Metrics;

/** Counters and latency histograms of the direct forwarding path. Thread-safe. */
final class ForwardMetrics {

  private static final double[] LATENCY_BUCKETS_SECONDS = {
    0.01, 0.025, 0.05, 0.1, 0.15, 0.2, 0.3, 0.5, 0.75, 1, 1.5, 2.5, 5, 10
  };
  private static final double[] DELAY_BUCKETS_SECONDS = {
    0.001, 0.0025, 0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1, 2.5, 5
  };

  final Counter requests;
  final Counter attempts;
  final Counter retriesDenied;
  final Counter momentarySlowness;
  final Counter rateLimitedSends;
  final Counter requestsHeldForRate;
  final Counter requestsWaitedForSlot;
  final Counter misdirectedPermitRequests;
  final Counter coldPhases;
  final Counter coldSends;
  final Counter requestsHeldForCold;
  final Counter rampUps;
  final Counter requestsHeldForRampUp;
  final Counter additionalBytes;
  final Counter foreignBytes;
  final Counter buffersShed;
  final Counter requestMemoryShortages;
  final Counter serverEnds;
  final Counter partStandingChanges;
  final Counter requestsBlockedForPart;
  final Counter peerBytes;
  final Counter olderPlatformAnswers;
  final Counter platformRestores;
  final Histogram eventLoopDelaySeconds;
  final Counter readDeferrals;
  final Counter deferredReadSeconds;
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
    momentarySlowness =
        metrics.counter(
            "shallothold_momentary_slowness_statements_total",
            "Responses in which a server stated how long work takes at the moment.",
            "service");
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
    requestsWaitedForSlot =
        metrics.counter(
            "shallothold_requests_waited_for_slot_total",
            "Requests that waited because no server of a plain service had a free slot.",
            "service");
    misdirectedPermitRequests =
        metrics.counter(
            "shallothold_misdirected_permit_requests_total",
            "Requests for send permits that reached a gateway that does not coordinate the server.");
    coldPhases =
        metrics.counter(
            "shallothold_cold_phases_total",
            "Times that a backend server became cold, by this gateway's knowledge.",
            "service");
    coldSends =
        metrics.counter(
            "shallothold_cold_sends_total", "Sends to backend servers that are cold.", "service");
    requestsHeldForCold =
        metrics.counter(
            "shallothold_requests_held_for_cold_total",
            "Requests that did not go to the chosen server because it is cold.",
            "service");
    rampUps =
        metrics.counter(
            "shallothold_ramp_ups_total",
            "Ended ramp-ups of backend servers that started or recovered.",
            "service",
            "outcome");
    requestsHeldForRampUp =
        metrics.counter(
            "shallothold_requests_held_for_ramp_up_total",
            "Requests that did not go to the chosen server because its window was full.",
            "service");
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
    peerBytes =
        metrics.counter(
            "shallothold_peer_sent_bytes_total",
            "Bytes sent to other gateways, without TCP and IP headers, by cause, content and distance.",
            "cause",
            "content",
            "distance");
    olderPlatformAnswers =
        metrics.counter(
            "shallothold_older_platform_answers_total",
            "Answers of the platform that end at an older revision than what is known.",
            "topic");
    platformRestores =
        metrics.counter(
            "shallothold_platform_restores_total",
            "Times that the platform came back from an older copy of its items.",
            "topic");
    readDeferrals =
        metrics.counter(
            "shallothold_read_deferrals_total",
            "Times that a connection had to wait for a turn, since its bytes made much work.",
            "source");
    deferredReadSeconds =
        metrics.counter(
            "shallothold_deferred_read_seconds_total",
            "Time of the event loop that connections used in such turns.",
            "source");
    eventLoopDelaySeconds =
        metrics.secondsHistogram(
            "shallothold_event_loop_delay_seconds",
            "Time by which a periodic task of the event loop was late.",
            DELAY_BUCKETS_SECONDS);
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

  /** Counts a part of a message to another gateway; see {@link PeerTraffic#sent}. */
  void recordSentToPeer(
      PeerTraffic.Cause cause,
      PeerTraffic.Content content,
      PeerTraffic.Distance distance,
      int bytes) {
    peerBytes.labelValues(cause.label(), content.label(), distance.label()).inc(bytes);
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
