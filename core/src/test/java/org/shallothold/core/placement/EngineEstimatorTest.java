package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.route.RoutedService;

/** What a gateway learns about engines whose timings are not configured. */
class EngineEstimatorTest {

  private static final long SEED = 7;

  private final Random random = new Random(SEED);
  private final EngineEstimator estimator = EngineEstimator.create();

  /**
   * Records first events of engines that prefill with the given costs, with a random network delay.
   */
  private void recordFirstEvents(
      int prompts, double millisPerPrefillToken, double millisPerMillionPairs) {
    IntStream.range(0, prompts)
        .forEach(
            number -> {
              int tokens = (int) (800 * Math.exp(random.nextGaussian() * 1.2 + 1));
              double delay = 4 + 12 * random.nextDouble();
              double pairs = tokens * (tokens / 2.0) / 1e6;
              estimator.recordFirstEvent(
                  tokens,
                  0,
                  0,
                  delay + tokens * millisPerPrefillToken + pairs * millisPerMillionPairs);
            });
  }

  private void assertPrefillMillis(double expectedMillis, int tokens) {
    double estimatedMillis = estimator.timings().prefillMillis(tokens, 0);
    assertEquals(expectedMillis, estimatedMillis, expectedMillis * 0.2);
  }

  @Nested
  class PrefillTime {

    /** Guards against placements based on engines that are faster or slower than assumed. */
    @Test
    void isEstimatedForFastEngines() {
      recordFirstEvents(300, 0.005, 0.05);
      assertPrefillMillis(50 + 0.05 * 50, 10_000);
    }

    @Test
    void isEstimatedForSlowEngines() {
      recordFirstEvents(300, 0.05, 1);
      assertPrefillMillis(500 + 1 * 50, 10_000);
    }

    /**
     * Guards against prompts of other gateways, which delay some first events, being taken for slow
     * engines.
     */
    @Test
    void isHardlyChangedByUnknownPrompts() {
      IntStream.range(0, 300)
          .forEach(
              number -> {
                int tokens = 2_000 + random.nextInt(8_000);
                double otherPrefillMillis = random.nextInt(5) == 0 ? 300 : 0;
                estimator.recordFirstEvent(tokens, 0, 0, 8 + tokens * 0.016 + otherPrefillMillis);
              });
      double estimatedMillis = estimator.timings().prefillMillis(6_000, 0);
      assertTrue(estimatedMillis > 80 && estimatedMillis < 160, "estimated " + estimatedMillis);
    }

    /** Guards against the wait behind known prompts being taken for prefill time. */
    @Test
    void ignoresPromptsBehindABacklog() {
      double beforeMillis = estimator.timings().prefillMillis(6_000, 0);
      IntStream.range(0, 50).forEach(number -> estimator.recordFirstEvent(6_000, 0, 200, 900));
      assertEquals(beforeMillis, estimator.timings().prefillMillis(6_000, 0));
    }
  }

  @Nested
  class InterEventGaps {

    /**
     * Guards against pause-sensitive streams being sent to engines that prefill before the gaps
     * there are measured.
     */
    @Test
    void areUnboundedBeforeTheyAreMeasured() {
      assertEquals(5_000, estimator.timings().pauseMillis(5_000), 30);
    }

    @Test
    void duringPrefillsAreBoundedOnceTheyAreMeasured() {
      estimator.configure(
          new RoutedService("pool", 100, true, 570_000, 5, RoutedService.NO_TRANSFER));
      IntStream.range(0, 100).forEach(number -> estimator.recordIdlePause(18 + random.nextInt(5)));
      IntStream.range(0, 100)
          .forEach(number -> estimator.recordPrefillPause(180 + random.nextInt(40)));
      double longestMillis = estimator.timings().pauseMillis(5_000);
      assertTrue(longestMillis > 180 && longestMillis < 240, "longest gap " + longestMillis);
      assertEquals(4, estimator.timings().decodeStepMillis(), 0.5);
    }

    /**
     * Guards against the first, short gaps being taken for the longest: streams that long prefills
     * hurt were sent to engines that prefill until there were more samples.
     */
    @Test
    void ofAFewSamplesAreIgnored() {
      IntStream.range(0, 30).forEach(number -> estimator.recordPrefillPause(60));
      assertEquals(5_000, estimator.timings().pauseMillis(5_000), 30);
    }
  }

  @Nested
  class PeerEstimates {

    /** Guards against a restarted gateway that measures everything again under load. */
    @Test
    void areUsedAtOnce() {
      estimator.configure(
          new RoutedService("pool", 100, true, 570_000, 5, RoutedService.NO_TRANSFER));
      estimator.updatePeer("peer", new EngineEstimate(0.01, 0.1, 100, 7, 100, 400, 100));
      assertEquals(0.01, estimator.timings().millisPerPrefillToken());
      assertEquals(400, estimator.timings().pauseMillis(5_000), 1);
    }

    @Test
    void ofRemovedPeersAreDiscarded() {
      double beforeMillis = estimator.timings().millisPerPrefillToken();
      estimator.updatePeer("peer", new EngineEstimate(0.01, 0.1, 100, 7, 100, 400, 100));
      estimator.removePeer("peer");
      assertEquals(beforeMillis, estimator.timings().millisPerPrefillToken());
    }

    /** Guards against a peer that has just started outweighing what this gateway measured. */
    @Test
    void areWeightedByTheirSamples() {
      recordFirstEvents(150, 0.02, 0);
      double ownMillis = estimator.timings().millisPerPrefillToken();
      estimator.updatePeer("peer", new EngineEstimate(1, 10, 1, 0, 0, 0, 0));
      assertEquals(ownMillis, estimator.timings().millisPerPrefillToken(), ownMillis);
    }
  }
}
