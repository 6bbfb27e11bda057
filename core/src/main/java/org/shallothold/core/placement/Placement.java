package org.shallothold.core.placement;

import org.jspecify.annotations.Nullable;

/**
 * Choice of a server for a request.
 *
 * @param server the chosen server
 * @param prefillMillis estimated time to prefill the uncached part of the prompt there, in
 *     milliseconds, including a transfer of cached parts; 0 for plain services
 * @param expectedMillis estimated time to the first event or the whole answer, in milliseconds
 * @param backlogMillis estimated time until the server starts to prefill the prompt, in
 *     milliseconds
 * @param cachedTokens tokens of the prompt that are probably cached there or transferred to it
 * @param cacheSource engine from which the server fetches cached parts that it lacks; null if it
 *     prefills them
 * @param pauseSensitive whether prefills at the server can break the stream's pause target
 * @param pauseBacklogLimitMillis prefill backlog of the server up to which the prompt breaks no
 *     pause target, in milliseconds; negative if the prompt alone breaks one, {@link
 *     #NO_BACKLOG_LIMIT} if no target is at risk
 * @param speedFactor ratio of the time that work takes at the server now to its usual time; the
 *     prefill time is at the usual speed, the other times are at the server's own speed
 */
public record Placement(
    TrackedServer server,
    double prefillMillis,
    double expectedMillis,
    double backlogMillis,
    int cachedTokens,
    @Nullable TrackedServer cacheSource,
    boolean pauseSensitive,
    double pauseBacklogLimitMillis,
    double speedFactor) {

  /** Backlog limit of a placement where no pause target is at risk. */
  public static final double NO_BACKLOG_LIMIT = Double.POSITIVE_INFINITY;

  /**
   * Returns a placement at a server of a plain service, whose whole answers have no inter-event
   * gaps.
   */
  public static Placement forPlainService(TrackedServer server, double expectedMillis) {
    return new Placement(server, 0, expectedMillis, 0, 0, null, false, NO_BACKLOG_LIMIT, 1);
  }
}
