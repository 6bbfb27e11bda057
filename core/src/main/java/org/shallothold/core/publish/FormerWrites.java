package org.shallothold.core.publish;

import java.util.Arrays;
import java.util.LinkedHashSet;
import java.util.Set;

/**
 * The writes of published items that a later write or a removal replaced, up to a number of them.
 * An older copy of the platform's items shows them again. Not thread-safe.
 */
final class FormerWrites {

  // Far above the number of changes within the age of a copy that a platform is restored from.
  private static final int MAX_WRITES = 20_000;

  private final Set<Write> writes = new LinkedHashSet<>();

  private record Write(String key, long revision, int valueHash) {

    private static Write of(PublishedItem item) {
      return new Write(item.key(), item.revision(), Arrays.hashCode(item.value()));
    }
  }

  private FormerWrites() {}

  static FormerWrites create() {
    return new FormerWrites();
  }

  void add(PublishedItem item) {
    writes.add(Write.of(item));
    if (writes.size() > MAX_WRITES) {
      writes.remove(writes.iterator().next());
    }
  }

  boolean contains(PublishedItem item) {
    return writes.contains(Write.of(item));
  }
}
