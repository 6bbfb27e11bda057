package org.shallothold.core.placement;

/**
 * Timings of the engines of one service as measured by one gateway and sent to its peers.
 *
 * @param millisPerPrefillToken prefill time for each prompt token, in milliseconds
 * @param millisPerMillionPairs additional prefill time for each million pairs of a token with an
 *     earlier one, in milliseconds
 * @param prefillSamples number of first events that the prefill times are estimated from
 * @param decodeStepMillis time of a decode step, which produces one token for each running stream,
 *     in milliseconds
 * @param decodeStepSamples number of inter-event gaps that the decode step time is estimated from
 * @param prefillPauseMillis inter-event gap of a stream whose engine prefills without interruption,
 *     in milliseconds
 * @param prefillPauseSamples number of inter-event gaps that the prefill pause is estimated from
 */
public record EngineEstimate(
    double millisPerPrefillToken,
    double millisPerMillionPairs,
    int prefillSamples,
    double decodeStepMillis,
    int decodeStepSamples,
    double prefillPauseMillis,
    int prefillPauseSamples) {}
