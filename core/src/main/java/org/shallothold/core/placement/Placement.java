package org.shallothold.core.placement;

import org.jspecify.annotations.Nullable;

/**
 * Choice of a server.
 *
 * @param server the chosen server
 * @param readMillis estimated time to read the part of the prompt that isn't cached there
 * @param expectedMillis estimated time to the first event or the answer, in milliseconds
 * @param backlogMillis estimated time until the server begins to read the prompt
 * @param cachedTokens tokens of the prompt that are probably cached there
 * @param cacheSource engine from which the server is to get cached parts that it lacks; null to
 *     read them
 * @param tight whether reading at the server can break the stream's pause target
 * @param pauseRoomMillis backlog up to which the pause target of a tight stream holds; {@link
 *     #NO_PAUSE_LIMIT} for others
 */
public record Placement(
    ServerModel server,
    double readMillis,
    double expectedMillis,
    double backlogMillis,
    int cachedTokens,
    @Nullable ServerModel cacheSource,
    boolean tight,
    double pauseRoomMillis) {

  /** No backlog breaks a pause target. */
  public static final double NO_PAUSE_LIMIT = Double.POSITIVE_INFINITY;

  /** Returns a choice of a server whose answers have no pauses that reading could break. */
  public static Placement ofWholeAnswer(ServerModel server, double expectedMillis) {
    return new Placement(server, 0, expectedMillis, 0, 0, null, false, NO_PAUSE_LIMIT);
  }
}
