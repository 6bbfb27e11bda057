package org.shallothold.core.config;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;

/**
 * Folds the platform's entries into the current configuration and never goes back. Every process
 * makes the same of the same entries, so of two patches on one base the one with the lower position
 * wins everywhere. Owned by one thread.
 */
public final class ConfigurationHistory {

  /** Entries kept for peers that are behind; a peer further behind gets a snapshot. */
  public static final int KEPT_ENTRIES = 4096;

  private final TreeMap<Long, ConfigurationEntry> entries = new TreeMap<>();
  private final TreeMap<Long, ConfigurationVersion> versions = new TreeMap<>();
  private Configuration current = Configuration.EMPTY;
  private long lastPosition;

  private ConfigurationHistory() {
    versions.put(0L, ConfigurationVersion.INITIAL);
  }

  /** Returns a history that holds nothing. */
  public static ConfigurationHistory create() {
    return new ConfigurationHistory();
  }

  /** Returns the newest accepted configuration. */
  public Configuration current() {
    return current;
  }

  /** Returns the position of the last entry taken; 0 if there is none. */
  public long lastPosition() {
    return lastPosition;
  }

  /**
   * Returns the kept entries after a position, in order; empty if some of them are no longer kept.
   */
  public Optional<List<ConfigurationEntry>> entriesAfter(long position) {
    if (position < lastPosition && !entries.containsKey(position + 1)) {
      return Optional.empty();
    }
    return Optional.of(List.copyOf(entries.tailMap(position, false).values()));
  }

  /** Returns whether a version that a peer names comes from another history than ours. */
  public boolean contradicts(ConfigurationVersion peer) {
    ConfigurationVersion ours = versions.get(peer.number());
    return ours != null && ours.contradicts(peer);
  }

  /** Takes one entry and returns what became of it. */
  public PatchOutcome apply(ConfigurationEntry entry) {
    if (entry.position() <= lastPosition) {
      ConfigurationEntry known = entries.get(entry.position());
      return known != null && !known.sameBody(entry)
          ? new PatchOutcome.Contradiction(entry.position())
          : new PatchOutcome.Known();
    }
    if (lastPosition == 0
        && entry.content() instanceof ConfigurationEntry.Content.SnapshotContent snapshot) {
      return start(snapshot);
    }
    if (entry.position() != lastPosition + 1) {
      return new PatchOutcome.Gap(lastPosition + 1);
    }
    lastPosition = entry.position();
    keep(entry);
    return switch (entry.content()) {
      case ConfigurationEntry.Content.PatchContent(Patch patch) -> applyPatch(entry, patch);
      case ConfigurationEntry.Content.SnapshotContent snapshot -> checkSnapshot(entry, snapshot);
      case ConfigurationEntry.Content.Malformed(String problem) ->
          new PatchOutcome.Invalid(List.of(problem));
    };
  }

  private PatchOutcome start(ConfigurationEntry.Content.SnapshotContent snapshot) {
    lastPosition = snapshot.position();
    current = snapshot.configuration();
    versions.put(current.version().number(), current.version());
    return new PatchOutcome.Started(current);
  }

  private PatchOutcome checkSnapshot(
      ConfigurationEntry entry, ConfigurationEntry.Content.SnapshotContent snapshot) {
    return contradicts(snapshot.configuration().version())
        ? new PatchOutcome.Contradiction(entry.position())
        : new PatchOutcome.Known();
  }

  private PatchOutcome applyPatch(ConfigurationEntry entry, Patch patch) {
    if (patch.base() != current.version().number()) {
      return new PatchOutcome.Conflict(patch, current.version());
    }
    Configuration result = merge(current, patch);
    List<String> problems = new ArrayList<>(missingRemovals(current, patch));
    problems.addAll(ConfigurationValidator.problems(result));
    if (!problems.isEmpty()) {
      return new PatchOutcome.Invalid(problems);
    }
    current = result.withVersion(current.version().next(entry.body()));
    versions.put(current.version().number(), current.version());
    if (versions.size() > KEPT_ENTRIES) {
      versions.pollFirstEntry();
    }
    return new PatchOutcome.Accepted(current, patch);
  }

  /** Returns a configuration with a patch applied, unchecked and under the version of the base. */
  public static Configuration merge(Configuration base, Patch patch) {
    return new Configuration(
        base.version(),
        merge(base.classes(), patch.set().classes(), patch.remove().classes()),
        merge(base.customers(), patch.set().customers(), patch.remove().customers()),
        merge(base.servers(), patch.set().servers(), patch.remove().servers()),
        merge(base.services(), patch.set().services(), patch.remove().services()));
  }

  private static List<String> missingRemovals(Configuration base, Patch patch) {
    List<String> problems = new ArrayList<>();
    checkRemovals("classes", base.classes(), patch.remove().classes(), problems);
    checkRemovals("customers", base.customers(), patch.remove().customers(), problems);
    checkRemovals("servers", base.servers(), patch.remove().servers(), problems);
    checkRemovals("services", base.services(), patch.remove().services(), problems);
    return problems;
  }

  private static void checkRemovals(
      String kind, Map<String, ?> items, List<String> names, List<String> problems) {
    names.stream()
        .filter(name -> !items.containsKey(name))
        .forEach(
            name -> problems.add("remove." + kind + " names " + name + ", which does not exist"));
  }

  private static <T> Map<String, T> merge(
      Map<String, T> base, Map<String, T> set, List<String> remove) {
    Map<String, T> result = new HashMap<>(base);
    remove.forEach(result::remove);
    result.putAll(set);
    return result;
  }

  private void keep(ConfigurationEntry entry) {
    entries.put(entry.position(), entry);
    if (entries.size() > KEPT_ENTRIES) {
      entries.pollFirstEntry();
    }
  }
}
