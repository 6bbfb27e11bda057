package org.shallothold.core.retry;

import java.util.ArrayList;
import java.util.List;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * Records for each attempt at one request whether there is evidence that it ran, and derives the
 * verdict of the request. The gateway creates one per request; owned by one thread. Attempts are
 * numbered from 1; calls for an unknown number record no evidence.
 */
public final class AttemptTracker {

  private enum Evidence {
    UNKNOWN,
    NOT_RUN,
    RAN
  }

  private final boolean order;
  private final List<Evidence> evidenceByAttempt = new ArrayList<>();
  private long retryAfterMillis;

  private AttemptTracker(boolean order) {
    this.order = order;
  }

  /** Returns a tracker for a request that may be repeated. */
  public static AttemptTracker forRepeatable() {
    return new AttemptTracker(false);
  }

  /**
   * Returns a tracker for an order with a ticket. The order may have been sent through another
   * gateway too, so only a refusal by its sidecar proves that it was not run.
   */
  public static AttemptTracker forOrder() {
    return new AttemptTracker(true);
  }

  /** Adds an attempt and returns its number. */
  public int begin() {
    evidenceByAttempt.add(Evidence.UNKNOWN);
    return evidenceByAttempt.size();
  }

  /**
   * Records that the frame of an attempt certainly never left this process. For an order this
   * proves nothing.
   */
  public void neverSent(int attempt) {
    if (!order) {
      markNotRun(attempt);
    }
  }

  /**
   * Records that an attempt was passed to its backend server. A later refusal does not change this.
   */
  public void started(int attempt) {
    if (exists(attempt)) {
      evidenceByAttempt.set(attempt - 1, Evidence.RAN);
    }
  }

  /** Records that the sidecar refused an attempt with a verdict. */
  public void refused(int attempt, Verdict verdict) {
    if (verdict instanceof Verdict.NotRun notRun) {
      markNotRun(attempt);
      long estimateMillis = notRun.retryAfterMillis();
      if (estimateMillis > 0 && (retryAfterMillis == 0 || estimateMillis < retryAfterMillis)) {
        retryAfterMillis = estimateMillis;
      }
    } else {
      started(attempt);
    }
  }

  /** Returns the number of attempts begun. */
  public int attemptCount() {
    return evidenceByAttempt.size();
  }

  /** Returns whether there is no evidence yet that an attempt ran or did not run. */
  public boolean isUnknown(int attempt) {
    return exists(attempt) && evidenceByAttempt.get(attempt - 1) == Evidence.UNKNOWN;
  }

  /**
   * Returns whether the verdict depends on an attempt alone: it is unknown whether it ran, and all
   * other attempts are known not to have run.
   */
  public boolean isDecisive(int attempt) {
    for (int other = 1; other <= evidenceByAttempt.size(); other++) {
      if (other != attempt && evidenceByAttempt.get(other - 1) != Evidence.NOT_RUN) {
        return false;
      }
    }
    return isUnknown(attempt);
  }

  /** Returns the smallest retry-after estimate of the refusals, in milliseconds; 0 if none. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }

  /**
   * Returns the verdict of the request by the evidence so far: not run if every attempt is known
   * not to have run, otherwise may have run. An order without attempts may have run.
   *
   * @param reason reason that the verdict carries
   */
  public Verdict verdict(ReasonCode reason) {
    boolean provenNotRun =
        evidenceByAttempt.stream().allMatch(evidence -> evidence == Evidence.NOT_RUN)
            && !(order && evidenceByAttempt.isEmpty());
    return provenNotRun ? Verdict.notRun(reason, retryAfterMillis) : Verdict.mayHaveRun(reason);
  }

  private void markNotRun(int attempt) {
    if (isUnknown(attempt)) {
      evidenceByAttempt.set(attempt - 1, Evidence.NOT_RUN);
    }
  }

  private boolean exists(int attempt) {
    return attempt >= 1 && attempt <= evidenceByAttempt.size();
  }
}
