package org.shallothold.gateway.http;

import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.gateway.request.RequestMetrics;

/**
 * What bounds the heads of requests on all connections.
 *
 * @param maxHeaderLines largest number of header lines of a request
 * @param memory memory that the heads of all requests share
 * @param shortageLog logs when the memory is used up
 * @param metrics counts refused requests
 */
record HeadLimits(
    int maxHeaderLines,
    RequestMemoryBudget memory,
    ShortageLog shortageLog,
    RequestMetrics metrics) {}
