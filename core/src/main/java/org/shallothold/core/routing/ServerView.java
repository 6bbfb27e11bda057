package org.shallothold.core.routing;

/**
 * Load and speed of a backend server, as known to a gateway when it selects a server.
 *
 * @param serverId id of the server
 * @param outstandingTokens tokens that this gateway still expects from the server for its requests
 * @param outstandingRequests requests of this gateway in flight at the server
 * @param reportedRunning running requests according to the sidecar's latest report
 * @param reportedWaiting waiting requests according to the sidecar's latest report
 * @param reportAgeMillis age of the sidecar's latest report, in milliseconds
 * @param engineRunning running requests according to the engine's own, delayed report; -1 if there
 *     is none
 * @param maxRunning maximum number of requests that run at the same time
 * @param tokenIntervalMicros smoothed time between tokens, in microseconds; 0 if not measured
 * @param prefixCached whether the server probably has the request's prompt prefix in its cache
 */
public record ServerView(
    String serverId,
    long outstandingTokens,
    int outstandingRequests,
    int reportedRunning,
    int reportedWaiting,
    long reportAgeMillis,
    int engineRunning,
    int maxRunning,
    long tokenIntervalMicros,
    boolean prefixCached) {}
