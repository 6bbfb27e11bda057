package org.shallothold.gateway.forward.port;

import org.jspecify.annotations.Nullable;

/**
 * What the gateway tells a backend server beside the caller's own request.
 *
 * @param serverId the server that is meant; any other rejects the request
 * @param deadlineMillis time left, in milliseconds
 * @param urgencyLevel place among the request's ranks, 0 is the most urgent
 * @param customer name of the caller's customer; null if it has none
 * @param resumeAfter last event that the caller has; -1 for a run from the start
 * @param cacheSource address of an engine that caches more of the prompt; null to read it
 */
public record SendFacts(
    String serverId,
    long deadlineMillis,
    int urgencyLevel,
    @Nullable String customer,
    long resumeAfter,
    @Nullable String cacheSource) {}
