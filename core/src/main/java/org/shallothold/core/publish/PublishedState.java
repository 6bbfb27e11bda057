package org.shallothold.core.publish;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * A process's copy of the published items under one prefix, with the revision up to which it is
 * complete. It never goes back: each item and each full listing, whether from the platform or from
 * a peer update, is ignored if its revision is older than the held one. Not thread-safe; confined
 * to one thread.
 *
 * <p>An item that is missing after the platform's service was unreachable may only have lapsed
 * while its owner could not renew it. It is kept for a grace period after contact was regained, and
 * dropped if its owner has not published it again by then.
 */
public final class PublishedState {

  /** Time for owners to publish their items again after contact was regained, in milliseconds. */
  public static final long REPUBLISH_GRACE_MILLIS = 2_000;

  private final Map<String, PublishedItem> items = new HashMap<>();
  private final Map<String, Long> removedRevisions = new HashMap<>();
  private final Map<String, Long> graceEndMillis = new HashMap<>();
  private long completeRevision;
  private long lastChangeRevision;

  private PublishedState() {}

  /** Creates an empty copy, complete up to revision 0. */
  public static PublishedState empty() {
    return new PublishedState();
  }

  /** Returns the revision up to which all changes are included; 0 if nothing was read. */
  public long completeRevision() {
    return completeRevision;
  }

  /** Returns the revision of the latest change that was applied; 0 if there was none. */
  public long lastChangeRevision() {
    return lastChangeRevision;
  }

  /** Returns the items, ordered by key; includes missing items in their grace period. */
  public List<PublishedItem> items() {
    return items.values().stream().sorted(Comparator.comparing(PublishedItem::key)).toList();
  }

  /**
   * Returns the changes after a revision. A copy that is complete up to that revision is equal to
   * this one after {@link #apply}.
   */
  public PublishedChanges changesAfter(long revision) {
    return new PublishedChanges(
        items().stream().filter(item -> item.revision() > revision).toList(),
        removedRevisions.entrySet().stream()
            .filter(entry -> entry.getValue() > revision)
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
  }

  /**
   * Applies the changes of another copy after a revision up to which this copy is complete.
   *
   * @param asOfRevision revision up to which the other copy is complete; nothing is applied if this
   *     copy is as new
   * @return whether any item was added, updated or removed
   */
  public boolean apply(PublishedChanges changes, long asOfRevision) {
    if (asOfRevision <= completeRevision) {
      return false;
    }
    boolean changed = false;
    for (PublishedItem item : changes.items()) {
      changed |= put(item);
    }
    for (Map.Entry<String, Long> removed : changes.removedRevisions().entrySet()) {
      changed |= remove(removed.getKey(), removed.getValue(), false, 0);
    }
    advanceCompleteRevision(asOfRevision);
    return changed;
  }

  /**
   * Adds or updates an item, unless the held item or its removal has the same or a newer revision.
   *
   * @return whether the item was added or updated
   */
  public boolean put(PublishedItem item) {
    PublishedItem current = items.get(item.key());
    long currentRevision =
        current == null ? removedRevisions.getOrDefault(item.key(), 0L) : current.revision();
    if (currentRevision >= item.revision()) {
      graceEndMillis.remove(item.key());
      return false;
    }
    removedRevisions.remove(item.key());
    graceEndMillis.remove(item.key());
    items.put(item.key(), item);
    lastChangeRevision = Math.max(lastChangeRevision, item.revision());
    return true;
  }

  /**
   * Removes an item, unless the held one is at least as new as the removal. After an outage the
   * item is kept for the grace period instead.
   *
   * @param revision revision at which the item was removed
   * @param afterOutage whether the service was unreachable shortly before, so that the owner may
   *     publish the item again
   * @param contactMillis time at which contact was regained, from which the grace period counts
   * @return whether the item was removed now
   */
  public boolean remove(String key, long revision, boolean afterOutage, long contactMillis) {
    PublishedItem current = items.get(key);
    if (current == null || current.revision() >= revision) {
      return false;
    }
    if (afterOutage) {
      graceEndMillis.putIfAbsent(key, contactMillis + REPUBLISH_GRACE_MILLIS);
      return false;
    }
    removeNow(key, revision);
    return true;
  }

  /** Records that all changes up to a revision are included. */
  public void advanceCompleteRevision(long revision) {
    completeRevision = Math.max(completeRevision, revision);
  }

  /**
   * Applies a full listing of the items as of a revision. Held items that it lacks are removed, or
   * kept for the grace period after an outage. A listing older than the complete revision is
   * ignored.
   *
   * @param contactMillis time at which contact was regained, from which the grace period counts
   * @return whether any item was added, updated or removed
   */
  public boolean replaceAll(
      Collection<PublishedItem> listing, long revision, boolean afterOutage, long contactMillis) {
    if (revision < completeRevision) {
      return false;
    }
    Set<String> present = new HashSet<>();
    boolean changed = false;
    for (PublishedItem item : listing) {
      present.add(item.key());
      changed |= put(item);
    }
    for (String key : List.copyOf(items.keySet())) {
      if (!present.contains(key)) {
        changed |= remove(key, Math.max(revision, 1), afterOutage, contactMillis);
      }
    }
    advanceCompleteRevision(revision);
    return changed;
  }

  /**
   * Removes the items whose grace period is over.
   *
   * @return their keys, in order
   */
  public List<String> dropExpired(long nowMillis) {
    List<String> expired =
        graceEndMillis.entrySet().stream()
            .filter(entry -> entry.getValue() <= nowMillis)
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    expired.forEach(key -> removeNow(key, completeRevision));
    return expired;
  }

  private void removeNow(String key, long revision) {
    items.remove(key);
    graceEndMillis.remove(key);
    removedRevisions.put(key, revision);
    lastChangeRevision = Math.max(lastChangeRevision, revision);
  }
}
