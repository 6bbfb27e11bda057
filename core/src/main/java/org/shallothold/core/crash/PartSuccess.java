package org.shallothold.core.crash;

/**
 * An answer that an engine was writing for some time, which shows that a prompt part of its request
 * does not end engines. Immutable.
 *
 * @param partId id of the part
 * @param millis time of the answer, by this gateway's monotonic clock
 */
public record PartSuccess(long partId, long millis) {}
