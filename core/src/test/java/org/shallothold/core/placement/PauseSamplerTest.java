package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Which times between events count as pauses of a reading or of a quiet engine. */
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
  void ofAnIdleEngineAreQuiet() {
    recordEvents(1, 1_000);
    recordEvents(1, 1_020);
    assertEquals(1, estimator.ownEstimate().decodeStepSamples());
    assertEquals(20, estimator.ownEstimate().decodeStepMillis(), 0.001);
  }

  @Test
  void whileAPromptIsReadThroughoutAreOfReading() {
    server.recordSent(1, PROMPT, 400, false, 900);
    recordEvents(1, 1_000);
    recordEvents(1, 1_200);
    assertEquals(1, estimator.ownEstimate().prefillPauseSamples());
    assertEquals(200, estimator.ownEstimate().prefillPauseMillis(), 0.001);
  }

  /** Guards against a short pause, in which reading began or ended, being taken for either kind. */
  @Test
  void inWhichReadingBeginsCountForNeither() {
    recordEvents(1, 1_000);
    server.recordSent(1, PROMPT, 400, false, 1_010);
    recordEvents(1, 1_100);
    assertEquals(0, estimator.ownEstimate().decodeStepSamples());
    assertEquals(0, estimator.ownEstimate().prefillPauseSamples());
  }

  /** Guards against events that were held up on the way and came together. */
  @Test
  void betweenEventsThatCameTogetherAreUnknown() {
    recordEvents(1, 1_000);
    recordEvents(2, 1_300);
    assertEquals(0, estimator.ownEstimate().decodeStepSamples());
  }
}
