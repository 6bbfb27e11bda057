package org.shallothold.runtime.sync;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import java.lang.System.Logger;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PatchOutcome;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.platform.ConfigurationDiff;

/**
 * Puts what happens to the configuration into the audit trail, the metrics and the log. Made once
 * per process; may be shared between threads.
 */
final class SyncReport {

  private static final Logger LOGGER = System.getLogger(SyncReport.class.getName());
  // Enough for a patch by hand; a mass change is read from the platform with "config diff".
  private static final int MOST_CHANGES = 20;

  private final AuditOutput audit;
  private final Counter conflicts;
  private final Counter refused;
  private final Counter platformReads;
  private final Gauge version;
  private final Gauge platformBehind;

  SyncReport(AuditOutput audit, Metrics metrics) {
    this.audit = audit;
    this.conflicts =
        metrics.counter(
            "shallothold_config_history_conflicts_total",
            "Other configuration histories met, by the platform or a peer.");
    this.refused =
        metrics.counter("shallothold_config_patches_refused_total", "Published entries refused.");
    this.platformReads =
        metrics.counter("shallothold_platform_reads_total", "Reads of the platform.", "outcome");
    this.version =
        metrics.gauge("shallothold_config_version_number", "Configuration version in force.");
    this.platformBehind =
        metrics.gauge(
            "shallothold_platform_behind",
            "1 while the platform's list ends before what this process holds, otherwise 0.");
  }

  void accepted(
      ConfigurationEntry entry,
      Configuration before,
      Configuration after,
      Patch patch,
      String source) {
    version.set((double) after.version().number());
    audit.record(
        "configuration_accepted",
        Map.of(
            "position", Long.toString(entry.position()),
            "version", Long.toString(after.version().number()),
            "base", Long.toString(patch.base()),
            "digest", after.version().digest(),
            "author", patch.author(),
            "written", patch.time(),
            "reason", patch.reason(),
            "changes", changes(patch, before, after),
            "source", source));
  }

  void started(ConfigurationEntry entry, Configuration configuration, String source) {
    version.set((double) configuration.version().number());
    audit.record(
        "configuration_started_from_snapshot",
        Map.of(
            "position", Long.toString(entry.position()),
            "version", Long.toString(configuration.version().number()),
            "digest", configuration.version().digest(),
            "source", source));
  }

  void conflictingPatch(
      ConfigurationEntry entry, PatchOutcome.Conflict conflict, ConfigurationVersion current) {
    refused.inc();
    audit.record(
        "configuration_patch_refused",
        Map.of(
            "position", Long.toString(entry.position()),
            "base", Long.toString(conflict.patch().base()),
            "current", Long.toString(current.number()),
            "author", conflict.patch().author(),
            "written", conflict.patch().time(),
            "reason", conflict.patch().reason(),
            "problem", "the base is not the current version"));
  }

  void invalid(ConfigurationEntry entry, List<String> problems) {
    refused.inc();
    audit.record(
        "configuration_patch_refused",
        Map.of(
            "position",
            Long.toString(entry.position()),
            "author",
            entry.content() instanceof ConfigurationEntry.Content.PatchContent(Patch patch)
                ? patch.author()
                : "",
            "problem",
            String.join("; ", problems)));
  }

  /** Notes that another history was met; called once for each process that holds it. */
  void historyConflict(String source, String place, ConfigurationVersion kept) {
    conflicts.inc();
    LOGGER.log(
        Logger.Level.ERROR,
        "two configuration histories exist at {0} (source {1}); keeping version {2}",
        place,
        source,
        Long.toString(kept.number()));
    audit.record(
        "configuration_history_conflict",
        Map.of(
            "place",
            place,
            "source",
            source,
            "kept_version",
            Long.toString(kept.number()),
            "kept_digest",
            kept.digest()));
  }

  void platformRead(boolean succeeded) {
    platformReads.labelValues(succeeded ? "ok" : "failed").inc();
  }

  void platformReachable(boolean reachable, String problem) {
    LOGGER.log(
        Logger.Level.WARNING,
        reachable ? "the platform can be read again" : "the platform can''t be read: {0}",
        problem);
  }

  void platformBehind(boolean behind, long platformPosition, long ourPosition) {
    platformBehind.set(behind ? 1 : 0);
    LOGGER.log(
        Logger.Level.WARNING,
        behind
            ? "the platform''s list ends at position {0}, this process holds {1}; keeping that"
            : "the platform''s list is no longer behind this process",
        Long.toString(platformPosition),
        Long.toString(ourPosition));
    audit.record(
        behind ? "platform_behind" : "platform_no_longer_behind",
        Map.of(
            "platform_position", Long.toString(platformPosition),
            "held_position", Long.toString(ourPosition)));
  }

  private static String changes(Patch patch, Configuration before, Configuration after) {
    List<ConfigurationDiff.Change> changes = ConfigurationDiff.of(patch, before, after);
    String text =
        changes.stream()
            .limit(MOST_CHANGES)
            .map(ConfigurationDiff.Change::toString)
            .collect(Collectors.joining("; "));
    return changes.size() <= MOST_CHANGES
        ? text
        : text + "; and " + (changes.size() - MOST_CHANGES) + " more";
  }
}
