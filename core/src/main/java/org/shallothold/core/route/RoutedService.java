package org.shallothold.core.route;

/**
 * A service that routes forward requests to, with the properties shared by its backend servers.
 *
 * @param name name of the service
 * @param connectionLimit number of connections that each of its backend servers accepts in total
 * @param modelEngine whether its backend servers are model engines
 * @param cacheCapacityTokens capacity of an engine's KV cache, in tokens; 0 for plain services
 * @param tokensPerEvent number of tokens in one event of an engine's stream; 1 for plain services
 * @param transferMillisPerToken time to copy one token of the KV cache from another engine, in
 *     milliseconds; {@link #NO_TRANSFER} if engines can't copy
 * @param coldStart what its backend servers tolerate after their start
 */
public record RoutedService(
    String name,
    int connectionLimit,
    boolean modelEngine,
    long cacheCapacityTokens,
    int tokensPerEvent,
    double transferMillisPerToken,
    ColdStart coldStart) {

  /** Value of a service whose engines can't copy cached tokens from each other. */
  public static final double NO_TRANSFER = Double.POSITIVE_INFINITY;

  /** Creates a service whose servers tolerate the same after their start as later. */
  public RoutedService(
      String name,
      int connectionLimit,
      boolean modelEngine,
      long cacheCapacityTokens,
      int tokensPerEvent,
      double transferMillisPerToken) {
    this(
        name,
        connectionLimit,
        modelEngine,
        cacheCapacityTokens,
        tokensPerEvent,
        transferMillisPerToken,
        ColdStart.NONE);
  }

  /**
   * Returns the maximum number of connections from one gateway to one backend server, at least 1.
   * The limit is divided among the gateways because a server resets connections beyond it, together
   * with the requests on them.
   *
   * @param gateways number of gateways that connect to the server
   */
  public int connectionsPerGateway(int gateways) {
    return Math.max(1, connectionLimit / Math.max(1, gateways));
  }
}
