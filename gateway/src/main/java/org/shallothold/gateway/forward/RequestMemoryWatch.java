package org.shallothold.gateway.forward;

import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;

/**
 * Counts what was refused or ended because the memory for callers' requests was used up, and logs
 * when a shortage begins and ends. Owned by the event loop.
 */
final class RequestMemoryWatch {

  // A shortage that pauses for less is one shortage, so that there are few lines.
  private static final long CALM_MILLIS = 5_000;

  private final RequestMemoryBudget budget;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  private long refused;
  private long shed;
  private boolean isShort;
  private long beganMillis;
  private long lastMillis;
  private long refusedBefore;
  private long shedBefore;

  RequestMemoryWatch(RequestMemoryBudget budget, StructuredLog log, ForwardMetrics metrics) {
    this.budget = budget;
    this.log = log;
    this.metrics = metrics;
  }

  void maintain(long nowMillis) {
    long newlyRefused = budget.refusedCount() - refused;
    long newlyShed = budget.shedCount() - shed;
    refused += newlyRefused;
    shed += newlyShed;
    metrics.requestMemoryShortages.labelValues("refused").inc((double) newlyRefused);
    metrics.requestMemoryShortages.labelValues("shed").inc((double) newlyShed);
    if (newlyRefused + newlyShed > 0) {
      lastMillis = nowMillis;
      if (!isShort) {
        begin(nowMillis, refused - newlyRefused, shed - newlyShed);
      }
    } else if (isShort && nowMillis - lastMillis >= CALM_MILLIS) {
      end();
    }
  }

  private void begin(long nowMillis, long formerRefused, long formerShed) {
    isShort = true;
    beganMillis = nowMillis;
    refusedBefore = formerRefused;
    shedBefore = formerShed;
    log.add(
        LogLine.of("request_memory_short")
            .with("used_bytes", budget.usedBytes())
            .with("limit_bytes", budget.limitBytes()));
  }

  private void end() {
    isShort = false;
    log.add(
        LogLine.of("request_memory_regained")
            .with("short_millis", lastMillis - beganMillis)
            .with("refused", refused - refusedBefore)
            .with("shed", shed - shedBefore)
            .with("used_bytes", budget.usedBytes()));
  }
}
