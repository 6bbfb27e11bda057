package org.shallothold.gateway.forward.port;

import org.jspecify.annotations.Nullable;
import org.shallothold.core.rate.ColdFigure;
import org.shallothold.core.rate.RateStatement;

/**
 * Header fields of a backend server's response, decoded.
 *
 * @param requestId id of the request that the response belongs to; null if unspecified, or if the
 *     id or the signature occurs more than once
 * @param signed whether the response carries the server's signature
 * @param notRun whether the server states that it did not run the request
 * @param runningRequests number of requests running at the server; -1 if unspecified
 * @param waitingRequests number of requests waiting at the server; -1 if unspecified
 * @param momentaryPercent how long work takes at the server at the moment, in per cent of the usual
 *     time; 0 if unspecified or unusable
 * @param leaving whether the server states that it is leaving
 * @param retryAfterMillis time during which the server asks this gateway to send no further
 *     requests, in milliseconds; 0 if unspecified
 * @param rateStatement what the server states about the rate of requests that it takes from all
 *     gateways together
 * @param coldFigure how long the server states that it stays cold
 * @param keepAliveMillis time after which the server closes the connection if it stays idle, in
 *     milliseconds; -1 if unspecified
 */
public record ResponseMetadata(
    @Nullable String requestId,
    boolean signed,
    boolean notRun,
    int runningRequests,
    int waitingRequests,
    int momentaryPercent,
    boolean leaving,
    long retryAfterMillis,
    RateStatement rateStatement,
    ColdFigure coldFigure,
    long keepAliveMillis) {}
