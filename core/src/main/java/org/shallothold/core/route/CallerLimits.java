package org.shallothold.core.route;

/**
 * Limits on the size of requests and on the time that callers may take to send them.
 *
 * @param maxHeaderBytes maximum size of the request line and headers, in bytes
 * @param maxHeaderLines maximum number of header lines, and of trailer lines
 * @param maxBodyBytes maximum size of the request body, in bytes
 * @param headerTimeoutMillis time limit for sending the complete request head, in milliseconds
 * @param idleTimeoutMillis time after which a connection without a request is closed, in
 *     milliseconds
 */
public record CallerLimits(
    int maxHeaderBytes,
    int maxHeaderLines,
    int maxBodyBytes,
    long headerTimeoutMillis,
    long idleTimeoutMillis) {

  // A name of one character, a colon and the line end.
  private static final int MIN_LINE_BYTES = 4;

  /** Limits in force until the first configuration is read: 16 KiB, 4 MiB, 3 s and 15 s. */
  public static final CallerLimits DEFAULT =
      new CallerLimits(16 * 1024, mostLines(16 * 1024), 4 * 1024 * 1024, 3_000, 15_000);

  /** Returns the number of lines that a request within a limit of bytes can't exceed. */
  public static int mostLines(int headerBytes) {
    return Math.max(1, headerBytes / MIN_LINE_BYTES);
  }
}
