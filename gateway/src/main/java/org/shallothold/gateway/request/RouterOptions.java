package org.shallothold.gateway.request;

import org.shallothold.core.routing.SelectionPolicy;

/**
 * Settings of {@link RequestRouter}.
 *
 * @param policy policy for choosing a server
 * @param subsetSize engines of each service class to connect to
 * @param maxInFlight maximum number of requests in flight
 * @param budgetPercent retries allowed per 100 requests
 * @param budgetFloorPerSecond retries per second allowed regardless of the request rate
 * @param verdictWaitMillis how long an abandoned request waits for its sidecar to report whether it
 *     ran, in milliseconds
 */
public record RouterOptions(
    SelectionPolicy policy,
    int subsetSize,
    int maxInFlight,
    int budgetPercent,
    int budgetFloorPerSecond,
    long verdictWaitMillis) {}
