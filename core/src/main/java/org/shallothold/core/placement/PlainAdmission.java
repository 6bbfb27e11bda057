package org.shallothold.core.placement;

import java.util.Collection;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Decides whether a request for a plain service is sent, waits in the gateway until a server has a
 * free slot, or is refused. In the gateway the most urgent request is sent first, whereas servers
 * whose slots are taken let all of them wait.
 *
 * <p>Each gateway may always use its share of the slots. Beyond that it uses slots that a server
 * reports as free, or, without a recent report, those that no gateway is known to use. Requests are
 * sent to full servers while it isn't known how long answers take, and while no slot becomes free:
 * a server may take more than its slots, and those may be held by requests without an end. One
 * instance per service; owned by one thread.
 */
public final class PlainAdmission {

  // Calls take tens to hundreds of milliseconds, so an older report doesn't tell which slots are
  // free.
  private static final long REPORT_MAX_AGE_MILLIS = 250;
  private static final double MEAN_WEIGHT = 1.0 / 16;
  private static final int MIN_SAMPLES = 8;
  private static final double MIN_RETRY_AFTER_MILLIS = 300;
  // Callers wait for at most a third of their remaining time before they retry.
  private static final double MAX_RETRY_AFTER_FRACTION = 0.3;

  // Slots count as held without an end if in so many times the mean of an answer none came.
  private static final double STALLED_ANSWERS = 3;
  private static final double MIN_STALLED_MILLIS = 100;

  private double meanAnswerMillis;
  private long lastProgressMillis = Long.MIN_VALUE / 2;
  private int samples;

  private PlainAdmission() {}

  /** Returns an admission control that has seen no answers. */
  public static PlainAdmission create() {
    return new PlainAdmission();
  }

  /**
   * Records that a request is sent.
   *
   * @param servers servers of the service, before the request counts as open
   * @param nowMillis current time
   */
  public void recordSent(Collection<TrackedServer> servers, long nowMillis) {
    if (ownOpenRequests(servers) == 0) {
      lastProgressMillis = nowMillis;
    }
  }

  private static int ownOpenRequests(Collection<TrackedServer> servers) {
    return servers.stream().mapToInt(TrackedServer::ownOpenRequests).sum();
  }

  /**
   * Records an answer.
   *
   * @param millis time from sending the request to its whole answer, in milliseconds
   * @param nowMillis current time
   */
  public void recordAnswer(double millis, long nowMillis) {
    lastProgressMillis = nowMillis;
    samples++;
    meanAnswerMillis += Math.max(MEAN_WEIGHT, 1.0 / samples) * (millis - meanAnswerMillis);
  }

  /**
   * Returns whether one more request of this gateway may be sent to a server.
   *
   * @param server the server
   * @param gateways number of gateways that share its slots
   * @param nowMillis current time
   */
  public boolean hasRoom(TrackedServer server, int gateways, long nowMillis) {
    int slots = server.entry().slots();
    int share = Math.max(1, slots / Math.max(1, gateways));
    return !knowsSlots(nowMillis)
        || server.ownOpenRequests() < share
        || server
                .reportedOpenRequests(REPORT_MAX_AGE_MILLIS, nowMillis)
                .orElseGet(() -> server.openRequests(nowMillis))
            < slots;
  }

  private boolean knowsSlots(long nowMillis) {
    return samples >= MIN_SAMPLES
        && nowMillis - lastProgressMillis
            <= Math.max(MIN_STALLED_MILLIS, STALLED_ANSWERS * meanAnswerMillis);
  }

  /**
   * Returns whether a request that no server has room for goes on waiting or is refused.
   *
   * @param remainingMillis time until its deadline, in milliseconds
   * @param requestsAhead requests that wait in this gateway ahead of it
   * @param servers servers of the service
   */
  public AdmissionDecision decide(
      long remainingMillis, int requestsAhead, Collection<TrackedServer> servers) {
    double expectedWaitMillis =
        requestsAhead * meanAnswerMillis / Math.max(1, ownOpenRequests(servers));
    if (expectedWaitMillis + meanAnswerMillis <= remainingMillis) {
      return new AdmissionDecision.Wait();
    }
    double maxRetryAfterMillis = Math.max(1, remainingMillis * MAX_RETRY_AFTER_FRACTION);
    return new AdmissionDecision.Refuse(
        (long)
            Math.clamp(
                expectedWaitMillis,
                Math.min(MIN_RETRY_AFTER_MILLIS, maxRetryAfterMillis),
                maxRetryAfterMillis),
        ReasonCode.QUEUE_FULL);
  }
}
