package org.shallothold.core.publish;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * A process's copy of the published items under one prefix, with the revision up to which it is
 * complete. It never goes back: a read or a peer's news as of an older revision is ignored, item by
 * item. Owned by one thread.
 *
 * <p>An item that is missing after the platform's service was away may only have lapsed while its
 * owner could not renew it. It is kept for a grace period after contact was regained, and dropped
 * if it has not come back by then.
 */
public final class PublishedState {

  /** Time that owners need to publish again after the service returns, in milliseconds. */
  public static final long RETURN_GRACE_MILLIS = 2_000;

  private final Map<String, PublishedItem> items = new HashMap<>();
  private final Map<String, Long> removedRevisions = new HashMap<>();
  private final Map<String, Long> missingUntilMillis = new HashMap<>();
  private long asOf;
  private long changedAt;

  private PublishedState() {}

  /** Returns an empty copy, complete as of revision 0. */
  public static PublishedState empty() {
    return new PublishedState();
  }

  /** Returns the revision up to which every change is known; 0 if nothing was read. */
  public long asOf() {
    return asOf;
  }

  /** Returns the revision of the latest change that was taken; 0 if there was none. */
  public long changedAt() {
    return changedAt;
  }

  /** Returns the items, ordered by key. */
  public List<PublishedItem> items() {
    return items.values().stream().sorted(Comparator.comparing(PublishedItem::key)).toList();
  }

  /**
   * Takes one changed item.
   *
   * @return whether it is news
   */
  public boolean put(PublishedItem item) {
    PublishedItem known = items.get(item.key());
    long knownRevision =
        known == null ? removedRevisions.getOrDefault(item.key(), 0L) : known.revision();
    if (knownRevision >= item.revision()) {
      missingUntilMillis.remove(item.key());
      return false;
    }
    removedRevisions.remove(item.key());
    missingUntilMillis.remove(item.key());
    items.put(item.key(), item);
    changedAt = Math.max(changedAt, item.revision());
    return true;
  }

  /**
   * Takes the removal of an item.
   *
   * @param afterOutage whether the service was out of reach shortly before, so that the item may
   *     come back
   * @return whether the item was dropped
   */
  public boolean remove(String key, long revision, boolean afterOutage, long nowMillis) {
    PublishedItem known = items.get(key);
    if (known == null || known.revision() >= revision) {
      return false;
    }
    if (afterOutage) {
      missingUntilMillis.putIfAbsent(key, nowMillis + RETURN_GRACE_MILLIS);
      return false;
    }
    drop(key, revision);
    return true;
  }

  /** Notes that all changes up to a revision are known. */
  public void completeUpTo(long revision) {
    asOf = Math.max(asOf, revision);
  }

  /**
   * Takes a whole reading: known items that it lacks are gone, or missing after an outage.
   *
   * @return whether anything changed
   */
  public boolean replaceAll(
      Collection<PublishedItem> reading, long revision, boolean afterOutage, long nowMillis) {
    if (revision < asOf) {
      return false;
    }
    Set<String> present = new HashSet<>();
    boolean changed = false;
    for (PublishedItem item : reading) {
      present.add(item.key());
      changed |= put(item);
    }
    for (String key : List.copyOf(items.keySet())) {
      if (!present.contains(key)) {
        changed |= remove(key, Math.max(revision, 1), afterOutage, nowMillis);
      }
    }
    completeUpTo(revision);
    return changed;
  }

  /**
   * Drops the items whose grace period is over.
   *
   * @return their keys
   */
  public List<String> dropExpired(long nowMillis) {
    List<String> expired =
        missingUntilMillis.entrySet().stream()
            .filter(entry -> entry.getValue() <= nowMillis)
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    expired.forEach(key -> drop(key, asOf));
    return expired;
  }

  private void drop(String key, long revision) {
    items.remove(key);
    missingUntilMillis.remove(key);
    removedRevisions.put(key, revision);
    changedAt = Math.max(changedAt, revision);
  }
}
