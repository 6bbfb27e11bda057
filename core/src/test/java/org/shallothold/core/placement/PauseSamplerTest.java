package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Which inter-event gaps are recorded as pauses of an idle or of a prefilling engine. */
class PauseSamplerTest {

  private static final RequestProfile PROMPT =
      new RequestProfile(List.of(), 9_000, 50, Rank.of(1), 500, 300);

  private final TrackedServer server =
      TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
  private final EngineEstimator estimator = EngineEstimator.create();
  private final PauseSampler sampler = PauseSampler.create();

  private void recordEvents(int events, long nowMillis) {
    sampler.recordEvents(events, server, estimator, nowMillis);
  }

  @Test
  void ofAnIdleEngineAreIdlePauses() {
    recordEvents(1, 1_000);
    recordEvents(1, 1_020);
    assertEquals(1, estimator.ownEstimate().decodeStepSamples());
    assertEquals(20, estimator.ownEstimate().decodeStepMillis(), 0.001);
  }

  @Test
  void duringAPrefillArePrefillPauses() {
    server.recordSent(1, PROMPT, 400, false, 900);
    recordEvents(1, 1_000);
    recordEvents(1, 1_200);
    assertEquals(1, estimator.ownEstimate().prefillPauseSamples());
    assertEquals(200, estimator.ownEstimate().prefillPauseMillis(), 0.001);
  }

  /**
   * Guards against recording a short gap, in which a prefill started or ended, as either kind of
   * pause.
   */
  @Test
  void inWhichAPrefillStartsAreNotSampled() {
    recordEvents(1, 1_000);
    server.recordSent(1, PROMPT, 400, false, 1_010);
    recordEvents(1, 1_100);
    assertEquals(0, estimator.ownEstimate().decodeStepSamples());
    assertEquals(0, estimator.ownEstimate().prefillPauseSamples());
  }

  /** Guards against sampling events that were delayed in transit and arrived together. */
  @Test
  void betweenEventsThatArriveTogetherAreNotSampled() {
    recordEvents(1, 1_000);
    recordEvents(2, 1_300);
    assertEquals(0, estimator.ownEstimate().decodeStepSamples());
  }
}
