package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Placement and admission at engines that differ in speed. */
class SpeedPlacementTest {

  private static final long SEED = 3;
  private static final int SLOTS = 64;
  private static final int ENGINES = 12;
  private static final int GATEWAYS = 300;
  private static final RequestProfile SHORT_PROMPT = prompt(1_500);
  private static final RequestProfile LONG_PROMPT = prompt(20_000);

  private static RequestProfile prompt(int tokens) {
    return new RequestProfile(List.of(), tokens, 50, Rank.of(1), 1_000, 0);
  }

  private static List<TrackedServer> engines() {
    return IntStream.range(0, ENGINES)
        .mapToObj(
            number ->
                TrackedServer.of(
                    new ServerEntry(
                        "e" + number, "pool", "10.0.0.1", 80, "north", SLOTS, false, 1)))
        .toList();
  }

  /** Returns the ratio of an engine: a third of them at 1.7, at 1 and at 0.7 each. */
  private static double trueRatio(int number) {
    return number % 3 == 0 ? 1.7 : number % 3 == 1 ? 1 : 0.7;
  }

  private static void reportSpeeds(List<TrackedServer> engines) {
    IntStream.range(0, ENGINES)
        .forEach(
            number ->
                engines
                    .get(number)
                    .speed()
                    .updatePeer("peer", new SpeedReport(trueRatio(number), 200)));
  }

  private static EnginePlacementPolicy policy(long seed) {
    return EnginePlacementPolicy.of(TestEngines.denseModel(), "north", new SplittableRandom(seed));
  }

  private static Placement choose(
      EnginePlacementPolicy policy,
      RequestProfile profile,
      List<TrackedServer> engines,
      long nowMillis) {
    policy.requestArrived(profile, nowMillis);
    return policy.choose(profile, engines, engine -> false, nowMillis).orElseThrow();
  }

  /**
   * Engines that prefill their prompts one after another at their true speeds, fed by one gateway
   * in steps of 5 ms.
   */
  private static final class Burst {

    private static final int STEP_MILLIS = 5;

    private final List<TrackedServer> engines = engines();
    private final EnginePlacementPolicy policy = policy(SEED);
    private final List<Queue<Sent>> prompts =
        engines.stream().<Queue<Sent>>map(engine -> new ArrayDeque<>()).toList();
    private final double[] remainingMillis = new double[ENGINES];
    private final double[] busyMillis = new double[ENGINES];
    private final DispatchQueue<Waiting> waiting = DispatchQueue.empty();
    private final Random random = new Random(SEED);
    private int onTime;
    private int arrived;

    private record Waiting(long number, long arrivedMillis, RequestProfile profile)
        implements DispatchQueue.Entry {}

    private record Sent(Waiting request, Placement placement) {}

    /** Runs prompts that need the given number of median engines for the given time. */
    void run(double load, int millis, boolean urgent) {
      double prefillMillis = policy.estimator().timings().prefillMillis(6_000, 0);
      for (long now = 0; now < millis; now += STEP_MILLIS) {
        if (random.nextDouble() < load * STEP_MILLIS / prefillMillis) {
          RequestProfile profile = prompt(2_000 + random.nextInt(8_000));
          policy.requestArrived(profile, now);
          waiting.add(new Waiting(arrived++, now, profile));
        }
        dispatch(now, urgent);
        prefill(now);
      }
    }

    private void dispatch(long now, boolean urgent) {
      double queuedMillis = 0;
      for (Waiting request : waiting.inDispatchOrder(now)) {
        Placement placement =
            policy.choose(request.profile(), engines, engine -> false, now).orElseThrow();
        AdmissionDecision decision =
            EngineAdmission.decide(
                new EngineAdmission.AdmissionRequest(
                    request.profile(),
                    now - request.arrivedMillis(),
                    10_000,
                    false,
                    EngineAdmission.AdmissionRequest.ANY_DECODE_TIME),
                placement,
                queuedMillis,
                urgent);
        switch (decision) {
          case AdmissionDecision.Send send -> {
            waiting.remove(request);
            send(request, placement, now);
          }
          case AdmissionDecision.Wait wait -> queuedMillis += placement.prefillMillis() / ENGINES;
          case AdmissionDecision.Refuse refuse -> waiting.remove(request);
        }
      }
    }

