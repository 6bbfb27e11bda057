package org.shallothold.core.publish;

import java.util.Arrays;
import java.util.Collection;
import java.util.HashSet;
import java.util.Set;
import java.util.TreeMap;

/**
 * The latest writes and removals of published items that are known, by revision. It tells which
 * items of a platform that was restored from an older copy were there before: the revisions after
 * that copy are assigned again, mostly to other writes. Not thread-safe.
 */
final class WriteLog {

  // Far above the number of changes within the age of a copy that a platform is restored from.
  private static final int MAX_REVISIONS = 20_000;
  private static final int NO_VALUE = 0;

  // Several writes at one revision are of different eras.
  private final TreeMap<Long, Set<Write>> writes = new TreeMap<>();
  private long startRevision;

  private record Write(String key, int valueHash) {

    private static Write of(PublishedItem item) {
      return new Write(item.key(), Arrays.hashCode(item.value()));
    }
  }

  private WriteLog() {}

  static WriteLog create() {
    return new WriteLog();
  }

  void addItem(PublishedItem item) {
    add(item.revision(), Write.of(item));
  }

  void addRemoval(String key, long revision) {
    add(revision, new Write(key, NO_VALUE));
  }

  private void add(long revision, Write write) {
    writes.computeIfAbsent(revision, key -> new HashSet<>(2)).add(write);
    if (writes.size() > MAX_REVISIONS) {
      startRevision = Math.max(startRevision, writes.pollFirstEntry().getKey());
    }
  }

  /**
   * Records that writes up to a revision may be missing, since only the items as of that revision
   * are known.
   */
  void startAt(long revision) {
    startRevision = revision;
  }

  /** Returns whether an item is a write that is known. */
  boolean contains(PublishedItem item) {
    return writes.getOrDefault(item.revision(), Set.of()).contains(Write.of(item));
  }

  /**
   * Returns the lowest revision that a listing shows to be assigned again, since the log would have
   * its write otherwise; all later ones are assigned again too.
   *
   * @param knownRevision revision up to which all writes since the start of the log are known
   */
  long firstReassigned(Collection<PublishedItem> listing, long knownRevision) {
    return listing.stream()
        .filter(item -> !contains(item))
        .mapToLong(PublishedItem::revision)
        .filter(revision -> revision > startRevision && revision <= knownRevision)
        .min()
        .orElse(Long.MAX_VALUE);
  }
}
