package org.shallothold.core.publish;

import java.util.Arrays;

/**
 * An item that the platform publishes. The value is shared and must not be modified.
 *
 * @param key key of the item
 * @param value value as published, in bytes
 * @param position position at which the item last changed
 */
@SuppressWarnings("ArrayRecordComponent")
public record PublishedItem(String key, byte[] value, PublishedPosition position) {

  /** Returns an item of a platform without eras. */
  public static PublishedItem of(String key, byte[] value, long revision) {
    return new PublishedItem(key, value, PublishedPosition.withoutEra(revision));
  }

  /** Returns the revision at which the item last changed, within its era. */
  public long revision() {
    return position.revision();
  }

  boolean hasSameValue(PublishedItem other) {
    return Arrays.equals(value, other.value);
  }
}
