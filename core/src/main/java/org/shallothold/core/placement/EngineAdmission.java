package org.shallothold.core.placement;

/**
 * Decides whether a request goes to its engine now, waits in the gateway or is refused. An engine
 * that is given all prompts at once reads them without a break, and its running streams get one
 * token for each chunk that it reads: long answers then miss their deadlines. So an engine gets the
 * next prompt when it has little left to read, and requests wait where their order can still be
 * changed. Stateless.
 */
public final class EngineAdmission {

  // Reading left at an engine at which it may get another prompt. Long enough that it is not idle
  // until news of its progress arrives, and short enough that urgent prompts find room.
  private static final double BACKLOG_MILLIS = 100;
  private static final double URGENT_BACKLOG_MILLIS = 220;
  // A request that is late already yields to those that can be on time.
  private static final double LATE_BACKLOG_MILLIS = 40;
  // The rest of the way between the engine's estimate and the caller.
  private static final double SLACK_MILLIS = 30;
  // Callers give a stream up after a silence of this many latency targets or pause targets.
  private static final long PATIENCE_TARGETS = 4;
  private static final long PATIENCE_PAUSES = 8;
  private static final long MIN_PATIENCE_MILLIS = 2_000;
  // Part of a caller's patience that an urgent request may wait; the engine needs the rest. After
  // that it is refused: sent to engines that have too much to read, it would break off the streams
  // that run there.
  private static final double WAIT_PART = 0.5;
  private static final long MIN_RETRY_MILLIS = 300;
  // Callers honour a pause up to a third of the time that they have left.
  private static final double RETRY_PART = 0.3;

  private EngineAdmission() {}

  /**
   * A request that asks for an engine.
   *
   * @param work what it asks for
   * @param waitedMillis time since its arrival
   * @param leftMillis time until its deadline
   * @param begun whether an earlier run of it broke off, so that it can't be refused any more
   */
  public record Applicant(Work work, long waitedMillis, long leftMillis, boolean begun) {

    /** Returns whether its first event can still be on time, after the given delay. */
    boolean canBeOnTime(double expectedMillis) {
      return waitedMillis + expectedMillis + SLACK_MILLIS <= work.latencyTargetMillis();
    }

    private double longestWaitMillis() {
      long patience =
          Math.max(
              MIN_PATIENCE_MILLIS,
              Math.max(
                  PATIENCE_TARGETS * work.latencyTargetMillis(),
                  PATIENCE_PAUSES * work.pauseTargetMillis()));
      return WAIT_PART * Math.min(patience, waitedMillis + leftMillis);
    }
  }

  /**
   * Returns the decision.
   *
   * @param placement the best engine for it now
   * @param aheadMillis reading that waits in the gateway ahead of it, shared out over the engines
   * @param urgent whether less urgent requests are sent to the same engines, so that it isn't
   *     refused while its caller's patience lasts
   */
  public static AdmissionDecision decide(
      Applicant applicant, Placement placement, double aheadMillis, boolean urgent) {
    if (applicant.begun()) {
      return new AdmissionDecision.Send();
    }
    boolean onTime = applicant.canBeOnTime(placement.expectedMillis());
    double allowed = onTime ? backlogInTime(placement, urgent) : LATE_BACKLOG_MILLIS;
    if (placement.backlogMillis() <= allowed) {
      return new AdmissionDecision.Send();
    }
    double expectedWait = aheadMillis + placement.backlogMillis() - allowed;
    if (applicant.canBeOnTime(expectedWait + placement.readMillis())) {
      return new AdmissionDecision.Wait();
    }
    if (urgent && applicant.waitedMillis() < applicant.longestWaitMillis()) {
      return new AdmissionDecision.Wait();
    }
    double ceiling = Math.max(MIN_RETRY_MILLIS, applicant.leftMillis() * RETRY_PART);
    return new AdmissionDecision.Refuse((long) Math.clamp(expectedWait, MIN_RETRY_MILLIS, ceiling));
  }

  private static double backlogInTime(Placement placement, boolean urgent) {
    double allowed = urgent ? URGENT_BACKLOG_MILLIS : BACKLOG_MILLIS;
    return Math.max(LATE_BACKLOG_MILLIS, Math.min(allowed, placement.pauseRoomMillis()));
  }
}
