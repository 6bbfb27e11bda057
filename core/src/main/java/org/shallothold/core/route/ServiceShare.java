package org.shallothold.core.route;

/**
 * A service that a route forwards requests to, with its weight.
 *
 * @param service name of the service
 * @param weight weight relative to the other services of the route
 */
public record ServiceShare(String service, double weight) {}
