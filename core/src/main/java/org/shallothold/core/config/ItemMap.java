package org.shallothold.core.config;

import java.util.AbstractMap;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;

/**
 * An immutable map of items, sorted by name so that every process iterates in the same order.
 * Versions of the configuration share the maps of the item kinds that a patch does not change.
 *
 * @param <T> type of the items
 */
final class ItemMap<T> extends AbstractMap<String, T> {

  private final SortedMap<String, T> items;

  private ItemMap(SortedMap<String, T> items) {
    this.items = items;
  }

  /** Returns an immutable copy, or the map itself if it is an {@code ItemMap} already. */
  static <T> Map<String, T> copyOf(Map<String, T> map) {
    return map instanceof ItemMap ? map : new ItemMap<>(new TreeMap<>(map));
  }

  /** Returns a map with items removed and set, or the base itself if there is nothing to change. */
  static <T> Map<String, T> patched(Map<String, T> base, Map<String, T> set, List<String> remove) {
    if (set.isEmpty() && remove.isEmpty()) {
      return base;
    }
    // Copying a sorted map takes linear time.
    TreeMap<String, T> result =
        base instanceof ItemMap<T> sorted ? new TreeMap<>(sorted.items) : new TreeMap<>(base);
    remove.forEach(result::remove);
    result.putAll(set);
    return new ItemMap<>(result);
  }

  @Override
  public @Nullable T get(@Nullable Object name) {
    return name == null ? null : items.get(name);
  }

  @Override
  public boolean containsKey(@Nullable Object name) {
    return name != null && items.containsKey(name);
  }

  @Override
  public Set<Entry<String, T>> entrySet() {
    return Collections.unmodifiableMap(items).entrySet();
  }
}
