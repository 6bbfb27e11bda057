package org.shallothold.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Rate limiter with a token bucket for each customer, filled at this gateway's share of the limit:
 * the limit divided by the number of live gateways. A new bucket starts empty, so that restarts
 * grant nothing beyond the limit. One instance per gateway; owned by one thread.
 */
public final class CustomerLimiter {

  /** Size of a bucket, in seconds of the share; it holds at least one request. */
  private static final double BURST_SECONDS = 1;

  private final Map<String, Bucket> buckets = new HashMap<>();
  private int gatewayCount = 1;

  private CustomerLimiter() {}

  private static final class Bucket {
    private double requestsPerSecond;
    private double availableRequests;
    private long lastRefillMillis;
  }

  /** Returns a limiter without customers. */
  public static CustomerLimiter create() {
    return new CustomerLimiter();
  }

  /**
   * Replaces the limits. A customer that had a limit keeps the content of its bucket, up to the new
   * size.
   *
   * @param requestsPerSecond limits over all gateways, by customer
   */
  public void setLimits(Map<String, Double> requestsPerSecond, long nowMillis) {
    buckets.values().forEach(bucket -> refill(bucket, nowMillis));
    buckets.keySet().retainAll(requestsPerSecond.keySet());
    requestsPerSecond.forEach(
        (customer, limit) -> {
          Bucket bucket = buckets.computeIfAbsent(customer, name -> emptyBucket(nowMillis));
          bucket.requestsPerSecond = limit;
          bucket.availableRequests = Math.min(bucket.availableRequests, capacity(bucket));
        });
  }

  /** Sets the number of live gateways; a number below 1 counts as 1. */
  public void setGatewayCount(int liveGateways, long nowMillis) {
    buckets.values().forEach(bucket -> refill(bucket, nowMillis));
    gatewayCount = Math.max(1, liveGateways);
  }

  /**
   * Withdraws one request from the bucket of a customer.
   *
   * @return 0 if granted; otherwise the time until the next request would be granted, in
   *     milliseconds; 1000 for a customer without a limit, which is never granted
   */
  public long tryAcquire(String customer, long nowMillis) {
    Bucket bucket = buckets.get(customer);
    if (bucket == null) {
      return 1_000;
    }
    refill(bucket, nowMillis);
    if (bucket.availableRequests >= 1) {
      bucket.availableRequests -= 1;
      return 0;
    }
    return Math.max(
        1, (long) Math.ceil((1 - bucket.availableRequests) * 1_000 / sharePerSecond(bucket)));
  }

  private void refill(Bucket bucket, long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - bucket.lastRefillMillis);
    bucket.lastRefillMillis = Math.max(nowMillis, bucket.lastRefillMillis);
    bucket.availableRequests =
        Math.min(
            capacity(bucket),
            bucket.availableRequests + sharePerSecond(bucket) * elapsedMillis / 1_000);
  }

  private double sharePerSecond(Bucket bucket) {
    return bucket.requestsPerSecond / gatewayCount;
  }

  private double capacity(Bucket bucket) {
    return Math.max(1, sharePerSecond(bucket) * BURST_SECONDS);
  }

  private static Bucket emptyBucket(long nowMillis) {
    Bucket bucket = new Bucket();
    bucket.lastRefillMillis = nowMillis;
    return bucket;
  }
}
