package org.shallothold.gateway.forward;

import java.net.InetSocketAddress;
import java.util.List;
import org.jspecify.annotations.Nullable;

/**
 * Settings of a gateway that forwards requests directly to backend servers.
 *
 * @param processId name of the process in logs and in peer updates
 * @param failureDomain failure domain of the gateway's VM
 * @param callerAddress address on which callers connect
 * @param readinessAddress address of the readiness endpoint, which the platform polls before it
 *     sends callers to this gateway
 * @param readinessPath path of the readiness endpoint
 * @param peerAddress address on which other gateways connect; null if the gateway has no peers
 * @param metricsAddress address of the metrics endpoint; null if metrics aren't served
 * @param seedAddresses addresses of gateways to connect to at the start; some may be out of date
 * @param retryLimit limit of retries that all gateways share
 * @param shutdownTimeoutMillis time from SIGTERM until the process is killed, in milliseconds
 * @param limitsStartingServers whether servers that start or recover get their usual load step by
 *     step
 * @param bufferBytes memory for all buffered requests and responses together, in bytes
 */
public record ForwardOptions(
    String processId,
    String failureDomain,
    InetSocketAddress callerAddress,
    InetSocketAddress readinessAddress,
    String readinessPath,
    @Nullable InetSocketAddress peerAddress,
    @Nullable InetSocketAddress metricsAddress,
    List<InetSocketAddress> seedAddresses,
    RetryLimit retryLimit,
    long shutdownTimeoutMillis,
    boolean limitsStartingServers,
    long bufferBytes) {

  // The rest of the heap holds the routing state, and the copies made while buffers grow.
  private static final long HEAP_PER_BUFFER_BYTE = 4;

  /**
   * Returns the memory that a process may use for buffers.
   *
   * @param maxHeapBytes size to which the process's heap may grow, in bytes
   */
  public static long bufferBytes(long maxHeapBytes) {
    return maxHeapBytes / HEAP_PER_BUFFER_BYTE;
  }

  /**
   * Limit of the retries that all gateways together may send to one service.
   *
   * @param retriesPerRequest retries allowed per request that arrives in the window
   * @param extraRetriesPerWindow retries allowed per window in addition, shared by all gateways
   * @param windowMillis length of the sliding window, in milliseconds
   */
  public record RetryLimit(
      double retriesPerRequest, double extraRetriesPerWindow, long windowMillis) {}
}
