package org.shallothold.core.route;

/**
 * The customer that a key belongs to.
 *
 * @param name name of the customer
 * @param priority rank that goes before the route's; {@link #NO_PRIORITY} if there is none
 */
public record CustomerIdentity(String name, int priority) {

  /** The customer has no rank of its own. */
  public static final int NO_PRIORITY = -1;

  /** Returns the rank of a request of this customer on a route. */
  public Rank rankOn(Route route) {
    return priority == NO_PRIORITY
        ? Rank.of(route.priority())
        : new Rank(priority, route.priority());
  }
}
