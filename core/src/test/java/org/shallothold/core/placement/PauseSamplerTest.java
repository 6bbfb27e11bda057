package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Which times between events count as pauses of a reading or of a quiet engine. */
class PauseSamplerTest {

  private static final Work PROMPT = new Work(List.of(), 9_000, 50, Rank.of(1), 500, 300);

  private final ServerModel server =
      ServerModel.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
  private final EngineEstimator estimator = EngineEstimator.create();
  private final PauseSampler sampler = PauseSampler.create();

  private void arrive(int events, long nowMillis) {
    sampler.arrived(events, server, estimator, nowMillis);
  }

  @Test
  void ofAnIdleEngineAreQuiet() {
    arrive(1, 1_000);
    arrive(1, 1_020);
    assertEquals(1, estimator.own().stepSamples());
    assertEquals(20, estimator.own().stepMillis(), 0.001);
  }

  @Test
  void whileAPromptIsReadThroughoutAreOfReading() {
    server.sent(1, PROMPT, 400, false, 900);
    arrive(1, 1_000);
    arrive(1, 1_200);
    assertEquals(1, estimator.own().pauseSamples());
    assertEquals(200, estimator.own().readingPauseMillis(), 0.001);
  }

  /** Guards against a short pause, in which reading began or ended, being taken for either kind. */
  @Test
  void inWhichReadingBeginsCountForNeither() {
    arrive(1, 1_000);
    server.sent(1, PROMPT, 400, false, 1_010);
    arrive(1, 1_100);
    assertEquals(0, estimator.own().stepSamples());
    assertEquals(0, estimator.own().pauseSamples());
  }

  /** Guards against events that were held up on the way and came together. */
  @Test
  void betweenEventsThatCameTogetherAreUnknown() {
    arrive(1, 1_000);
    arrive(2, 1_300);
    assertEquals(0, estimator.own().stepSamples());
  }
}
