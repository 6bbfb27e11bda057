package org.shallothold.core.placement;

import java.util.Collection;
import java.util.random.RandomGenerator;

/**
 * Part of the cost of a placement that depends on the speeds of the engines. It is exactly 0 for
 * all engines while all of them work at the usual speed.
 */
final class SpeedCosts {

  // An engine with a shorter backlog starts the prompt soon. With a longer one, its speed is no
  // advantage: otherwise all prompts would wait for the fast engines while slow ones idle.
  private static final double MAX_STARTING_BACKLOG_MILLIS = 100;
  // Engines whose costs differ by less than about this are used in turn: gateways that decide at
  // the same time don't know of each other's choices yet.
  private static final double SPREAD_MILLIS = 40;

  // A delay of an answer's end costs less than one of its first event, but answers that take long
  // miss their deadlines at slow engines.
  private static final double OUTPUT_WEIGHT = 0.1;

  private final double slowestRatio;
  private final boolean spreads;
  private final RandomGenerator random;

  private SpeedCosts(double slowestRatio, boolean spreads, RandomGenerator random) {
    this.slowestRatio = slowestRatio;
    this.spreads = spreads;
    this.random = random;
  }

  /** Returns the costs for a choice among the given engines. */
  static SpeedCosts among(
      Collection<TrackedServer> engines, RandomGenerator random, long nowMillis) {
    double slowestRatio =
        engines.stream().mapToDouble(engine -> engine.speed().ratio()).max().orElse(1);
    return new SpeedCosts(slowestRatio, differ(engines, nowMillis), random);
  }

  /** Returns whether servers differ in speed, persistently or at the moment. */
  static boolean differ(Collection<TrackedServer> servers, long nowMillis) {
    return servers.stream()
        .map(TrackedServer::speed)
        .anyMatch(speed -> speed.ratio() != 1 || speed.statesMomentarySlowness(nowMillis));
  }

  /**
   * Returns the additional time that an engine needs compared with the usual speed, negative for a
   * faster one, in milliseconds.
   *
   * @param engine the engine
   * @param backlogMillis its backlog of prefills, at the usual speed
   * @param decodeMillis time that the decode steps of its streams take meanwhile, at the usual
   *     speed
   * @param prefillMillis prefill time of the prompt, at the usual speed
   * @param outputMillis time of the decode steps of its answer, at the usual speed
   * @param nowMillis current time
   */
  double additionalMillis(
      TrackedServer engine,
      double backlogMillis,
      double decodeMillis,
      double prefillMillis,
      double outputMillis,
      long nowMillis) {
    double ratio = engine.speed().ratio();
    double factor = engine.speed().factor(nowMillis);
    double promptRatio =
        backlogMillis * factor <= MAX_STARTING_BACKLOG_MILLIS
            ? ratio
            : Math.max(ratio, slowestRatio);
    // The momentary part counts also for busy engines: it ends soon, so waiting is worth it.
    return (backlogMillis + decodeMillis) * (factor - 1)
        + (prefillMillis + outputMillis * OUTPUT_WEIGHT) * (promptRatio - 1)
        + prefillMillis * (factor - ratio);
  }

  /** Returns whether engines of nearly equal cost are used in turn. */
  boolean spreads() {
    return spreads;
  }

  /**
   * Returns a random cost, by which engines of equal cost are chosen with probabilities
   * proportional to their speeds: the minimum of exponential variables.
   *
   * @param factor ratio of the time that work takes at the engine now to the usual time
   */
  double spreadMillis(double factor) {
    return spreads ? -Math.log1p(-random.nextDouble()) * factor * SPREAD_MILLIS : 0;
  }
}
