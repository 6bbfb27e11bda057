package org.shallothold.sidecar.work;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import org.shallothold.core.queue.BackendScheduler;
import org.shallothold.runtime.metrics.Metrics;

/**
 * The sidecar's metrics. Labels are class names of the configuration, tiers, and constants of the
 * code, so that no caller can add a series.
 */
final class SidecarMetrics {

  private static final double[] WAIT_BOUNDS = {0.001, 0.01, 0.05, 0.1, 0.25, 0.5, 1, 2, 5, 10, 30};

  final Counter ended;
  final Counter refused;
  final Counter preemptions;
  final Counter tokensForwarded;
  final Counter tokensWasted;
  final Counter orders;
  final Histogram waitSeconds;
  final Gauge leaving;
  final Gauge fenced;

  private final Gauge running;
  private final Gauge maxRunning;
  private final Gauge waiting;
  private final Gauge gateways;

  SidecarMetrics(Metrics metrics) {
    ended =
        metrics.counter(
            "shallothold_sidecar_requests_total", "Started requests by end.", "class", "outcome");
    refused =
        metrics.counter(
            "shallothold_sidecar_refusals_total", "Refused requests.", "class", "reason");
    preemptions =
        metrics.counter("shallothold_sidecar_preemptions_total", "Preempted runs.", "class");
    tokensForwarded =
        metrics.counter(
            "shallothold_sidecar_tokens_forwarded_total", "Tokens sent to gateways.", "class");
    tokensWasted =
        metrics.counter(
            "shallothold_sidecar_tokens_wasted_total",
            "Generated tokens of answers that nobody will complete.",
            "cause");
    orders = metrics.counter("shallothold_sidecar_orders_total", "Orders.", "outcome");
    waitSeconds =
        metrics.secondsHistogram(
            "shallothold_sidecar_wait_seconds",
            "Time from admission to the first start.",
            WAIT_BOUNDS,
            "class");
    leaving = metrics.gauge("shallothold_sidecar_leaving_state", "1 while leaving.");
    fenced = metrics.gauge("shallothold_sidecar_fenced_state", "1 once set aside by fencing.");
    running = metrics.gauge("shallothold_sidecar_running_requests", "Running requests.");
    maxRunning = metrics.gauge("shallothold_sidecar_slots", "Requests that may run.");
    waiting = metrics.gauge("shallothold_sidecar_waiting_requests", "Waiting requests.", "tier");
    gateways = metrics.gauge("shallothold_sidecar_gateways", "Connected gateways.");
  }

  /** Copies the state of the queue. */
  void observe(BackendScheduler scheduler, int gatewayCount) {
    running.set(scheduler.runningCount());
    maxRunning.set(scheduler.maxRunning());
    gateways.set(gatewayCount);
    int[] byTier = scheduler.waitingByTier();
    for (int tier = 0; tier < byTier.length; tier++) {
      waiting.labelValues(Integer.toString(tier)).set(byTier[tier]);
    }
  }
}
