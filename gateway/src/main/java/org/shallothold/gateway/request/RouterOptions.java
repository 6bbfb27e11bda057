package org.shallothold.gateway.request;

import org.shallothold.core.routing.SelectionPolicy;

/**
 * Settings of the thread that owns the requests.
 *
 * @param policy how servers are chosen
 * @param subsetSize servers of each class to connect to
 * @param maxInFlight requests being served at once
 * @param budgetPercent retries per 100 requests
 * @param budgetFloorPerSecond retries per second allowed at any rate of requests
 * @param verdictWaitMillis how long a request that was given up waits for its sidecar's word on
 *     whether it ran, in milliseconds
 */
public record RouterOptions(
    SelectionPolicy policy,
    int subsetSize,
    int maxInFlight,
    int budgetPercent,
    int budgetFloorPerSecond,
    long verdictWaitMillis) {}
