package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.route.RoutedService;

/** What a gateway learns of engines that it has no figures of. */
class EngineEstimatorTest {

  private static final long SEED = 7;

  private final Random random = new Random(SEED);
  private final EngineEstimator estimator = EngineEstimator.create();

  /** Feeds first events of engines that read a token in the given time, with a random delay. */
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
    double estimated = estimator.timings().prefillMillis(tokens, 0);
    assertEquals(expectedMillis, estimated, expectedMillis * 0.2);
  }

  @Nested
  class Reading {

    /** Guards against plans for an engine that is faster or slower than assumed. */
    @Test
    void ofFastEnginesIsFound() {
      recordFirstEvents(300, 0.005, 0.05);
      assertPrefillMillis(50 + 0.05 * 50, 10_000);
    }

    @Test
    void ofSlowEnginesIsFound() {
      recordFirstEvents(300, 0.05, 1);
      assertPrefillMillis(500 + 1 * 50, 10_000);
    }

    /**
     * Guards against prompts of other gateways, which delay some first events, being read as
     * slowness.
     */
    @Test
    void isNotMovedMuchByUnknownPrompts() {
      IntStream.range(0, 300)
          .forEach(
              number -> {
                int tokens = 2_000 + random.nextInt(8_000);
                double otherPrefillMillis = random.nextInt(5) == 0 ? 300 : 0;
                estimator.recordFirstEvent(tokens, 0, 0, 8 + tokens * 0.016 + otherPrefillMillis);
              });
      double estimated = estimator.timings().prefillMillis(6_000, 0);
      assertTrue(estimated > 80 && estimated < 160, "estimated " + estimated);
    }

    /** Guards against a wait behind known prompts being taken for reading. */
    @Test
    void isNotTakenFromPromptsThatWait() {
      double before = estimator.timings().prefillMillis(6_000, 0);
      IntStream.range(0, 50).forEach(number -> estimator.recordFirstEvent(6_000, 0, 200, 900));
      assertEquals(before, estimator.timings().prefillMillis(6_000, 0));
    }
  }

  @Nested
  class Pauses {

    /** Guards against streams being sent to engines that read before the pauses there are known. */
    @Test
    void areWithoutBoundBeforeTheyAreSeen() {
      assertEquals(5_000, estimator.timings().pauseMillis(5_000), 30);
    }

    @Test
    void whileReadingAreBoundedOnceTheyAreSeen() {
      estimator.configure(
          new RoutedService("pool", 100, true, 570_000, 5, RoutedService.NO_TRANSFER));
      IntStream.range(0, 100).forEach(number -> estimator.recordIdlePause(18 + random.nextInt(5)));
      IntStream.range(0, 100)
          .forEach(number -> estimator.recordPrefillPause(180 + random.nextInt(40)));
      double longest = estimator.timings().pauseMillis(5_000);
      assertTrue(longest > 180 && longest < 240, "longest pause " + longest);
      assertEquals(4, estimator.timings().decodeStepMillis(), 0.5);
    }

    /**
     * Guards against the first, short pauses being taken for the longest: streams that long reads
     * hurt were sent to engines that read, until more was known.
     */
    @Test
    void ofAFewSamplesAreNotBelieved() {
      IntStream.range(0, 30).forEach(number -> estimator.recordPrefillPause(60));
      assertEquals(5_000, estimator.timings().pauseMillis(5_000), 30);
    }
  }

  @Nested
  class Peers {

    /** Guards against a restarted gateway that learns everything anew under load. */
    @Test
    void areBelievedAtOnce() {
      estimator.configure(
          new RoutedService("pool", 100, true, 570_000, 5, RoutedService.NO_TRANSFER));
      estimator.updatePeer("peer", new EngineEstimate(0.01, 0.1, 100, 7, 100, 400, 100));
      assertEquals(0.01, estimator.timings().millisPerPrefillToken());
      assertEquals(400, estimator.timings().pauseMillis(5_000), 1);
    }

    @Test
    void thatAreGoneAreForgotten() {
      double before = estimator.timings().millisPerPrefillToken();
      estimator.updatePeer("peer", new EngineEstimate(0.01, 0.1, 100, 7, 100, 400, 100));
      estimator.removePeer("peer");
      assertEquals(before, estimator.timings().millisPerPrefillToken());
    }

    /** Guards against a peer that has just started outweighing what this gateway measured. */
    @Test
    void countByTheirSamples() {
      recordFirstEvents(150, 0.02, 0);
      double ownMillis = estimator.timings().millisPerPrefillToken();
      estimator.updatePeer("peer", new EngineEstimate(1, 10, 1, 0, 0, 0, 0));
      assertEquals(ownMillis, estimator.timings().millisPerPrefillToken(), ownMillis);
    }
  }
}