    private void send(Waiting request, Placement placement, long now) {
      int number = engines.indexOf(placement.server());
      placement
          .server()
          .recordSent(request.number(), request.profile(), placement.prefillMillis(), false, now);
      prompts.get(number).add(new Sent(request, placement));
      if (prompts.get(number).size() == 1) {
        remainingMillis[number] = placement.prefillMillis() * trueRatio(number);
      }
    }

    private void prefill(long now) {
      for (int number = 0; number < ENGINES; number++) {
        Queue<Sent> queue = prompts.get(number);
        if (queue.isEmpty()) {
          continue;
        }
        busyMillis[number] += STEP_MILLIS;
        remainingMillis[number] -= STEP_MILLIS;
        if (remainingMillis[number] <= 0) {
          finish(number, queue.remove(), now);
          if (!queue.isEmpty()) {
            remainingMillis[number] =
                queue.element().placement().prefillMillis() * trueRatio(number);
          }
        }
      }
    }

    private void finish(int number, Sent prompt, long now) {
      Waiting request = prompt.request();
      TrackedServer engine = engines.get(number);
      engine.recordFirstEvent(request.number(), prompt.placement().expectedMillis(), now);
      engine.recordEnd(request.number());
      onTime += now - request.arrivedMillis() <= request.profile().latencyTargetMillis() ? 1 : 0;
    }

    double onTimeFraction() {
      return (double) onTime / arrived;
    }
  }

  @Nested
  class ABurst {

    private static final int MILLIS = 20_000;

    private static Burst run(double load, boolean urgent, boolean speedsKnown) {
      Burst burst = new Burst();
      if (speedsKnown) {
        reportSpeeds(burst.engines);
      }
      burst.run(load, MILLIS, urgent);
      return burst;
    }

    /** Guards against prompts that are late at slow engines while fast engines have room. */
    @Test
    void atEnginesBetweenSevenTenthsAndSeventeenTenthsIsServedOnTimeMoreOften() {
      for (boolean urgent : new boolean[] {true, false}) {
        assertTrue(run(11, urgent, true).onTimeFraction() > 0.98);
        double without = run(13, urgent, false).onTimeFraction();
        double with = run(13, urgent, true).onTimeFraction();
        assertTrue(with > without + 0.05, () -> with + " instead of " + without);
      }
    }

    /** Guards against slow engines that idle while prompts wait for fast ones. */
    @Test
    void keepsAlsoSlowEnginesBusy() {
      Burst burst = run(13, true, true);
      assertTrue(
          Arrays.stream(burst.busyMillis).allMatch(busyMillis -> busyMillis > 0.9 * MILLIS),
          () -> Arrays.toString(burst.busyMillis));
    }
  }

  @Nested
  class ALongAnswer {

    /** Guards against long answers that miss their deadlines at slow engines. */
    @Test
    void goesToAFastEngine() {
      RequestProfile longAnswer = new RequestProfile(List.of(), 300, 800, Rank.of(1), 1_000, 0);
      for (int gateway = 0; gateway < 50; gateway++) {
        List<TrackedServer> engines = engines();
        reportSpeeds(engines);
        Placement placement = choose(policy(gateway), longAnswer, engines, 0);
        assertEquals(0.7, placement.server().speed().ratio(), 0.01);
      }
    }
  }

  @Nested
  class ManyGateways {

