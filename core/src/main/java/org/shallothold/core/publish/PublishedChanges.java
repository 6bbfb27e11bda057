package org.shallothold.core.publish;

import java.util.List;
import java.util.Map;

/**
 * Changes of published items after a position. Immutable.
 *
 * @param items items that were added or changed
 * @param removals keys that were removed, each with the position of the removal
 */
public record PublishedChanges(List<PublishedItem> items, Map<String, PublishedPosition> removals) {

  /** Copies the collections. */
  public PublishedChanges {
    items = List.copyOf(items);
    removals = Map.copyOf(removals);
  }
}
