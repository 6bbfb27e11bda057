package org.shallothold.gateway.forward.port;

import org.jspecify.annotations.Nullable;

/**
 * What the head of a backend server's answer says.
 *
 * @param requestId the request that it answers; null if not told
 * @param signed whether the server vouches for the answer
 * @param notRun whether the server says that it did not run the request
 * @param running requests running at the server; -1 if not told
 * @param waiting requests waiting at the server; -1 if not told
 * @param leaving whether the server says that it leaves
 * @param closedMillis for how long the server wants nothing more from this gateway; 0 if it didn't
 *     say
 * @param idleMillis how long the server keeps the connection idle; -1 if not told
 */
public record AnswerFacts(
    @Nullable String requestId,
    boolean signed,
    boolean notRun,
    int running,
    int waiting,
    boolean leaving,
    long closedMillis,
    long idleMillis) {}
