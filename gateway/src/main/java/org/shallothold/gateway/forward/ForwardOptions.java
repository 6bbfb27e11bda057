package org.shallothold.gateway.forward;

import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a gateway on the direct path.
 *
 * @param processId name of the process in logs and in peers' news
 * @param failureDomain failure domain of its VM
 * @param callers address for callers
 * @param readiness address on which the platform asks whether the gateway takes callers
 * @param readinessPath path of that question
 * @param peers address for other gateways; null if it takes none
 * @param metrics address for metrics; null if they aren't served
 * @param seeds addresses of gateways to get in touch with; they may be out of date
 * @param budget limit of repeats that all gateways share
 * @param shutdownMillis time from SIGTERM until the process is killed, in milliseconds
 */
public record ForwardOptions(
    String processId,
    String failureDomain,
    InetSocketAddress callers,
    InetSocketAddress readiness,
    String readinessPath,
    @Nullable InetSocketAddress peers,
    @Nullable InetSocketAddress metrics,
    List<InetSocketAddress> seeds,
    RepeatLimit budget,
    long shutdownMillis) {

  /**
   * Repeats that all gateways together may send to one service.
   *
   * @param ratio repeats per request
   * @param allowance repeats per window beyond the ratio
   * @param windowMillis length of the window, in milliseconds
   */
  public record RepeatLimit(double ratio, double allowance, long windowMillis) {}
}
