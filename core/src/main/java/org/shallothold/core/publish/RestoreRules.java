package org.shallothold.core.publish;

import java.util.function.ToLongFunction;

/**
 * What a copy of a topic assumes after the platform was restored from an older copy of its own.
 * Immutable.
 *
 * @param missingMillis time for which an item that the restored platform lacks is kept, so that its
 *     owner can publish it again
 * @param outdatedMillis time for which an item that the restored platform has gone back to isn't
 *     used; by then its owner has published it again, or it has lapsed
 * @param version version that the owner gave an item, or {@link #NO_VERSION}; of two versions the
 *     higher one is the newer one, wherever and in whatever order they are published
 */
public record RestoreRules(
    long missingMillis, long outdatedMillis, ToLongFunction<PublishedItem> version) {

  /** Version of an item that has none. */
  public static final long NO_VERSION = Long.MIN_VALUE;

  /** Returns rules for items without versions. */
  public static RestoreRules withoutVersions(long missingMillis, long outdatedMillis) {
    return new RestoreRules(missingMillis, outdatedMillis, item -> NO_VERSION);
  }

  long versionOf(PublishedItem item) {
    return version.applyAsLong(item);
  }
}