    /** Guards against gateways that all choose the engine that seems fastest to all of them. */
    @Test
    void withTheSameStaleFiguresDoNotAllChooseTheSameEngine() {
      Map<String, Integer> chosen = new HashMap<>();
      for (int gateway = 0; gateway < GATEWAYS; gateway++) {
        List<TrackedServer> engines = engines();
        reportSpeeds(engines);
        engines.forEach(engine -> engine.recordMomentarySlowness(100, 0));
        Placement placement = choose(policy(gateway), SHORT_PROMPT, engines, 20);
        chosen.merge(placement.server().entry().id(), 1, Integer::sum);
      }
      assertTrue(
          chosen.values().stream().allMatch(count -> count < 0.3 * GATEWAYS), chosen::toString);
      assertTrue(chosen.size() >= ENGINES / 2, chosen::toString);
    }

    /** Guards against a rush to the one engine that stated a fast moment. */
    @Test
    void thatHeardOfOneFastMomentDoNotAllUseIt() {
      Map<String, Integer> chosen = new HashMap<>();
      for (int gateway = 0; gateway < GATEWAYS; gateway++) {
        List<TrackedServer> engines = engines();
        for (int number = 0; number < ENGINES; number++) {
          engines.get(number).recordPeerMomentarySlowness(number == 5 ? 80 : 100, 100, 1_000);
        }
        Placement placement = choose(policy(gateway), SHORT_PROMPT, engines, 1_000);
        chosen.merge(placement.server().entry().id(), 1, Integer::sum);
      }
      assertTrue(
          chosen.values().stream().allMatch(count -> count < 0.3 * GATEWAYS), chosen::toString);
    }
  }

  @Nested
  class AMomentarySlowdown {

    /** Guards against a long prompt that is started on a slowed engine while others are healthy. */
    @Test
    void keepsLongPromptsAwayWhileItIsFresh() {
      for (int slowed = 0; slowed < ENGINES; slowed++) {
        List<TrackedServer> engines = engines();
        engines.get(slowed).recordMomentarySlowness(200, 0);
        Placement placement = choose(policy(slowed), LONG_PROMPT, engines, 50);
        assertNotEquals(engines.get(slowed), placement.server());
      }
    }

    /** Guards against a stream at an engine whose slowdown breaks its pauses. */
    @Test
    void keepsStreamsAwayWhosePausesItWouldBreak() {
      RequestProfile stream = new RequestProfile(List.of(), 300, 50, Rank.of(1), 500, 340);
      EnginePlacementPolicy policy = policy(SEED);
      assertTrue(policy.estimator().timings().pauseMillis(Double.POSITIVE_INFINITY) < 0.8 * 340);
      List<TrackedServer> engines = engines();
      engines.stream().skip(1).forEach(engine -> engine.recordMomentarySlowness(170, 0));
      assertEquals(engines.getFirst(), choose(policy, stream, engines, 10).server());
    }

    /** Guards against an engine that gets nothing because it was slow a moment ago. */
    @Test
    void thatChangesManyTimesASecondKeepsNoEngineIdle() {
      List<TrackedServer> engines = engines();
      EnginePlacementPolicy policy = policy(SEED);
      Random random = new Random(SEED);
      Map<String, Integer> chosen = new HashMap<>();
      for (long now = 0; now < 12_000; now += 10) {
        for (TrackedServer engine : engines) {
          if (random.nextDouble() < 0.1) {
            engine.recordMomentarySlowness(random.nextBoolean() ? 180 : 90, now);
          }
        }
        Placement placement = choose(policy, SHORT_PROMPT, engines, now);
        chosen.merge(placement.server().entry().id(), 1, Integer::sum);
      }
      assertEquals(ENGINES, chosen.size());
      assertTrue(
          chosen.values().stream().allMatch(count -> count > 30 && count < 300), chosen::toString);
    }
  }

  @Nested
  class WithoutDifferences {

    /** Guards against random choices where engines are not known to differ. */
    @Test
    void theChoiceDoesNotDependOnTheGateway() {
      IntStream.range(0, 20)
          .forEach(
              gateway -> {
                List<TrackedServer> engines = engines();
                Placement first = choose(policy(0), LONG_PROMPT, engines, 0);
                assertEquals(
                    first.server(), choose(policy(gateway), LONG_PROMPT, engines, 0).server());
                assertEquals(1, first.speedFactor());
              });
    }
  }
}
