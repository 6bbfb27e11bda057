package org.shallothold.core.crash;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;

/**
 * Permits of the coordinator for requests with quarantined prompt parts: at most one request with
 * each such part runs at a time. Not thread-safe.
 */
public final class TrialIssuer {

  // Longer than it takes until the first events of nearly all requests. A trial whose gateway is
  // gone blocks others for as long.
  private static final long MAX_TRIAL_MILLIS = 5_000;

  private final Map<Long, Trial> trialsByPart = new HashMap<>();

  private record Trial(String gateway, long requestNumber, long startedMillis) {

    private boolean isOf(String otherGateway, long otherNumber) {
      return gateway.equals(otherGateway) && requestNumber == otherNumber;
    }
  }

  private TrialIssuer() {}

  /** Returns an issuer without trials. */
  public static TrialIssuer create() {
    return new TrialIssuer();
  }

  /**
   * Starts the trial of a request unless one with a common part is running.
   *
   * @param partIds quarantined parts of the request
   * @param gateway process id of the gateway that has the request
   * @param requestNumber number that the gateway gave the request
   */
  public boolean tryStart(
      Collection<Long> partIds, String gateway, long requestNumber, long nowMillis) {
    trialsByPart.values().removeIf(trial -> nowMillis - trial.startedMillis() >= MAX_TRIAL_MILLIS);
    boolean free =
        partIds.stream()
            .map(trialsByPart::get)
            .allMatch(trial -> trial == null || trial.isOf(gateway, requestNumber));
    if (free) {
      partIds.forEach(
          part -> trialsByPart.putIfAbsent(part, new Trial(gateway, requestNumber, nowMillis)));
    }
    return free;
  }

  /** Ends the trial of a request; does nothing if it has none. */
  public void end(String gateway, long requestNumber) {
    trialsByPart.values().removeIf(trial -> trial.isOf(gateway, requestNumber));
  }

  /**
   * Ends the trial of a part after an engine's end or a success has decided it. Requests that were
   * sent before the trial decide nothing about it.
   *
   * @param sentMillis time at which the request was sent, or of the success
   */
  public void decided(long partId, long sentMillis) {
    trialsByPart.computeIfPresent(
        partId, (part, trial) -> trial.startedMillis() <= sentMillis ? null : trial);
  }

  /** Returns the number of parts on trial. */
  public int runningTrials() {
    return trialsByPart.size();
  }
}
