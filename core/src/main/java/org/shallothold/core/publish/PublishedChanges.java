package org.shallothold.core.publish;

import java.util.List;
import java.util.Map;

/**
 * Changes of published items after a revision. Immutable.
 *
 * @param items items that were added or changed
 * @param removedRevisions keys that were removed, each with the revision of the removal
 */
public record PublishedChanges(List<PublishedItem> items, Map<String, Long> removedRevisions) {

  /** Copies the collections. */
  public PublishedChanges {
    items = List.copyOf(items);
    removedRevisions = Map.copyOf(removedRevisions);
  }
}
