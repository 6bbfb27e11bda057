package org.shallothold.core.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.shallothold.core.config.ConfigurationEntry.Content.Malformed;
import org.shallothold.core.config.ConfigurationEntry.Content.PatchContent;
import org.shallothold.core.config.ConfigurationEntry.Content.SnapshotContent;

/**
 * Folds the platform's entries into the current configuration and never goes back. Every process
 * makes the same of the same entries, so of two patches on one base the one with the lower position
 * wins everywhere. Owned by one thread.
 */
public final class ConfigurationHistory {

  /** Entries kept for peers that are behind; a peer further behind gets a snapshot. */
  public static final int KEPT_ENTRIES = 4096;

  /** Bytes of bodies kept for peers, so that large patches don't fill a sidecar's small heap. */
  public static final int KEPT_BYTES = 4 * 1024 * 1024;

  private final TreeMap<Long, ConfigurationEntry> entries = new TreeMap<>();
  private final TreeMap<Long, ConfigurationVersion> versions = new TreeMap<>();
  private final TreeMap<Long, ConfigurationVersion> versionsByPosition = new TreeMap<>();
  private long keptBytes;
  private Configuration current = Configuration.EMPTY;
  private long lastPosition;

  private ConfigurationHistory() {
    record(0, ConfigurationVersion.INITIAL);
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

  /**
   * Returns the version in force after the entry at a position, so that two processes can compare
   * their histories there; empty if it is not known or no longer kept.
   */
  public Optional<ConfigurationVersion> versionAt(long position) {
    return position > lastPosition
        ? Optional.empty()
        : Optional.ofNullable(versionsByPosition.floorEntry(position)).map(Map.Entry::getValue);
  }

  /** Takes one entry and returns what became of it. */
  public PatchOutcome apply(ConfigurationEntry entry) {
    if (lastPosition == 0 && entry.content() instanceof SnapshotContent snapshot) {
      return start(entry, snapshot);
    }
    if (entry.position() <= lastPosition) {
      return compare(entry);
    }
    if (entry.position() != lastPosition + 1) {
      return new PatchOutcome.Gap(lastPosition + 1);
    }
    lastPosition = entry.position();
    keep(entry);
    return switch (entry.content()) {
      case PatchContent(Patch patch) -> applyPatch(entry, patch);
      case SnapshotContent snapshot -> checkSnapshot(entry, snapshot);
      case Malformed(String problem) -> new PatchOutcome.Invalid(List.of(problem));
    };
  }

  /**
   * Takes one entry from a peer. Unlike {@link #apply}, it also takes a snapshot that is ahead of
   * what this process holds: the peer no longer keeps the entries in between. The platform keeps
   * all entries, so a snapshot from there is never a reason to skip some.
   */
  public PatchOutcome applyFromPeer(ConfigurationEntry entry) {
    boolean ahead =
        entry.content() instanceof SnapshotContent snapshot
            && lastPosition > 0
            && entry.position() > lastPosition + 1
            && snapshot.position() > lastPosition
            && snapshot.configuration().version().number() >= current.version().number();
    return ahead ? start(entry, (SnapshotContent) entry.content()) : apply(entry);
  }

  private PatchOutcome compare(ConfigurationEntry entry) {
    ConfigurationEntry known = entries.get(entry.position());
    if (known == null && entry.position() == lastPosition) {
      // After a start from a snapshot, the first reading of its last entry is the one to compare
      // later readings with.
      keep(entry);
    }
    return known != null && !known.sameBody(entry)
        ? new PatchOutcome.Contradiction(entry.position())
        : new PatchOutcome.Known();
  }

  private PatchOutcome start(ConfigurationEntry entry, SnapshotContent snapshot) {
    Configuration start = snapshot.configuration();
    if (contradicts(start.version())) {
      return new PatchOutcome.Contradiction(entry.position());
    }
    List<String> problems =
        new ArrayList<>(ConfigurationValidator.problems(Configuration.EMPTY, start));
    if (snapshot.position() < 1 || snapshot.position() > entry.position()) {
      problems.add("position is " + snapshot.position() + "; allowed are 1 to " + entry.position());
    }
    if (!problems.isEmpty()) {
      if (entry.position() == lastPosition + 1) {
        // Refused like any other entry, so that the ones after it can follow.
        lastPosition = entry.position();
        keep(entry);
      }
      return new PatchOutcome.Invalid(problems);
    }
    entries.clear();
    keptBytes = 0;
    versionsByPosition.clear();
    lastPosition = snapshot.position();
    current = start;
    record(lastPosition, start.version());
    return new PatchOutcome.Started(start);
  }

  private PatchOutcome checkSnapshot(ConfigurationEntry entry, SnapshotContent snapshot) {
    ConfigurationVersion version = snapshot.configuration().version();
    if (contradicts(version)) {
      return new PatchOutcome.Contradiction(entry.position());
    }
    return version.number() > current.version().number() || snapshot.position() >= entry.position()
        ? new PatchOutcome.Invalid(
            List.of(
                "the snapshot names version "
                    + version.number()
                    + " at position "
                    + snapshot.position()
                    + "; the entries before it give version "
                    + current.version().number()))
        : new PatchOutcome.Known();
  }

  private PatchOutcome applyPatch(ConfigurationEntry entry, Patch patch) {
    if (patch.base() != current.version().number()) {
      return new PatchOutcome.Conflict(patch, current.version());
    }
    Configuration merged = merge(current, patch);
    List<String> problems = problems(current, patch, merged);
    if (!problems.isEmpty()) {
      return new PatchOutcome.Invalid(problems);
    }
    current = merged.withVersion(current.version().next(entry.body()));
    record(lastPosition, current.version());
    return new PatchOutcome.Accepted(current, patch);
  }

  /**
   * Returns what makes a patch invalid on a configuration, whatever base it names; empty if it
   * would be accepted.
   */
  public static List<String> problems(Configuration base, Patch patch) {
    return problems(base, patch, merge(base, patch));
  }

  private static List<String> problems(Configuration base, Patch patch, Configuration merged) {
    List<String> problems = new ArrayList<>();
    checkNames(
        "classes", base.classes(), patch.set().classes(), patch.remove().classes(), problems);
    checkNames(
        "customers",
        base.customers(),
        patch.set().customers(),
        patch.remove().customers(),
        problems);
    checkNames(
        "servers", base.servers(), patch.set().servers(), patch.remove().servers(), problems);
    checkNames(
        "services", base.services(), patch.set().services(), patch.remove().services(), problems);
    problems.addAll(ConfigurationValidator.problems(base, merged));
    return problems;
  }

  /** Returns a configuration with a patch applied, unchecked and under the version of the base. */
  public static Configuration merge(Configuration base, Patch patch) {
    return new Configuration(
        base.version(),
        ItemMap.patched(base.classes(), patch.set().classes(), patch.remove().classes()),
        ItemMap.patched(base.customers(), patch.set().customers(), patch.remove().customers()),
        ItemMap.patched(base.servers(), patch.set().servers(), patch.remove().servers()),
        ItemMap.patched(base.services(), patch.set().services(), patch.remove().services()));
  }

  private static void checkNames(
      String kind,
      Map<String, ?> items,
      Map<String, ?> set,
      List<String> remove,
      List<String> problems) {
    for (String name : remove) {
      if (set.containsKey(name)) {
        problems.add("set." + kind + " and remove." + kind + " both name " + name);
      } else if (!items.containsKey(name)) {
        problems.add("remove." + kind + " names " + name + ", which does not exist");
      }
    }
  }

  private void record(long position, ConfigurationVersion version) {
    versions.put(version.number(), version);
    versionsByPosition.put(position, version);
    if (versions.size() > KEPT_ENTRIES) {
      versions.pollFirstEntry();
    }
    if (versionsByPosition.size() > KEPT_ENTRIES) {
      versionsByPosition.pollFirstEntry();
    }
  }

  private void keep(ConfigurationEntry entry) {
    entries.put(entry.position(), entry);
    keptBytes += entry.bodyLength();
    while (entries.size() > 1 && (entries.size() > KEPT_ENTRIES || keptBytes > KEPT_BYTES)) {
      keptBytes -= entries.pollFirstEntry().getValue().bodyLength();
    }
  }
}
