package org.shallothold.core.route;

/**
 * What a caller may send and how long it may take.
 *
 * @param maxHeaderBytes largest request head, in bytes
 * @param maxBodyBytes largest body, in bytes
 * @param headerTimeoutMillis time to send the whole request head, in milliseconds
 * @param idleTimeoutMillis time that a connection may stay without a request, in milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Limits in force until a configuration is known. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
