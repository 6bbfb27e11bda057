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
 * Applies the platform's configuration entries in order and holds the resulting configuration. It
 * never returns to an older version. Every process derives the same configuration from the same
 * entries: of two patches with the same base, the one with the lower position is accepted
 * everywhere. Not thread-safe; confined to one thread.
 */
public final class ConfigurationHistory {

  /** Number of entries kept for peers that are behind; a peer further behind gets a snapshot. */
  public static final int MAX_KEPT_ENTRIES = 4096;

  /** Limit on the bytes of kept bodies, so that large patches don't fill a sidecar's small heap. */
  public static final int MAX_KEPT_BYTES = 4 * 1024 * 1024;

  private final TreeMap<Long, ConfigurationEntry> entries = new TreeMap<>();
  private final TreeMap<Long, ConfigurationVersion> versions = new TreeMap<>();
  private final TreeMap<Long, ConfigurationVersion> versionsByPosition = new TreeMap<>();
  private long keptBytes;
  private Configuration current = Configuration.EMPTY;
  private long lastPosition;

  private ConfigurationHistory() {
    recordVersion(0, ConfigurationVersion.INITIAL);
  }

  /** Creates an empty history. */
  public static ConfigurationHistory create() {
    return new ConfigurationHistory();
  }

  /** Returns the configuration of the latest accepted version. */
  public Configuration current() {
    return current;
  }

  /** Returns the position of the last processed entry; 0 if there is none. */
  public long lastPosition() {
    return lastPosition;
  }

  /**
   * Returns all entries after a position, in order. The list is empty if there are none; the
   * optional is empty if some of them are no longer kept.
   */
  public Optional<List<ConfigurationEntry>> entriesAfter(long position) {
    if (position < lastPosition && !entries.containsKey(position + 1)) {
      return Optional.empty();
    }
    return Optional.of(List.copyOf(entries.tailMap(position, false).values()));
  }

  /**
   * Returns whether the version of a peer comes from a different history: this history holds the
   * same number with another digest. Returns false if the number is unknown or no longer kept.
   */
  public boolean contradicts(ConfigurationVersion peer) {
    ConfigurationVersion own = versions.get(peer.number());
    return own != null && own.contradicts(peer);
  }

  /**
   * Returns the version in force after the entry at a position, so that two processes can compare
   * their histories there. Returns empty if the position is not reached yet, or lies before a
   * starting snapshot or the kept versions.
   */
  public Optional<ConfigurationVersion> versionAt(long position) {
    return position > lastPosition
        ? Optional.empty()
        : Optional.ofNullable(versionsByPosition.floorEntry(position)).map(Map.Entry::getValue);
  }

  /**
   * Applies the next entry.
   *
   * <p>An empty history starts from a snapshot at any position. Otherwise entries up to the last
   * processed position are only compared with the kept ones, and a later entry must be the direct
   * successor. A refused or malformed entry counts as processed, so that its successors can follow.
   */
  public PatchOutcome apply(ConfigurationEntry entry) {
    if (lastPosition == 0 && entry.content() instanceof SnapshotContent snapshot) {
      return startFrom(entry, snapshot);
    }
    if (entry.position() <= lastPosition) {
      return compareWithKept(entry);
    }
    if (entry.position() != lastPosition + 1) {
      return new PatchOutcome.Gap(lastPosition + 1);
    }
    lastPosition = entry.position();
    retain(entry);
    return switch (entry.content()) {
      case PatchContent(Patch patch) -> applyPatch(entry, patch);
      case SnapshotContent snapshot -> checkSnapshot(entry, snapshot);
      case Malformed(String problem) -> new PatchOutcome.Invalid(List.of(problem));
    };
  }

  /**
   * Applies an entry from a peer. Unlike {@link #apply}, it also starts from a snapshot that is
   * ahead of this history, because the peer may no longer keep the entries in between. The platform
   * keeps all entries, so a snapshot from there never justifies skipping entries.
   */
  public PatchOutcome applyFromPeer(ConfigurationEntry entry) {
    boolean ahead =
        entry.content() instanceof SnapshotContent snapshot
            && lastPosition > 0
            && entry.position() > lastPosition + 1
            && snapshot.position() > lastPosition
            && snapshot.configuration().version().number() >= current.version().number();
    return ahead ? startFrom(entry, (SnapshotContent) entry.content()) : apply(entry);
  }

  private PatchOutcome compareWithKept(ConfigurationEntry entry) {
    ConfigurationEntry known = entries.get(entry.position());
    if (known == null && entry.position() == lastPosition) {
      // After a start from a snapshot, the last entry that it covers is not held yet. Its first
      // copy is kept, so that later copies can be compared with it.
      retain(entry);
    }
    return known != null && !known.hasSameKindAndBody(entry)
        ? new PatchOutcome.Contradiction(entry.position())
        : new PatchOutcome.Known();
  }

  private PatchOutcome startFrom(ConfigurationEntry entry, SnapshotContent snapshot) {
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
        // Record the refused snapshot as processed, so that its successors can be applied.
        lastPosition = entry.position();
        retain(entry);
      }
      return new PatchOutcome.Invalid(problems);
    }
    entries.clear();
    keptBytes = 0;
    versionsByPosition.clear();
    lastPosition = snapshot.position();
    current = start;
    recordVersion(lastPosition, start.version());
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
    recordVersion(lastPosition, current.version());
    return new PatchOutcome.Accepted(current, patch);
  }

  /**
   * Returns the problems of a patch when applied to a configuration; empty if it is valid. The base
   * version that the patch names is not checked.
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

  /** Returns the base with a patch applied, without validation and with the version of the base. */
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

  private void recordVersion(long position, ConfigurationVersion version) {
    versions.put(version.number(), version);
    versionsByPosition.put(position, version);
    if (versions.size() > MAX_KEPT_ENTRIES) {
      versions.pollFirstEntry();
    }
    if (versionsByPosition.size() > MAX_KEPT_ENTRIES) {
      versionsByPosition.pollFirstEntry();
    }
  }

  private void retain(ConfigurationEntry entry) {
    entries.put(entry.position(), entry);
    keptBytes += entry.bodyLength();
    while (entries.size() > 1
        && (entries.size() > MAX_KEPT_ENTRIES || keptBytes > MAX_KEPT_BYTES)) {
      keptBytes -= entries.pollFirstEntry().getValue().bodyLength();
    }
  }
}
