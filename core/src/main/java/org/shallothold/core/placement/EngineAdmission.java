package org.shallothold.core.placement;

import java.util.Optional;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Decides whether a request is sent to its engine, waits in the gateway or is refused.
 *
 * <p>An engine that receives all prompts at once prefills them without interruption. Its running
 * streams then get one token per prefill chunk, and long answers miss their deadlines. An engine
 * therefore receives the next prompt only when its prefill backlog is short, and other requests
 * wait in the gateway, where they can still be reordered. Stateless.
 */
public final class EngineAdmission {

  // Prefill backlog up to which an engine receives another prompt. Large enough that the engine
  // does not idle until the gateway learns of its progress, and small enough that an urgent prompt
  // can still be sent.
  private static final double MAX_BACKLOG_MILLIS = 100;
  private static final double MAX_URGENT_BACKLOG_MILLIS = 220;
  // Limit for requests that will miss their latency target anyway: they yield to requests that can
  // meet theirs.
  private static final double MAX_OVERDUE_BACKLOG_MILLIS = 40;
  // Allowance for the delay between the engine's first event and its arrival at the caller, which
  // the estimate of the engine does not cover.
  private static final double DELIVERY_MILLIS = 30;
  // Callers abandon a stream after a silence of this many latency targets or pause targets.
  private static final long ABANDON_LATENCY_TARGETS = 4;
  private static final long ABANDON_PAUSE_TARGETS = 8;
  private static final long MIN_ABANDON_MILLIS = 2_000;
  // Fraction of the time until the caller abandons the request that an urgent request may wait; the
  // engine needs the rest. After that the request is refused: sent to engines with too long a
  // backlog, it would make the streams that run there break off.
  private static final double MAX_WAIT_FRACTION = 0.5;
  private static final long MIN_RETRY_AFTER_MILLIS = 300;
  // Callers wait for at most a third of their remaining time before they retry.
  private static final double MAX_RETRY_AFTER_FRACTION = 0.3;

  private EngineAdmission() {}

  /**
   * A request that waits for admission.
   *
   * @param profile properties of the request
   * @param waitedMillis time since its arrival, in milliseconds
   * @param remainingMillis time until its deadline, in milliseconds
   * @param previouslyStarted whether an earlier run of it broke off; such a request can't be
   *     refused any more
   * @param decodeMillis expected time for the decode steps of its output if the engine takes no
   *     others, in milliseconds; {@link #ANY_DECODE_TIME} if it is to be sent whether or not it can
   *     finish
   */
  public record AdmissionRequest(
      RequestProfile profile,
      long waitedMillis,
      long remainingMillis,
      boolean previouslyStarted,
      double decodeMillis) {

    /** Decode time of a request of a service whose streams aren't protected. */
    public static final double ANY_DECODE_TIME = 0;

    /**
     * Returns whether the first event can meet the latency target if the engine sends it after the
     * given delay.
     */
    boolean canMeetLatencyTarget(double delayMillis) {
      return waitedMillis + delayMillis + DELIVERY_MILLIS <= profile.latencyTargetMillis();
    }

    private boolean mustFinish() {
      return decodeMillis > ANY_DECODE_TIME;
    }

    /**
     * Returns whether it can finish before its deadline if the engine sends the first event after
     * the given delay and then spends the given share of its time on decode steps.
     */
    private boolean canFinish(double delayMillis, double decodeShare) {
      return !mustFinish()
          || delayMillis + decodeMillis / decodeShare + DELIVERY_MILLIS <= remainingMillis;
    }

    /** Returns how long an urgent request may wait in the gateway before it is refused. */
    private double maxWaitMillis() {
      long abandonMillis =
          Math.max(
              MIN_ABANDON_MILLIS,
              Math.max(
                  ABANDON_LATENCY_TARGETS * profile.latencyTargetMillis(),
                  ABANDON_PAUSE_TARGETS * profile.pauseTargetMillis()));
      return MAX_WAIT_FRACTION * Math.min(abandonMillis, waitedMillis + remainingMillis);
    }
  }

