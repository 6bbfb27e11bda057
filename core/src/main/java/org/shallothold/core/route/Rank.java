package org.shallothold.core.route;

import java.util.Comparator;

/**
 * Urgency of a request relative to other requests for the same service. Ordered by priority, then
 * by the route's priority, because a customer's priority doesn't distinguish between its own
 * requests. The most urgent rank comes first.
 *
 * @param priority priority of the customer, or the route's if the customer has none; 0 is the
 *     highest
 * @param routePriority priority of the route
 */
public record Rank(int priority, int routePriority) implements Comparable<Rank> {

  private static final Comparator<Rank> ORDER =
      Comparator.comparingInt(Rank::priority).thenComparingInt(Rank::routePriority);

  /** Returns the rank of a request whose customer has no priority of its own. */
  public static Rank of(int routePriority) {
    return new Rank(routePriority, routePriority);
  }

  @Override
  public int compareTo(Rank other) {
    return ORDER.compare(this, other);
  }

  /** Returns whether the other rank is less urgent. */
  public boolean isMoreUrgentThan(Rank other) {
    return compareTo(other) < 0;
  }
}
