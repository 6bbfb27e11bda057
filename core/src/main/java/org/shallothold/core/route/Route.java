package org.shallothold.core.route;

import java.util.List;

/**
 * A service class with its place in the callers' name space.
 *
 * @param name name of the route
 * @param host value of the request's host
 * @param pathPrefix prefix of the path, beginning and ending with a slash
 * @param kind what may be repeated
 * @param timeoutMillis longest time that a caller is kept waiting, in milliseconds
 * @param latencyTargetMillis time within which the answer (a stream: its first event) is on time
 * @param pauseTargetMillis longest pause between events that is on time; 0 if there is no target
 * @param maxAttempts most backend servers to which one request may be sent
 * @param priority rank, 0 is the highest
 * @param anonymous whether callers need no key
 * @param sticky whether requests carry the parts of their prompt
 * @param services where requests go; at least one
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
   * Returns the service for a request.
   *
   * @param draw number in [0, 1) that picks among the shares
   */
  public String service(double draw) {
    double total = services.stream().mapToDouble(ServiceShare::weight).sum();
    double left = draw * total;
    for (ServiceShare share : services) {
      left -= share.weight();
      if (left < 0) {
        return share.service();
      }
    }
    return services.getLast().service();
  }

  /** Returns whether requests of this route may go to a service. */
  public boolean leadsTo(String service) {
    return services.stream().anyMatch(share -> share.service().equals(service));
  }
}
