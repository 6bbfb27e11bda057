package org.shallothold.core.route;

import java.util.Comparator;

/**
 * How urgent a request is among those for the same service. The priority decides; among requests of
 * equal priority that of the route does, as a customer's priority says nothing of its own requests'
 * order. Ordered from the most urgent.
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
  public boolean isAbove(Rank other) {
    return compareTo(other) < 0;
  }
}
