package org.shallothold.core.routing;

/**
 * What a gateway knows of one backend server when it chooses.
 *
 * @param serverId id of the server
 * @param outstandingTokens tokens that this gateway still expects from the server
 * @param outstandingRequests requests of this gateway at the server
 * @param reportedRunning running requests by the sidecar's latest report
 * @param reportedWaiting waiting requests by the sidecar's latest report
 * @param reportAgeMillis age of that report, in milliseconds
 * @param engineRunning running requests by the engine's own lagging report; -1 if there is none
 * @param maxRunning requests that may run at once
 * @param tokenIntervalMicros smoothed time between tokens, in microseconds; 0 if not measured
 * @param prefixCached whether the server probably caches the request's prefix
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
