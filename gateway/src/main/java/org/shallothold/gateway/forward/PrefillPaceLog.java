package org.shallothold.gateway.forward;

import java.util.Collection;
import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import org.shallothold.core.placement.PrefillPace;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * Logs when engines of a service begin to get fewer prompts because their running streams need the
 * time, and when the last of them gets as many as usual again. Owned by the event loop.
 */
final class PrefillPaceLog {

  // Single streams slow an engine for moments; a service counts as usual again after this time, so
  // that there are at most a few lines in ten seconds.
  private static final long USUAL_AFTER_MILLIS = 3_000;
  private static final double PERCENT = 100;

  private final RoutingState state;
  private final StructuredLog log;
  private final Map<String, SlowPeriod> periodsByService = new HashMap<>();

  /** Time for which engines of a service have been slowed, and the worst of it. */
  private static final class SlowPeriod {
    private final long startMillis;
    private long lastSlowedMillis;
    private long mostEngines;
    private double lowestShare = PrefillPace.MAX_SHARE;

    private SlowPeriod(long startMillis) {
      this.startMillis = startMillis;
    }
  }

  PrefillPaceLog(RoutingState state, StructuredLog log) {
    this.state = state;
    this.log = log;
  }

  /** Logs the changes since the last call. */
  void maintain(Collection<String> services) {
    long nowMillis = MonotonicClock.millis();
    Set<String> seen = new HashSet<>(services);
    seen.addAll(periodsByService.keySet());
    seen.forEach(service -> update(service, nowMillis));
  }

  private void update(String service, long nowMillis) {
    long slowed = state.servers(service).stream().filter(TrackedServer::isPrefillSlowed).count();
    SlowPeriod period = periodsByService.get(service);
    if (slowed > 0) {
      if (period == null) {
        period = new SlowPeriod(nowMillis);
        periodsByService.put(service, period);
        log.add(
            LogLine.of("prefills_slowed")
                .with("service", service)
                .with("engines", slowed)
                .with("lowest_prefill_percent", Math.round(lowestShare(service) * PERCENT)));
      }
      period.lastSlowedMillis = nowMillis;
      period.mostEngines = Math.max(period.mostEngines, slowed);
      period.lowestShare = Math.min(period.lowestShare, lowestShare(service));
    } else if (period != null && nowMillis - period.lastSlowedMillis >= USUAL_AFTER_MILLIS) {
      periodsByService.remove(service);
      log.add(
          LogLine.of("prefills_usual")
              .with("service", service)
              .with("slowed_millis", period.lastSlowedMillis - period.startMillis)
              .with("most_engines", period.mostEngines)
              .with("lowest_prefill_percent", Math.round(period.lowestShare * PERCENT)));
    }
  }

  private double lowestShare(String service) {
    return state.servers(service).stream()
        .mapToDouble(TrackedServer::prefillShare)
        .min()
        .orElse(PrefillPace.MAX_SHARE);
  }
}
