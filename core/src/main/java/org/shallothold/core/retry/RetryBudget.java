package org.shallothold.core.retry;

/**
 * Limits retries and resumes to a percentage of the requests, to prevent a retry storm, plus a
 * small constant rate, so that a gateway with few requests can retry too. One instance per gateway;
 * owned by one thread.
 */
public final class RetryBudget {

  // Large enough that the loss of one server with a few tens of running requests does not exhaust
  // the budget.
  private static final double MAX_BALANCE_RETRIES = 100;
  private static final double INITIAL_FLOOR_SECONDS = 10;

  private final double retriesPerRequest;
  private final double floorPerSecond;
  private double balance;
  private long lastRefillMillis;

  private RetryBudget(double retriesPerRequest, double floorPerSecond, long nowMillis) {
    this.retriesPerRequest = retriesPerRequest;
    this.floorPerSecond = floorPerSecond;
    this.balance = floorPerSecond * INITIAL_FLOOR_SECONDS;
    this.lastRefillMillis = nowMillis;
  }

  /**
   * Returns a budget that holds ten seconds of the constant rate.
   *
   * @param percent retries per 100 requests
   * @param floorPerSecond retries per second allowed regardless of the rate of requests
   * @param nowMillis current time on a monotonic clock, in milliseconds
   */
  public static RetryBudget of(double percent, double floorPerSecond, long nowMillis) {
    return new RetryBudget(percent / 100, floorPerSecond, nowMillis);
  }

  /** Adds the share of one new request of a caller. */
  public void requestArrived() {
    balance = Math.min(MAX_BALANCE_RETRIES, balance + retriesPerRequest);
  }

  /** Withdraws one retry from the budget; returns false if less than one is left. */
  public boolean tryWithdraw(long nowMillis) {
    long elapsedMillis = Math.max(0, nowMillis - lastRefillMillis);
    lastRefillMillis = nowMillis;
    balance = Math.min(MAX_BALANCE_RETRIES, balance + floorPerSecond * elapsedMillis / 1_000);
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  /**
   * Returns the retries left, without those added by the constant rate since the last withdrawal.
   */
  public double balance() {
    return balance;
  }
}
