package org.shallothold.core.retry;

/**
 * Bounds retries and resumes to a share of the requests, so that they can't feed a retry storm,
 * plus a small rate that lets a quiet gateway retry. Made once per gateway; owned by one thread.
 */
public final class RetryBudget {

  // The loss of one server with a few tens of running requests should not exhaust the budget.
  private static final double MAX_BALANCE = 100;
  private static final double FLOOR_SECONDS_AT_START = 10;

  private final double perRequest;
  private final double floorPerSecond;
  private double balance;
  private long refilledMillis;

  private RetryBudget(double perRequest, double floorPerSecond, long nowMillis) {
    this.perRequest = perRequest;
    this.floorPerSecond = floorPerSecond;
    this.balance = floorPerSecond * FLOOR_SECONDS_AT_START;
    this.refilledMillis = nowMillis;
  }

  /**
   * Returns a budget that holds ten seconds of its floor.
   *
   * @param percent retries per 100 requests
   * @param floorPerSecond retries per second allowed at any rate of requests
   * @param nowMillis current time on any steady clock, in milliseconds
   */
  public static RetryBudget of(double percent, double floorPerSecond, long nowMillis) {
    return new RetryBudget(percent / 100, floorPerSecond, nowMillis);
  }

  /** Notes a new request of a caller. */
  public void requestArrived() {
    balance = Math.min(MAX_BALANCE, balance + perRequest);
  }

  /** Takes one retry from the budget; returns false if there is none left. */
  public boolean tryWithdraw(long nowMillis) {
    long elapsed = Math.max(0, nowMillis - refilledMillis);
    refilledMillis = nowMillis;
    balance = Math.min(MAX_BALANCE, balance + floorPerSecond * elapsed / 1_000);
    if (balance < 1) {
      return false;
    }
    balance -= 1;
    return true;
  }

  /** Returns the retries left, without what the floor added since the last withdrawal. */
  public double balance() {
    return balance;
  }
}
