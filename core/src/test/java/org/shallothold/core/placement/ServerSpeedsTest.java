package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Random;
import java.util.stream.DoubleStream;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** What gateways learn about the persistent speeds of a service's engines. */
class ServerSpeedsTest {

  private static final long SEED = 11;
  private static final int SLOTS = 64;
  private static final double USUAL_PAUSE_MILLIS = 28;
  private static final RequestProfile PROMPT =
      new RequestProfile(List.of(), 1_000, 50, Rank.of(1), 500, 300);

  private final Random random = new Random(SEED);
  private final EngineEstimator estimator = EngineEstimator.create();
  private final ServerSpeeds speeds = ServerSpeeds.create();

  private static TrackedServer engine(int number) {
    return TrackedServer.of(
        new ServerEntry("e" + number, "pool", "10.0.0." + number, 80, "north", SLOTS, false, 1));
  }

  private static List<TrackedServer> engines(int count) {
    return IntStream.range(0, count).mapToObj(ServerSpeedsTest::engine).toList();
  }

  /** Returns the ratio of a server: a third of them at 0.7, at 1 and at 1.7 each. */
  private static double trueRatio(int number) {
    return number % 3 == 0 ? 1.7 : number % 3 == 1 ? 1 : 0.7;
  }

  private void update(List<TrackedServer> engines, long nowMillis) {
    speeds.update(engines, estimator.idlePauseMillis(), nowMillis);
  }

  /** Lets a stream at each engine have events, with random delays in transit. */
  private void runStreams(List<TrackedServer> engines, double[] ratios, int events) {
    List<PauseSampler> samplers = engines.stream().map(engine -> PauseSampler.create()).toList();
    double[] clocks = new double[engines.size()];
    for (int event = 0; event < events; event++) {
      for (int i = 0; i < engines.size(); i++) {
        clocks[i] += USUAL_PAUSE_MILLIS * ratios[i];
        long arrivalMillis = Math.round(clocks[i] + 4 * random.nextDouble());
        samplers.get(i).recordEvents(1, engines.get(i), estimator, arrivalMillis);
        update(engines, arrivalMillis);
      }
    }
    update(engines, Long.MAX_VALUE / 4);
  }

  @Nested
  class Measured {

    /** Guards against engines at 0.7 and 1.7 of the usual time that count as equal. */
    @Test
    void enginesAtSevenTenthsAndSeventeenTenthsAreToldApart() {
      List<TrackedServer> engines = engines(29);
      double[] ratios = IntStream.range(0, 29).mapToDouble(ServerSpeedsTest::trueRatio).toArray();
      runStreams(engines, ratios, 300);
      assertTrue(speeds.isApplied());
      IntStream.range(0, 29)
          .forEach(
              number ->
                  assertEquals(
                      ratios[number], engines.get(number).speed().ratio(), 0.1 * ratios[number]));
    }

    /**
     * Guards against timings of the service that depend on which engines were measured, and against
     * ratios and timings that drift because each is derived from the other.
     */
    @Test
    void timingsOfTheServiceStayThoseOfTheMedianEngine() {
      List<TrackedServer> engines = engines(29);
      double[] ratios = IntStream.range(0, 29).mapToDouble(ServerSpeedsTest::trueRatio).toArray();
      runStreams(engines, ratios, 5_000);
      assertEquals(USUAL_PAUSE_MILLIS, estimator.timings().decodeStepMillis(), 3);
      assertEquals(1.7, engines.getFirst().speed().ratio(), 0.15);
      assertEquals(0.7, engines.get(2).speed().ratio(), 0.07);
    }

    /** Guards against noise that reorders engines of equal speed. */
    @Test
    void enginesOfNearlyEqualSpeedHaveARatioOfExactlyOne() {
      List<TrackedServer> engines = engines(29);
      double[] ratios =
          IntStream.range(0, 29).mapToDouble(number -> 0.96 + number * 0.003).toArray();
      runStreams(engines, ratios, 300);
      assertFalse(speeds.isApplied());
      assertTrue(engines.stream().allMatch(engine -> engine.speed().ratio() == 1));
    }

    /** Guards against engines that get less work because they have much of it. */
    @Test
    void anEngineWithMuchWorkIsNotLearnedAsSlow() {
      List<TrackedServer> engines = engines(9);
      // A full batch lengthens the decode steps.
      IntStream.range(0, 40)
          .forEach(request -> engines.getFirst().recordSent(request, PROMPT, 0, false, 0));
      double[] times = DoubleStream.generate(() -> 1).limit(9).toArray();
      times[0] = 1.8;
      runStreams(engines, times, 300);
      update(engines, Long.MAX_VALUE / 2);
      assertTrue(engines.stream().allMatch(engine -> engine.speed().ratio() == 1));
    }

