package org.shallothold.core.route;

/**
 * Limits on the size of requests and on the time that callers may take to send them.
 *
 * @param maxHeaderBytes maximum size of the request line and headers, in bytes
 * @param maxBodyBytes maximum size of the request body, in bytes
 * @param headerTimeoutMillis time limit for sending the complete request head, in milliseconds
 * @param idleTimeoutMillis time after which a connection without a request is closed, in
 *     milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes, int maxBodyBytes, long headerTimeoutMillis, long idleTimeoutMillis) {

  /** Limits in force until the first configuration is read: 16 KiB, 4 MiB, 3 s and 15 s. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, 4 * 1024 * 1024, 3_000, 15_000);
}
