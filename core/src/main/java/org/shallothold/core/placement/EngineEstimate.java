package org.shallothold.core.placement;

/**
 * What one gateway measured of the engines of a service, as told to its peers.
 *
 * @param tokenMillis time to read one prompt token, in milliseconds
 * @param pairMillis extra reading time for a million pairs of tokens, in milliseconds
 * @param readSamples first events that the reading times come from
 * @param stepMillis time to produce one token for every running stream
 * @param stepSamples pauses that it comes from
 * @param readingPauseMillis what reading without a break adds to the time between two events
 * @param pauseSamples pauses that it comes from
 */
public record EngineEstimate(
    double tokenMillis,
    double pairMillis,
    int readSamples,
    double stepMillis,
    int stepSamples,
    double readingPauseMillis,
    int pauseSamples) {}
