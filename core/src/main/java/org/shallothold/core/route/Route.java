package org.shallothold.core.route;

import java.util.List;

/**
 * A route of the direct path: matches requests by host and path prefix, and says how they are
 * forwarded.
 *
 * @param name name of the route
 * @param host host that a request must name
 * @param pathPrefix prefix that the path must have; begins and ends with a slash
 * @param kind whether requests may be sent again, and whether answers are streams
 * @param timeoutMillis maximum time that a caller waits for the answer, in milliseconds
 * @param latencyTargetMillis target for the time to the answer, or to the first event of a stream,
 *     in milliseconds
 * @param pauseTargetMillis target for the longest gap between two events of a stream, in
 *     milliseconds; 0 if there is none
 * @param maxAttempts maximum number of backend servers to which one request is sent
 * @param priority priority, 0 is the highest
 * @param anonymous whether callers may send requests without a key
 * @param sticky whether requests list the parts of their prompt, so that they can be sent to an
 *     engine that caches them
 * @param services services that receive the requests, with their weights; at least one
 */
public record Route(
    String name,
    String host,
    String pathPrefix,
    CallKind kind,
    long timeoutMillis,
    long latencyTargetMillis,
    long pauseTargetMillis,
    int maxAttempts,
    int priority,
    boolean anonymous,
    boolean sticky,
    List<ServiceShare> services) {

  /**
   * Selects the service for a request, with probabilities proportional to the weights.
   *
   * @param draw uniform random number in [0, 1)
   */
  public String selectService(double draw) {
    double total = services.stream().mapToDouble(ServiceShare::weight).sum();
    double remaining = draw * total;
    for (ServiceShare share : services) {
      remaining -= share.weight();
      if (remaining < 0) {
        return share.service();
      }
    }
    return services.getLast().service();
  }

  /** Returns whether this route forwards requests to a service. */
  public boolean hasService(String service) {
    return services.stream().anyMatch(share -> share.service().equals(service));
  }
}
