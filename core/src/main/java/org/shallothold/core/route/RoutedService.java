package org.shallothold.core.route;

/**
 * A service that routes lead to.
 *
 * @param name name of the service
 * @param connectionLimit connections that each of its backend servers accepts from all callers
 * @param modelEngine whether its backend servers are model engines
 * @param cacheTokens tokens that an engine's memory holds; 0 for plain services
 * @param tokensPerEvent tokens that one event of an engine's stream holds; 1 for plain services
 * @param transferMillisPerToken time in which an engine gets one cached token from another engine,
 *     in milliseconds; {@link #NO_TRANSFER} if it can't
 */
public record RoutedService(
    String name,
    int connectionLimit,
    boolean modelEngine,
    long cacheTokens,
    int tokensPerEvent,
    double transferMillisPerToken) {

  /** Engines of the service can't get cached tokens from each other. */
  public static final double NO_TRANSFER = Double.POSITIVE_INFINITY;

  /**
   * Returns how many connections one of several gateways may have to a backend server. A server
   * resets connections beyond its limit, with the requests on them.
   */
  public int connectionsOfOneGateway(int gateways) {
    return Math.max(1, connectionLimit / Math.max(1, gateways));
  }
}
