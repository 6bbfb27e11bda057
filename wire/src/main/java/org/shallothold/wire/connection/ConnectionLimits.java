package org.shallothold.wire.connection;

/**
 * Frame size limit and timeouts of a connection.
 *
 * @param maxFrameBytes largest serialized envelope that is accepted, without its length prefix, in
 *     bytes
 * @param heartbeatMillis time without outgoing data after which a heartbeat is sent, in
 *     milliseconds
 * @param silenceMillis time without incoming data after which the connection is closed, in
 *     milliseconds
 * @param connectMillis timeout of a connection attempt, in milliseconds
 */
public record ConnectionLimits(
    int maxFrameBytes, int heartbeatMillis, int silenceMillis, int connectMillis) {

  /**
   * Frames of up to 8 MiB, a heartbeat every second, and a connect timeout of two seconds. The
   * connection closes after three missed heartbeats.
   */
  public static final ConnectionLimits DEFAULT =
      new ConnectionLimits(8 * 1024 * 1024, 1_000, 3_500, 2_000);
}
