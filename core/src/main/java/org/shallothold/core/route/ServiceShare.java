package org.shallothold.core.route;

/**
 * A service that a route leads to.
 *
 * @param service name of the service
 * @param weight share of the route's requests, relative to the other shares
 */
public record ServiceShare(String service, double weight) {}
