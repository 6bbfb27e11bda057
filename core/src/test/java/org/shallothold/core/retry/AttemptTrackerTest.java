package org.shallothold.core.retry;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/** Guards against the verdict "not run" for a request of which an attempt may have run. */
class AttemptTrackerTest {

  /**
   * Steps: {@code b} begins an attempt. The other steps carry the number of an attempt: {@code s}
   * it started, {@code n} it was refused as not run (with a retry-after in milliseconds after a
   * colon), {@code m} it was refused as may have run, {@code u} it was never sent.
   */
  @ParameterizedTest(name = "{0}")
  @CsvSource({
    "no attempt,                              false, '',                 not_run,      0",
    "sent without an answer,                  false, b,                  may_have_run, 0",
    "refused,                                 false, b n1:700,           not_run,      700",
    "smallest estimate of all refusals,       false, b n1:900 b n2:300 b n3:0, not_run, 300",
    "never left the process,                  false, b u1,               not_run,      0",
    "one unknown then one refused,             false, b b n2:5,           may_have_run, 0",
    "late refusal of the unknown one,          false, b b n2:0 n1:0,      not_run,      0",
    "started then refused as not run,         false, b s1 n1:0,          may_have_run, 0",
    "refused as not run then started,         false, b n1:0 s1,          may_have_run, 0",
    "refused as may have run,                 false, b m1,               may_have_run, 0",
    "refusal of an unknown attempt number,    false, b n7:0,             may_have_run, 0",
    "order without an attempt,                true,  '',                 may_have_run, 0",
    "order that never left the process,       true,  b u1,               may_have_run, 0",
    "order refused by its sidecar,            true,  b n1:0,             not_run,      0",
  })
  void derivesVerdictFromEvidence(
      String name, boolean order, String steps, String expectedVerdict, long retryAfterMillis) {
    AttemptTracker tracker = order ? AttemptTracker.forOrder() : AttemptTracker.forRepeatable();
    for (String step : steps.isEmpty() ? new String[0] : steps.split(" ", -1)) {
      int attempt = step.length() == 1 ? 0 : Integer.parseInt(step.substring(1).split(":", -1)[0]);
      switch (step.charAt(0)) {
        case 'b' -> tracker.begin();
        case 's' -> tracker.started(attempt);
        case 'u' -> tracker.neverSent(attempt);
        case 'm' -> tracker.refused(attempt, Verdict.mayHaveRun(ReasonCode.BACKEND_FAILED));
        default ->
            tracker.refused(
                attempt,
                Verdict.notRun(ReasonCode.QUEUE_FULL, Long.parseLong(step.split(":", -1)[1])));
      }
    }
    Verdict result = tracker.verdict(ReasonCode.DEADLINE);
    assertEquals(expectedVerdict, result.wireName());
    assertEquals(
        retryAfterMillis, result instanceof Verdict.NotRun notRun ? notRun.retryAfterMillis() : 0);
  }
}
