package org.shallothold.core.publish;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.jspecify.annotations.Nullable;

/**
 * A process's copy of the published items under one prefix, with the position up to which it is
 * complete. It never goes back: each item and each full listing, whether from the platform or from
 * a peer update, is ignored if its position is older than the held one. Of an item with a version
 * of its own, the highest version counts, whatever its position. Not thread-safe; confined to one
 * thread.
 *
 * <p>An item that is missing after the platform's service was unreachable may only have lapsed
 * while its owner could not renew it. It is kept for a grace period after contact was regained, and
 * dropped if its owner has not published it again by then.
 *
 * <p>A platform that was restored from an older copy of its items lacks what was published after
 * that copy until the owners publish it again. The first listing of the new era is therefore merged
 * with the held items: items that it lacks are kept for a while, and items that it has gone back to
 * aren't used for a while. See {@link RestoreRules}.
 */
public final class PublishedState {

  /** Time for owners to publish their items again after contact was regained, in milliseconds. */
  public static final long REPUBLISH_GRACE_MILLIS = 2_000;

  private static final long NEVER = Long.MAX_VALUE;

  private final RestoreRules rules;
  private final Map<String, PublishedItem> items = new HashMap<>();
  private final Map<String, PublishedPosition> removals = new HashMap<>();
  private final Map<String, Unconfirmed> unconfirmed = new HashMap<>();
  private final WriteLog knownWrites = WriteLog.create();
  private PublishedPosition complete = PublishedPosition.NONE;
  private PublishedPosition lastChange = PublishedPosition.NONE;
  private @Nullable Restore lastRestore;

  /** Why what is held of a key, or that nothing is held, differs from the platform's listing. */
  private sealed interface Unconfirmed {

    /** Returns the time at which the listing prevails. */
    long endMillis();

    /** The platform lacks the held item, which its owner may publish again. */
    record Missing(long endMillis) implements Unconfirmed {}

    /** The platform lists an earlier write than what is known of the key. */
    record Outdated(long endMillis, PublishedItem listed) implements Unconfirmed {}
  }

  private PublishedState(RestoreRules rules) {
    this.rules = rules;
  }

  /** Creates an empty copy of items without versions. */
  public static PublishedState empty() {
    return of(RestoreRules.withoutVersions(REPUBLISH_GRACE_MILLIS, 2 * REPUBLISH_GRACE_MILLIS));
  }

  /** Creates an empty copy. */
  public static PublishedState of(RestoreRules rules) {
    return new PublishedState(rules);
  }

  // Views

  /** Returns the position up to which all changes are included. */
  public PublishedPosition complete() {
    return complete;
  }

  /** Returns the position of the latest change that was applied. */
  public PublishedPosition lastChange() {
    return lastChange;
  }

  /** Returns how the last restore of the platform was taken over; empty if there was none. */
  public Optional<Restore> lastRestore() {
    return Optional.ofNullable(lastRestore);
  }

  /** Returns the items, ordered by key; includes missing items in their grace period. */
  public List<PublishedItem> items() {
    return sorted(items.values().stream());
  }

  /**
   * Returns the items as the platform lists them, ordered by key, but each in the highest version
   * that is known. A copy that replaces its items with these decides by itself what to keep.
   */
  public List<PublishedItem> listing() {
    Stream<PublishedItem> listed =
        items.values().stream()
            .filter(item -> !unconfirmed.containsKey(item.key()) || isVersioned(item));
    Stream<PublishedItem> outdated =
        unconfirmed.values().stream()
            .flatMap(
                state ->
                    state instanceof Unconfirmed.Outdated(long end, PublishedItem item)
                            && !isVersioned(item)
                        ? Stream.of(item)
                        : Stream.empty());
    return sorted(Stream.concat(listed, outdated));
  }

  private static List<PublishedItem> sorted(Stream<PublishedItem> unsorted) {
    return unsorted.sorted(Comparator.comparing(PublishedItem::key)).toList();
  }