  /**
   * Returns the decision for a request.
   *
   * @param request the request
   * @param placement the best engine for the request now
   * @param queuedAheadMillis prefill time of the requests that wait in the gateway ahead of this
   *     one, divided by the number of engines
   * @param urgent whether less urgent requests are sent to the same engines; an urgent request that
   *     can't meet its latency target waits for a part of the time until its caller abandons it,
   *     instead of being refused at once
   */
  public static AdmissionDecision decide(
      AdmissionRequest request, Placement placement, double queuedAheadMillis, boolean urgent) {
    if (request.previouslyStarted()) {
      return new AdmissionDecision.Send();
    }
    boolean onTime = request.canMeetLatencyTarget(placement.expectedMillis());
    double allowedBacklogMillis =
        onTime ? allowedBacklogMillis(placement, urgent) : MAX_OVERDUE_BACKLOG_MILLIS;
    if (placement.backlogMillis() <= MAX_OVERDUE_BACKLOG_MILLIS) {
      // The engine is hardly busy. Should the output be shorter than expected, it still finishes.
      return new AdmissionDecision.Send();
    }
    if (!request.canFinish(placement.expectedMillis(), PrefillPace.MAX_DECODE_SHARE)) {
      return waitForAnIdlerEngine(request, placement, queuedAheadMillis);
    }
    if (placement.backlogMillis() <= allowedBacklogMillis) {
      return new AdmissionDecision.Send();
    }
    double expectedWaitMillis =
        (queuedAheadMillis + placement.backlogMillis() - allowedBacklogMillis)
            * (PrefillPace.MAX_SHARE / placement.server().prefillShare());
    if (request.mustFinish()) {
      return waitWhileItCanFinish(request, placement, expectedWaitMillis, urgent);
    }
    if (request.canMeetLatencyTarget(
        expectedWaitMillis + placement.prefillMillis() * placement.speedFactor())) {
      return new AdmissionDecision.Wait();
    }
    if (urgent && request.waitedMillis() < request.maxWaitMillis()) {
      return new AdmissionDecision.Wait();
    }
    double maxRetryAfterMillis =
        Math.max(MIN_RETRY_AFTER_MILLIS, request.remainingMillis() * MAX_RETRY_AFTER_FRACTION);
    return new AdmissionDecision.Refuse(
        (long) Math.clamp(expectedWaitMillis, MIN_RETRY_AFTER_MILLIS, maxRetryAfterMillis));
  }

  /**
   * Returns the refusal of a request that has waited for as long as it may; empty if it may go on
   * waiting. For requests so far back in the queue that no engine is chosen for them.
   *
   * @param queuedAheadMillis prefill time of the requests that wait in the gateway ahead of this
   *     one, divided by the number of engines
   */
  public static Optional<AdmissionDecision.Refuse> afterLongestWait(
      AdmissionRequest request, double queuedAheadMillis) {
    return request.mustFinish()
            && !request.previouslyStarted()
            && request.waitedMillis() >= request.maxWaitMillis()
        ? Optional.of(refuse(request, queuedAheadMillis, ReasonCode.QUEUE_FULL))
        : Optional.empty();
  }

  /**
   * Returns the decision for a request that can't finish at the pace of its engine: it waits as
   * long as it could finish at one that has only decode steps to run.
   */
  private static AdmissionDecision waitForAnIdlerEngine(
      AdmissionRequest request, Placement placement, double queuedAheadMillis) {
    if (request.canFinish(placement.prefillMillis(), 1)
        && request.waitedMillis() < request.maxWaitMillis()) {
      return new AdmissionDecision.Wait();
    }
    return refuse(request, queuedAheadMillis + placement.backlogMillis(), ReasonCode.CANNOT_FINISH);
  }

  /**
   * Returns the decision for a request whose engine is busy. A late answer is worth more to callers
   * than a refusal, so it waits also if it misses its latency target, until its caller would
   * abandon it or it could not finish any more.
   */
  private static AdmissionDecision waitWhileItCanFinish(
      AdmissionRequest request, Placement placement, double expectedWaitMillis, boolean urgent) {
    double startMillis = expectedWaitMillis + placement.prefillMillis();
    boolean onTime = request.canMeetLatencyTarget(startMillis);
    boolean reachesTurn =
        urgent
            ? request.waitedMillis() < request.maxWaitMillis()
            : request.waitedMillis() + expectedWaitMillis < request.maxWaitMillis();
    if (onTime || (reachesTurn && request.canFinish(startMillis, PrefillPace.MAX_DECODE_SHARE))) {
      return new AdmissionDecision.Wait();
    }
    return refuse(request, expectedWaitMillis, ReasonCode.QUEUE_FULL);
  }

  private static AdmissionDecision.Refuse refuse(
      AdmissionRequest request, double expectedWaitMillis, ReasonCode cause) {
    double maxRetryAfterMillis = Math.max(1, request.remainingMillis() * MAX_RETRY_AFTER_FRACTION);
    return new AdmissionDecision.Refuse(
        (long)
            Math.clamp(
                expectedWaitMillis,
                Math.min(MIN_RETRY_AFTER_MILLIS, maxRetryAfterMillis),
                maxRetryAfterMillis),
        cause);
  }

  /**
   * Returns the engine's backlog up to which a request that can meet its latency target is sent.
   */
  private static double allowedBacklogMillis(Placement placement, boolean urgent) {
    double allowedBacklogMillis = urgent ? MAX_URGENT_BACKLOG_MILLIS : MAX_BACKLOG_MILLIS;
    return Math.max(
        MAX_OVERDUE_BACKLOG_MILLIS,
        Math.min(allowedBacklogMillis, placement.pauseBacklogLimitMillis()));
  }
}
