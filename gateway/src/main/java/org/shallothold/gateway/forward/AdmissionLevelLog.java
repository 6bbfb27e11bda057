package org.shallothold.gateway.forward;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import org.shallothold.core.route.Rank;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * Logs from which rank on the demand of the fleet exceeds what a service's engines can prefill, as
 * this gateway knows it, when that changes. Owned by the event loop.
 */
final class AdmissionLevelLog {

  // Arrivals vary from second to second; there is at most one line for each service in this time.
  private static final long INTERVAL_MILLIS = 2_000;

  private final StructuredLog log;
  private final Map<String, Logged> loggedByService = new HashMap<>();

  /** What was logged last for a service. */
  private record Logged(Optional<Rank> firstAbove, long loggedMillis) {}

  AdmissionLevelLog(StructuredLog log) {
    this.log = log;
  }

  /** Logs the changes since the last call. */
  void maintain(Map<String, ServiceQueue> queues) {
    long nowMillis = MonotonicClock.millis();
    queues.forEach((service, queue) -> update(service, queue, nowMillis));
  }

  private void update(String service, ServiceQueue queue, long nowMillis) {
    Logged logged =
        loggedByService.getOrDefault(
            service, new Logged(Optional.empty(), nowMillis - INTERVAL_MILLIS));
    Optional<Rank> firstAbove = queue.firstRankAboveCapacity();
    if (firstAbove.equals(logged.firstAbove())
        || nowMillis - logged.loggedMillis() < INTERVAL_MILLIS) {
      return;
    }
    loggedByService.put(service, new Logged(firstAbove, nowMillis));
    LogLine line =
        firstAbove
            .map(
                rank ->
                    LogLine.of("demand_above_capacity")
                        .with("service", service)
                        .with("priority", rank.priority())
                        .with("route_priority", rank.routePriority()))
            .orElseGet(() -> LogLine.of("demand_within_capacity").with("service", service));
    log.add(
        line.with("demanded_engines_percent", Math.round(queue.demandedEngines() * 100))
            .with("engines_percent", Math.round(queue.usableEngines() * 100)));
  }
}
