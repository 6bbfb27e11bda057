package org.shallothold.core.retry;

import java.util.ArrayList;
import java.util.List;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * Holds the evidence of each attempt at one request and joins it into the verdict. Made for each
 * request by the gateway; owned by one thread. Attempts are numbered from 1.
 */
public final class AttemptTracker {

  private enum Evidence {
    UNKNOWN,
    NOT_RUN,
    RAN
  }

  private final boolean order;
  private final List<Evidence> attempts = new ArrayList<>();
  private long retryAfterMillis;

  private AttemptTracker(boolean order) {
    this.order = order;
  }

  /** Returns a tracker for a request that may be repeated. */
  public static AttemptTracker forRepeatable() {
    return new AttemptTracker(false);
  }

  /**
   * Returns a tracker for an order with a ticket. The ticket may have arrived through another
   * gateway too, so only its sidecar can say that the order was not run.
   */
  public static AttemptTracker forOrder() {
    return new AttemptTracker(true);
  }

  /** Begins an attempt and returns its number. */
  public int begin() {
    attempts.add(Evidence.UNKNOWN);
    return attempts.size();
  }

  /** Notes that the frame of an attempt certainly never left this process. */
  public void neverSent(int attempt) {
    if (!order) {
      proveNotRun(attempt);
    }
  }

  /** Notes that an attempt was handed to its backend server; nothing later takes this back. */
  public void started(int attempt) {
    if (isKnown(attempt)) {
      attempts.set(attempt - 1, Evidence.RAN);
    }
  }

  /** Notes a refusal by the sidecar of an attempt. */
  public void refused(int attempt, Verdict verdict) {
    if (verdict instanceof Verdict.NotRun notRun) {
      proveNotRun(attempt);
      long estimate = notRun.retryAfterMillis();
      if (estimate > 0 && (retryAfterMillis == 0 || estimate < retryAfterMillis)) {
        retryAfterMillis = estimate;
      }
    } else {
      started(attempt);
    }
  }

  /** Returns how many attempts were begun. */
  public int count() {
    return attempts.size();
  }

  /** Returns whether an attempt still lacks evidence either way. */
  public boolean isUnknown(int attempt) {
    return isKnown(attempt) && attempts.get(attempt - 1) == Evidence.UNKNOWN;
  }

  /** Returns whether one attempt's evidence alone decides if the request was not run. */
  public boolean dependsOn(int attempt) {
    for (int other = 1; other <= attempts.size(); other++) {
      if (other != attempt && attempts.get(other - 1) != Evidence.NOT_RUN) {
        return false;
      }
    }
    return isUnknown(attempt);
  }

  /** Returns the smallest estimate among the refusals, in milliseconds; 0 if there is none. */
  public long retryAfterMillis() {
    return retryAfterMillis;
  }

  /** Returns the verdict of the whole request, as far as the evidence goes now. */
  public Verdict verdict(ReasonCode reason) {
    boolean proven =
        attempts.stream().allMatch(evidence -> evidence == Evidence.NOT_RUN)
            && !(order && attempts.isEmpty());
    return proven ? Verdict.notRun(reason, retryAfterMillis) : Verdict.mayHaveRun(reason);
  }

  private void proveNotRun(int attempt) {
    if (isUnknown(attempt)) {
      attempts.set(attempt - 1, Evidence.NOT_RUN);
    }
  }

  private boolean isKnown(int attempt) {
    return attempt >= 1 && attempt <= attempts.size();
  }
}
