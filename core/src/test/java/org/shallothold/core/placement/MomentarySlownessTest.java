package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/** How much a server's statement about the moment is worth while it grows older. */
class MomentarySlownessTest {

  private static final long SEED = 5;
  private static final int SAMPLES = 200_000;

  /**
   * Returns the mean squared error of the expected factor, relative to that of assuming the usual
   * time, for a slowdown that changes at random after the given time in the mean.
   */
  private static double relativeError(double changeMillis, long ageMillis) {
    Random random = new Random(SEED);
    double error = 0;
    double errorWithoutStatement = 0;
    for (int sample = 0; sample < SAMPLES; sample++) {
      int stated = randomPercent(random);
      boolean unchanged = random.nextDouble() < Math.exp(-ageMillis / changeMillis);
      double actual = (unchanged ? stated : randomPercent(random)) / 100.0;
      MomentarySlowness slowness = MomentarySlowness.unknown();
      slowness.record(stated, 0);
      error += Math.pow(slowness.factor(ageMillis) - actual, 2);
      errorWithoutStatement += Math.pow(1 - actual, 2);
    }
    return error / errorWithoutStatement;
  }

  private static int randomPercent(Random random) {
    return random.nextBoolean() ? 160 : 40 + random.nextInt(40);
  }

  /** Guards against figures that mislead more than they tell because the moment has passed. */
  @Test
  void aStatementHelpsUpToTheTimeInWhichTheSlownessChanges() {
    assertTrue(relativeError(400, 100) < 0.6);
    assertTrue(relativeError(200, 100) < 0.8);
    assertTrue(relativeError(200, 300) < 1);
    assertTrue(relativeError(100, 100) < 1);
    assertTrue(relativeError(50, 30) < 1);
  }

  /** Guards against decisions by old statements however fast the slowness changes. */
  @Test
  void aStatementThatIsOlderThanTheChangesDoesLittleHarm() {
    assertTrue(relativeError(50, 200) < 1.15);
    assertTrue(relativeError(50, 600) < 1.02);
    MomentarySlowness slowness = MomentarySlowness.unknown();
    slowness.record(200, 0);
    assertEquals(1, slowness.factor(600), 0.06);
    assertEquals(1, slowness.factor(1_000));
  }

  /** Guards against a late message of a peer that replaces a newer statement. */
  @Test
  void anOlderStatementDoesNotReplaceANewerOne() {
    MomentarySlowness slowness = MomentarySlowness.unknown();
    slowness.record(150, 1_000);
    slowness.record(300, 900);
    assertEquals(1.5, slowness.factor(1_000));
  }

  /** Guards against a server that lies and gets all requests or none. */
  @Test
  void extremeStatementsAreBounded() {
    IntStream.of(1, 10_000)
        .forEach(
            percent -> {
              MomentarySlowness slowness = MomentarySlowness.unknown();
              slowness.record(percent, 0);
              assertTrue(slowness.factor(0) >= 0.5 && slowness.factor(0) <= 5);
            });
  }
}