    /** Guards against a slowdown of the moment that is taken for the engine's speed. */
    @Test
    void aStatedSlowdownDoesNotCountAsSpeed() {
      List<TrackedServer> engines = engines(9);
      for (int sample = 0; sample < 500; sample++) {
        for (int number = 0; number < 9; number++) {
          TrackedServer engine = engines.get(number);
          int percent = number == 0 ? 180 : 100;
          engine.recordMomentarySlowness(percent, sample);
          estimator.recordIdlePause(USUAL_PAUSE_MILLIS);
          engine.speed().recordIdlePause(USUAL_PAUSE_MILLIS * percent / 100, sample);
        }
      }
      update(engines, 1_000);
      assertEquals(1, engines.getFirst().speed().ratio());
    }
  }

  @Nested
  class Shared {

    private static void report(TrackedServer engine, double ratio, int samples) {
      engine.speed().updatePeer("peer" + samples, new SpeedReport(ratio, samples));
    }

    /** Guards against a gateway that spreads work by count until it has measured for itself. */
    @Test
    void aGatewayThatJustStartedKnowsTheSpeedsFromItsPeers() {
      List<TrackedServer> engines = engines(9);
      IntStream.range(0, 9).forEach(number -> report(engines.get(number), trueRatio(number), 200));
      update(engines, 0);
      assertEquals(1.7, engines.getFirst().speed().ratio(), 0.001);
      assertEquals(0.7, engines.get(2).speed().ratio(), 0.001);
    }

    /** Guards against a gateway with few samples that overrules one with many. */
    @Test
    void aReportCountsByItsSamples() {
      List<TrackedServer> engines = engines(3);
      engines.forEach(engine -> report(engine, 1, 200));
      report(engines.getFirst(), 8, 1);
      update(engines, 0);
      assertEquals(1, engines.getFirst().speed().ratio(), 0.05);
    }

    /** Guards against reports that no server can have. */
    @Test
    void impossibleReportsAreIgnored() {
      TrackedServer engine = engine(1);
      DoubleStream.of(Double.NaN, Double.POSITIVE_INFINITY, 0, -5, 1e12)
          .forEach(ratio -> report(engine, ratio, 100));
      report(engine, 1, -1);
      assertEquals(0, engine.speed().measuredSamples());
    }

    /** Guards against the speeds of all engines in each message to each peer. */
    @Test
    void anUnchangedRatioIsSentAgainOnlyForNewPeersOrAfterSomeTime() {
      ServerSpeed speed = engine(1).speed();
      speed.setOwn(0.4, 400);
      assertTrue(speed.takeReport(0).isPresent());
      speed.setOwn(0.41, 410);
      assertTrue(speed.takeReport(5_000).isEmpty());
      speed.peersAdded();
      assertTrue(speed.takeReport(5_600).isPresent());
      assertTrue(speed.takeReport(6_200).isEmpty());
      speed.setOwn(0.5, 420);
      assertTrue(speed.takeReport(6_800).isPresent());
      assertTrue(speed.takeReport(16_900).isPresent());
    }
  }

  @Nested
  class Reserved {

    /** Guards against slow engines that are reserved for streams with short pause targets. */
    @Test
    void enginesAreTheFastOnes() {
      List<TrackedServer> engines = engines(9);
      assertEquals(engines, speeds.slowLast(engines));
      assertEquals(3, speeds.serversForLoad(3));
      IntStream.range(0, 9)
          .forEach(number -> Shared.report(engines.get(number), trueRatio(number), 200));
      update(engines, 0);
      List<TrackedServer> order = speeds.slowLast(engines);
      assertTrue(order.subList(0, 6).stream().noneMatch(engine -> engine.speed().isSlow()));
      assertTrue(order.subList(6, 9).stream().allMatch(engine -> engine.speed().isSlow()));
      assertEquals(2, speeds.serversForLoad(1));
    }
  }

  @Nested
  class AfterARestart {

    /** Guards against a slow machine that gets the work of a fast one after each restart. */
    @Test
    void theRatioOfTheMachineIsKept() {
      List<TrackedServer> engines = engines(9);
      IntStream.range(0, 9)
          .forEach(
              number ->
                  engines
                      .get(number)
                      .speed()
                      .updatePeer("peer", new SpeedReport(trueRatio(number), 200)));
      update(engines, 0);
      TrackedServer slow = engines.getFirst();
      slow.updateEntry(
          new ServerEntry("e0", "pool", slow.entry().host(), 80, "north", SLOTS, false, 2));
      assertEquals(1.7, slow.speed().ratio(), 0.001);
      slow.updateEntry(new ServerEntry("e0", "pool", "10.0.1.1", 80, "north", SLOTS, false, 3));
      assertEquals(1, slow.speed().ratio());
    }
  }
}
