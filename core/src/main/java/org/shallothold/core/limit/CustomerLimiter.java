package org.shallothold.core.limit;

import java.util.HashMap;
import java.util.Map;

/**
 * Grants each customer this gateway's share of its limit: the limit divided by the number of live
 * gateways. Made once per gateway; owned by one thread. A new allowance starts empty, so that
 * restarts grant nothing on top of the limit.
 */
public final class CustomerLimiter {

  /** Requests that may come at once are this many seconds of the share, but at least one. */
  private static final double BURST_SECONDS = 1;

  private final Map<String, Allowance> allowances = new HashMap<>();
  private int gateways = 1;

  private CustomerLimiter() {}

  private static final class Allowance {
    private double perSecond;
    private double balance;
    private long refilledMillis;
  }

  /** Returns a limiter that knows no customer. */
  public static CustomerLimiter create() {
    return new CustomerLimiter();
  }

  /**
   * Replaces the limits; a known customer keeps what it has, up to its new burst.
   *
   * @param requestsPerSecond limit of each customer over all gateways
   */
  public void limits(Map<String, Double> requestsPerSecond, long nowMillis) {
    allowances.values().forEach(allowance -> refill(allowance, nowMillis));
    allowances.keySet().retainAll(requestsPerSecond.keySet());
    requestsPerSecond.forEach(
        (customer, limit) -> {
          Allowance allowance = allowances.computeIfAbsent(customer, name -> startEmpty(nowMillis));
          allowance.perSecond = limit;
          allowance.balance = Math.min(allowance.balance, burst(allowance));
        });
  }

  /** Sets the number of live gateways, at least 1. */
  public void gateways(int live, long nowMillis) {
    allowances.values().forEach(allowance -> refill(allowance, nowMillis));
    gateways = Math.max(1, live);
  }

  /**
   * Takes one request from a customer's allowance.
   *
   * @return 0 if granted; else the milliseconds until the next request would be granted
   */
  public long tryAcquire(String customer, long nowMillis) {
    Allowance allowance = allowances.get(customer);
    if (allowance == null) {
      return 1_000;
    }
    refill(allowance, nowMillis);
    if (allowance.balance >= 1) {
      allowance.balance -= 1;
      return 0;
    }
    return Math.max(1, (long) Math.ceil((1 - allowance.balance) * 1_000 / share(allowance)));
  }

  private void refill(Allowance allowance, long nowMillis) {
    long elapsed = Math.max(0, nowMillis - allowance.refilledMillis);
    allowance.refilledMillis = Math.max(nowMillis, allowance.refilledMillis);
    allowance.balance =
        Math.min(burst(allowance), allowance.balance + share(allowance) * elapsed / 1_000);
  }

  private double share(Allowance allowance) {
    return allowance.perSecond / gateways;
  }

  private double burst(Allowance allowance) {
    return Math.max(1, share(allowance) * BURST_SECONDS);
  }

  private static Allowance startEmpty(long nowMillis) {
    Allowance allowance = new Allowance();
    allowance.refilledMillis = nowMillis;
    return allowance;
  }
}
