package org.shallothold.core.rate;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Predicate;

/**
 * Issues the permits for requests to backend servers that state a rate limit. Each server has one
 * coordinator among the gateways, and only its issuer issues permits for the server, one for each
 * request. A permit goes to the gateway that asks next, so that the rate follows the demand of each
 * gateway, and a token bucket bounds what is issued, whatever the number of gateways. Owned by one
 * thread.
 */
public final class PermitIssuer {

  /**
   * Fraction of a stated rate that is issued. The rest covers requests that arrive closer together
   * than their permits were issued, and the short time for which two gateways can both be the
   * coordinator.
   */
  static final double USABLE_FRACTION = 0.9;

  /**
   * Rate for a server that states a lower one, in requests per second. Without any requests there
   * would be no response that could end the limit.
   */
  static final double MIN_REQUESTS_PER_SECOND = 0.2;

  // Seconds of the rate that a bucket holds beyond one permit.
  private static final double BURST_SECONDS = 0.1;
  private static final double MILLIS_PER_SECOND = 1_000;

  private final Map<String, Bucket> bucketsByServer = new HashMap<>();
  private long issuesFromMillis = Long.MIN_VALUE / 2;

  private PermitIssuer() {}

  /** Returns an issuer that has issued nothing. */
  public static PermitIssuer create() {
    return new PermitIssuer();
  }

  /** Token bucket of one instance of a server; empty at first, since others may have issued. */
  private static final class Bucket {
    private final long instanceStartMillis;
    private double available;
    private long refilledMillis;

    private Bucket(long instanceStartMillis, long refilledMillis) {
      this.instanceStartMillis = instanceStartMillis;
      this.refilledMillis = refilledMillis;
    }

    private void refill(double requestsPerSecond, long nowMillis) {
      double permitsPerSecond = USABLE_FRACTION * requestsPerSecond;
      double elapsedSeconds = Math.max(0, nowMillis - refilledMillis) / MILLIS_PER_SECOND;
      refilledMillis = Math.max(refilledMillis, nowMillis);
      available =
          Math.min(
              1 + permitsPerSecond * BURST_SECONDS, available + permitsPerSecond * elapsedSeconds);
    }
  }

  /**
   * Issues one permit for a server that states its rate, if there is one.
   *
   * @param instanceStartMillis start time of the server's instance
   * @param requestsPerSecond rate that all gateways together may use now; {@link
   *     RateObservation#NO_LIMIT} if the limit has ended, which issues any number
   * @return whether it was issued
   */
  public boolean tryIssue(
      String serverId, long instanceStartMillis, double requestsPerSecond, long nowMillis) {
    return tryIssueWithin(
        serverId,
        instanceStartMillis,
        Math.max(MIN_REQUESTS_PER_SECOND, requestsPerSecond),
        nowMillis);
  }

  /**
   * Issues one permit if there is one, also at a rate so low that there may be none for long: the
   * limit ends without a response of the server.
   *
   * @param instanceStartMillis start time of the server's instance
   * @param requestsPerSecond rate that all gateways together may use now; {@link
   *     RateObservation#NO_LIMIT} if the limit has ended, which issues any number
   * @return whether it was issued
   */
  public boolean tryIssueWithin(
      String serverId, long instanceStartMillis, double requestsPerSecond, long nowMillis) {
    if (requestsPerSecond == RateObservation.NO_LIMIT) {
      bucketsByServer.remove(serverId);
      return true;
    }
    Bucket bucket = bucketsByServer.get(serverId);
    if (bucket == null || bucket.instanceStartMillis < instanceStartMillis) {
      bucket = new Bucket(instanceStartMillis, Math.max(nowMillis, issuesFromMillis));
      bucketsByServer.put(serverId, bucket);
    }
    bucket.refill(requestsPerSecond, nowMillis);
    if (bucket.instanceStartMillis != instanceStartMillis || bucket.available < 1) {
      return false;
    }
    bucket.available -= 1;
    return true;
  }

  /**
   * Records that the set of gateways changed. Servers with another coordinator are dropped. Servers
   * that come to this gateway get permits only from the given time, when their former coordinator
   * knows of the change too.
   *
   * @param coordinated matches the ids of servers that this gateway coordinates
   */
  public void gatewaysChanged(Predicate<String> coordinated, long fromMillis) {
    retain(coordinated);
    issuesFromMillis = fromMillis;
  }

  /** Keeps the state of the given servers only. A server that comes back starts without permits. */
  public void retain(Predicate<String> servers) {
    bucketsByServer.keySet().removeIf(servers.negate());
  }
}
