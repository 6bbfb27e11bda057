package org.shallothold.core.crash;

import java.util.List;

/** Whether a request may be sent, as far as its prompt parts are concerned. */
public sealed interface TrialAdmission {

  /** None of its parts is suspected. */
  record Admitted() implements TrialAdmission {}

  /** It is the only request of the fleet that runs with its quarantined parts. */
  record OnTrial() implements TrialAdmission {}

  /** Another request with a quarantined part is on trial, or the coordinator will answer soon. */
  record Waits() implements TrialAdmission {}

  /**
   * The coordinator should be asked for a trial.
   *
   * @param partIds quarantined parts of the request
   */
  record ShouldAsk(List<Long> partIds) implements TrialAdmission {}

  /**
   * A part is blocked.
   *
   * @param partId the part
   * @param untilMillis time from which a request with it may be tried again
   */
  record Refused(long partId, long untilMillis) implements TrialAdmission {}
}
