package org.shallothold.core.placement;

/**
 * Choice of a server.
 *
 * @param server the chosen server
 * @param readMillis estimated time to read the part of the prompt that isn't cached there
 * @param expectedMillis estimated time to the first event or the answer, in milliseconds
 * @param backlogMillis estimated time until the server begins to read the prompt
 * @param cachedTokens tokens of the prompt that are probably cached there
 */
public record Placement(
    ServerModel server,
    double readMillis,
    double expectedMillis,
    double backlogMillis,
    int cachedTokens) {}
