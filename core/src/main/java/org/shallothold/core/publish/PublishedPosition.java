package org.shallothold.core.publish;

import java.util.Comparator;

/**
 * A place in the sequence of the platform's changes. Revisions are comparable within an era only:
 * when the platform's service is restored from an older copy, the revisions after that copy are
 * assigned again, to other changes, and a new era begins.
 *
 * @param era number of the era, which rises with each restore; 0 for a platform that has none
 * @param revision revision within the era; 0 before the first change
 */
public record PublishedPosition(long era, long revision) implements Comparable<PublishedPosition> {

  /** The position before everything that a platform published. */
  public static final PublishedPosition NONE = new PublishedPosition(0, 0);

  private static final Comparator<PublishedPosition> ORDER =
      Comparator.comparingLong(PublishedPosition::era)
          .thenComparingLong(PublishedPosition::revision);

  /** Returns the position of a revision in an era. */
  public static PublishedPosition of(long era, long revision) {
    return new PublishedPosition(era, revision);
  }

  /** Returns the position of a revision of a platform that has no eras. */
  public static PublishedPosition withoutEra(long revision) {
    return new PublishedPosition(0, revision);
  }

  /** Returns whether this position lies behind another one. */
  public boolean isAfter(PublishedPosition other) {
    return compareTo(other) > 0;
  }

  /** Returns the later of this position and another one. */
  public PublishedPosition latest(PublishedPosition other) {
    return other.isAfter(this) ? other : this;
  }

  /** Returns whether this is a position behind {@link #NONE}. */
  public boolean isKnown() {
    return isAfter(NONE);
  }

  @Override
  public int compareTo(PublishedPosition other) {
    return ORDER.compare(this, other);
  }
}
