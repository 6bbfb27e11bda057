package org.shallothold.core.publish;

/**
 * How a copy of a topic took over the items of a platform that was restored. Immutable.
 *
 * @param from position up to which the copy was complete before
 * @param to position up to which it is complete now
 * @param missing items that the restored platform lacks and that are kept for now
 * @param outdated items that the restored platform has gone back to and that aren't used for now
 * @param changed items that were published since
 */
public record Restore(
    PublishedPosition from, PublishedPosition to, int missing, int outdated, int changed) {}
