package org.shallothold.gateway.http;

import io.prometheus.metrics.core.metrics.Gauge;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.runtime.metrics.Metrics;

/** Gauges of the memory that callers' heads occupy, updated when the metrics are scraped. */
final class RequestMemoryGauges {

  private final RequestMemoryBudget memory;
  private final Gauge bytes;
  private final Gauge shortages;

  private RequestMemoryGauges(RequestMemoryBudget memory, Gauge bytes, Gauge shortages) {
    this.memory = memory;
    this.bytes = bytes;
    this.shortages = shortages;
  }

  static RequestMemoryGauges register(Metrics metrics, RequestMemoryBudget memory) {
    return new RequestMemoryGauges(
        memory,
        metrics.gauge(
            "shallothold_request_memory_bytes",
            "Memory that the heads of callers' requests occupy: in use, highest use, and limit.",
            "kind"),
        metrics.gauge(
            "shallothold_request_memory_shortages",
            "Requests refused, or ended for others, for lack of memory since the start.",
            "action"));
  }

  void update() {
    bytes.labelValues("used").set((double) memory.usedBytes());
    bytes.labelValues("peak").set((double) memory.peakBytes());
    bytes.labelValues("limit").set((double) memory.limitBytes());
    shortages.labelValues("refused").set((double) memory.refusedCount());
    shortages.labelValues("shed").set((double) memory.shedCount());
  }
}
