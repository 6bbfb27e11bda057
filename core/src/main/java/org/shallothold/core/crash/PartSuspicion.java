package org.shallothold.core.crash;

/**
 * A prompt part of a request that an engine had hardly begun to answer when the engine ended.
 * Immutable.
 *
 * @param partId id of the part
 * @param serverId id of the engine that ended
 * @param crashMillis time of the end, by this gateway's monotonic clock
 * @param sentMillis latest time at which a request with the part was sent to that engine
 */
public record PartSuspicion(long partId, String serverId, long crashMillis, long sentMillis) {}