  /**
   * Returns the changes after a position of the current era. A copy that is complete up to that
   * position is equal to this one after {@link #apply}.
   */
  public PublishedChanges changesAfter(PublishedPosition position) {
    return new PublishedChanges(
        items().stream().filter(item -> item.position().isAfter(position)).toList(),
        removals.entrySet().stream()
            .filter(entry -> entry.getValue().isAfter(position))
            .collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue)));
  }

  // Changes

  /**
   * Applies the changes of another copy after a position up to which this copy is complete.
   *
   * @param asOf position up to which the other copy is complete; nothing is applied if this copy is
   *     as new, or of another era
   * @return whether any item was added, updated or removed
   */
  public boolean apply(PublishedChanges changes, PublishedPosition asOf) {
    if (!asOf.isAfter(complete) || asOf.era() != complete.era()) {
      return false;
    }
    // Of several writes of an item, the changes contain the last one.
    knownWrites.startAt(asOf.revision());
    boolean changed = false;
    for (PublishedItem item : changes.items()) {
      changed |= put(item);
    }
    for (Map.Entry<String, PublishedPosition> removed : changes.removals().entrySet()) {
      changed |= remove(removed.getKey(), removed.getValue(), false, 0);
    }
    advance(asOf);
    return changed;
  }

  /**
   * Adds or updates an item, unless the held item or its removal is as new or newer.
   *
   * @return whether the item was added or updated
   */
  public boolean put(PublishedItem item) {
    knownWrites.addItem(item);
    PublishedItem held = items.get(item.key());
    int versionOrder = held == null ? 0 : compareVersions(item, held);
    if (versionOrder < 0 || isOutdated(item)) {
      return false;
    }
    PublishedPosition known =
        held == null ? removals.getOrDefault(item.key(), PublishedPosition.NONE) : held.position();
    if (versionOrder == 0 && !isNewWrite(item, held, known)) {
      if (!known.isAfter(item.position())) {
        unconfirmed.remove(item.key());
      }
      return false;
    }
    accept(item);
    return true;
  }

  /** Returns whether the platform is known to list this or a later write, which isn't used. */
  private boolean isOutdated(PublishedItem item) {
    return unconfirmed.get(item.key())
            instanceof Unconfirmed.Outdated(long end, PublishedItem listed)
        && (!item.position().isAfter(listed.position()) || isSameWrite(item, listed));
  }

  private static boolean isNewWrite(
      PublishedItem item, @Nullable PublishedItem held, PublishedPosition known) {
    return item.position().isAfter(known) && (held == null || !isSameWrite(item, held));
  }

  /** Returns whether an item of one era is the same write as an item of an earlier era. */
  private static boolean isSameWrite(PublishedItem item, PublishedItem held) {
    return item.revision() == held.revision() && item.hasSameValue(held);
  }

  private void accept(PublishedItem item) {
    removals.remove(item.key());
    unconfirmed.remove(item.key());
    items.put(item.key(), item);
    lastChange = lastChange.latest(item.position());
  }

  /**
   * Removes an item, unless the held one is at least as new as the removal. After an outage the
   * item is kept for the grace period instead.
   *
   * @param position position at which the item was removed
   * @param afterOutage whether the service was unreachable shortly before, so that the owner may
   *     publish the item again
   * @param contactMillis time at which contact was regained, from which the grace period counts
   * @return whether the item was removed now
   */
  public boolean remove(
      String key, PublishedPosition position, boolean afterOutage, long contactMillis) {
    knownWrites.addRemoval(key, position.revision());
    return removeUnlisted(key, position, afterOutage, contactMillis);
  }

  /** Removes an item that is known to be gone by a position, but not since which one. */
  private boolean removeUnlisted(
      String key, PublishedPosition position, boolean afterOutage, long contactMillis) {
    PublishedItem held = items.get(key);
    if (held == null) {
      unconfirmed.remove(key);
      return false;
    }
    if (!position.isAfter(held.position())) {
      return false;
    }
    if (afterOutage) {
      if (!(unconfirmed.get(key) instanceof Unconfirmed.Missing)) {
        unconfirmed.put(key, new Unconfirmed.Missing(contactMillis + REPUBLISH_GRACE_MILLIS));
      }
      return false;
    }
    removeNow(key, position);
    return true;
  }

  /** Records that all changes up to a position are included. */
  public void advance(PublishedPosition position) {
    complete = complete.latest(position);
  }

  /**
   * Applies a full listing of the items as of a position. Held items that it lacks are removed, or
   * kept for the grace period after an outage. A listing of a new era is merged. Of a listing older
   * than the complete position, only higher versions are taken.
   *
   * @param contactMillis time at which contact was regained, from which the grace period counts
   * @return whether any item was added, updated or removed
   */
  public boolean replaceAll(
      Collection<PublishedItem> listing,
      PublishedPosition asOf,
      boolean afterOutage,
      long contactMillis) {
    if (complete.isAfter(asOf)) {
      return takeHigherVersions(listing);
    }
    if (complete.isKnown() && asOf.era() > complete.era()) {
      takeRestored(listing, asOf, contactMillis);
      return true;
    }
    knownWrites.startAt(asOf.revision());
    boolean changed = false;
    for (PublishedItem item : listing) {
      changed |= put(item);
    }
    for (String key : unlisted(listing)) {
      // The grace period of an item that was missing before goes on.
      if (!(unconfirmed.get(key) instanceof Unconfirmed.Missing)) {
        changed |= removeUnlisted(key, positive(asOf), afterOutage, contactMillis);
      }
    }
    advance(asOf);
    return changed;
  }

  private static PublishedPosition positive(PublishedPosition position) {
    return PublishedPosition.of(position.era(), Math.max(position.revision(), 1));
  }

  /** Returns the keys of which something is known and that a listing lacks. */
  private Set<String> unlisted(Collection<PublishedItem> listing) {
    Set<String> keys = new HashSet<>(items.keySet());
    keys.addAll(unconfirmed.keySet());
    listing.forEach(item -> keys.remove(item.key()));
    return keys;
  }

  /**
   * Takes the items that have a higher version than the held ones, whatever their position.
   *
   * @return whether there were any
   */
  public boolean takeHigherVersions(Collection<PublishedItem> candidates) {
    boolean changed = false;
    for (PublishedItem item : candidates) {
      PublishedItem held = items.get(item.key());
      if (isVersioned(item) && (held == null || compareVersions(item, held) > 0)) {
        knownWrites.addItem(item);
        accept(item);
        changed = true;
      }
    }
    return changed;
  }

  private int compareVersions(PublishedItem item, PublishedItem held) {
    return Long.compare(rules.versionOf(item), rules.versionOf(held));
  }

  private boolean isVersioned(PublishedItem item) {
    return rules.versionOf(item) != RestoreRules.NO_VERSION;
  }

  // Restores

  private void takeRestored(
      Collection<PublishedItem> listing, PublishedPosition asOf, long nowMillis) {
    unconfirmed.clear();
    PublishedPosition from = complete;
    long firstReassigned = knownWrites.firstReassigned(listing, from.revision());
    int changed = 0;
    int outdated = 0;
    for (PublishedItem item : listing) {
      PublishedItem held = items.get(item.key());
      if (held != null && isSameWrite(item, held)) {
        continue;
      }
      if (held != null && compareVersions(item, held) < 0) {
        unconfirmed.put(item.key(), new Unconfirmed.Outdated(NEVER, item));
        outdated++;
      } else if (isVersioned(item)
          || (held != null && item.hasSameValue(held))
          || item.revision() >= firstReassigned
          || !mayBeEarlierWrite(item, from)) {
        accept(item);
        changed++;
      } else {
        unconfirmed.put(
            item.key(), new Unconfirmed.Outdated(nowMillis + rules.outdatedMillis(), item));
        outdated++;
      }
    }
    Set<String> missing = unlisted(listing);
    missing.forEach(key -> unconfirmed.put(key, missing(key, nowMillis)));
    complete = asOf;
    knownWrites.startAt(asOf.revision());
    listing.forEach(knownWrites::addItem);
    lastChange = asOf;
    lastRestore = new Restore(from, asOf, missing.size(), outdated, changed);
  }

  /**
   * Returns whether an item that a restored platform lists, and that is not the held one, may have
   * been replaced or removed before.
   *
   * @param from position up to which the copy was complete
   */
  private boolean mayBeEarlierWrite(PublishedItem item, PublishedPosition from) {
    return item.revision() <= from.revision() || knownWrites.contains(item);
  }

  private Unconfirmed missing(String key, long nowMillis) {
    PublishedItem held = items.get(key);
    boolean stays = held != null && isVersioned(held);
    return new Unconfirmed.Missing(stays ? NEVER : nowMillis + rules.missingMillis());
  }

  /**
   * Ends the grace periods that are over: removes items that are still missing, and takes items to
   * which a restored platform went back.
   *
   * @return the keys of these items, in order
   */
  public List<String> dropExpired(long nowMillis) {
    List<String> expired =
        unconfirmed.entrySet().stream()
            .filter(entry -> entry.getValue().endMillis() <= nowMillis)
            .map(Map.Entry::getKey)
            .sorted()
            .toList();
    for (String key : expired) {
      switch (unconfirmed.get(key)) {
        case Unconfirmed.Missing missing -> removeNow(key, complete);
        case Unconfirmed.Outdated(long end, PublishedItem listed) -> accept(listed);
        case null -> {}
      }
    }
    return expired;
  }

  private void removeNow(String key, PublishedPosition position) {
    items.remove(key);
    unconfirmed.remove(key);
    removals.put(key, position);
    lastChange = lastChange.latest(position);
  }
}
