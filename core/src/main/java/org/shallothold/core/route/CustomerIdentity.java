package org.shallothold.core.route;

/**
 * A customer of the direct path, identified by a key.
 *
 * @param name name of the customer
 * @param priority priority that takes precedence over the route's, 0 is the highest; {@link
 *     #NO_PRIORITY} if the customer has none
 */
public record CustomerIdentity(String name, int priority) {

  /** Value of a customer without a priority of its own. */
  public static final int NO_PRIORITY = -1;

  /** Returns the rank of a request of this customer on a route. */
  public Rank rankOn(Route route) {
    return priority == NO_PRIORITY
        ? Rank.of(route.priority())
        : new Rank(priority, route.priority());
  }
}
