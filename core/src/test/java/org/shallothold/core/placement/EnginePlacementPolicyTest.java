package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;
import org.shallothold.core.route.RoutedService;

/** Which engine a request is placed at under different patterns of load. */
class EnginePlacementPolicyTest {

  private static final int SLOTS = 64;
  private static final long CACHE_TOKENS = 570_000;

  private final EnginePlacementPolicy policy =
      EnginePlacementPolicy.of(TestEngines.denseModel(), "north");
  private final List<TrackedServer> engines =
      IntStream.range(0, 6).mapToObj(EnginePlacementPolicyTest::engine).toList();

  private static boolean isExcluded(TrackedServer server) {
    return false;
  }

  private static TrackedServer engine(int number) {
    TrackedServer server =
        TrackedServer.of(
            new ServerEntry(
                "engine-" + number, "pool", "10.0.0." + number, 80, "north", SLOTS, false, 1));
    server.setCacheCapacityTokens(CACHE_TOKENS);
    return server;
  }

  /** Returns a request with a long shared part and a pause target that prefills don't break. */
  private static RequestProfile longPrompt(long sharedPartId, long request) {
    return new RequestProfile(
        List.of(new PromptPart(sharedPartId, 13_300), new PromptPart(1_000_000 + request, 3_700)),
        17_000,
        120,
        Rank.of(2),
        1_500,
        800);
  }

  /** Returns an urgent request with a short prompt and the shortest pause target. */
  private static RequestProfile shortPausePrompt(long request) {
    return new RequestProfile(
        List.of(new PromptPart(7, 350), new PromptPart(2_000_000 + request, 1_100)),
        1_450,
        170,
        Rank.of(0),
        300,
        200);
  }

  /** Returns an urgent request with a short prompt, a long answer and a pause target of 400 ms. */
  private static RequestProfile longAnswer(long request) {
    return new RequestProfile(
        List.of(new PromptPart(8, 200), new PromptPart(3_000_000 + request, 630)),
        830,
        290,
        Rank.of(0),
        800,
        400);
  }

  private Placement place(long number, RequestProfile profile, long nowMillis) {
    return place(policy, number, profile, nowMillis);
  }

  /** Records the arrival of a request, places it and sends it to the chosen engine. */
  private Placement place(
      EnginePlacementPolicy policyUnderTest, long number, RequestProfile profile, long nowMillis) {
    policyUnderTest.requestArrived(profile, nowMillis);
    Placement placement =
        policyUnderTest
            .choose(profile, engines, EnginePlacementPolicyTest::isExcluded, nowMillis)
            .orElseThrow();
    placement
        .server()
        .recordSent(
            number, profile, placement.prefillMillis(), placement.pauseSensitive(), nowMillis);
    return placement;
  }

  @Nested
  class SharedPromptParts {

    /** Guards against prefilling a shared part again at another engine. */
    @Test
    void arePlacedAtTheEngineThatCachesThem() {
      Placement first = place(1, longPrompt(5, 1), 0);
      first.server().recordFirstEvent(1, first.expectedMillis(), 300);
      first.server().recordEnd(1);
      Placement second = place(2, longPrompt(5, 2), 2_000);
      assertEquals(first.server(), second.server());
      assertEquals(13_300, second.cachedTokens());
    }

    /**
     * Guards against two engines prefilling a shared part because the first is busy for a moment.
     */
    @Test
    void waitForTheirEngineInsteadOfBeingPrefilledAgain() {
      Placement first = place(1, longPrompt(5, 1), 0);
      Placement second = place(2, longPrompt(5, 2), 50);
      assertEquals(first.server(), second.server());
    }

    /**
     * Guards against taking a part for cached after other prompts evicted it: in a burst the
     * unshared parts of prompts fill an engine's memory in a few seconds.
     */
    @Test
    void areEvictedByUnsharedParts() {
      TrackedServer engine = place(1, longPrompt(5, 1), 0).server();
      RequestProfile again = longPrompt(5, 2);
      assertEquals(13_300, engine.cachedTokens(again.chainHashes(), again));
      long prompts = CACHE_TOKENS / 3_700 + 1;
      LongStream.range(0, prompts)
          .forEach(
              number ->
                  engine.recordSent(100 + number, longPrompt(6, 100 + number), 50, false, number));
      assertEquals(0, engine.cachedTokens(again.chainHashes(), again));
    }

    /**
     * Guards against a cache estimate that ignores the prompts of peers, which evict cached parts
     * too.
     */
    @Test
    void areEvictedByPromptsOfPeers() {
      TrackedServer engine = place(1, longPrompt(5, 1), 0).server();
      RequestProfile again = longPrompt(5, 2);
      engine.updatePeerSentPrefillMillis("peer", 0, 1 / 61.8, 0);
      IntStream.rangeClosed(1, 200)
          .forEach(
              number ->
                  engine.updatePeerSentPrefillMillis("peer", number * 50.0, 1 / 61.8, number));
      assertEquals(0, engine.cachedTokens(again.chainHashes(), again));
    }

    /**
     * Guards against a burst of long prompts that spreads every shared part over all engines, so
     * that a quarter of the prefill work is repeated. A busy engine that caches the part is chosen
     * before an idle one that doesn't.
     */
    @Test
    void stayAtTheirEngineInABurst() {
      Placement first = place(1, longPrompt(5, 1), 0);
      first.server().recordFirstEvent(1, first.expectedMillis(), 300);
      LongStream.rangeClosed(2, 9)
          .forEach(
              number ->
                  assertEquals(first.server(), place(number, longPrompt(5, number), 400).server()));
    }

    /** Guards against gateways choosing different engines for a part that no engine caches yet. */
    @Test
    void arePlacedAtTheSameEngineByAllGateways() {
      EnginePlacementPolicy other = EnginePlacementPolicy.of(TestEngines.denseModel(), "north");
      RequestProfile profile = longPrompt(9, 1);
      assertEquals(
          policy
              .choose(profile, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server(),
          other
              .choose(profile, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server());
    }
  }

  @Nested
  class PauseSensitiveStreams {

    /** Guards against long prompts delaying the events of streams with a short pause target. */
    @Test
    void areKeptApartFromLongPrompts() {
      TrackedServer reservedEngine = place(1, shortPausePrompt(1), 0).server();
      IntStream.range(0, 30)
          .forEach(
              number ->
                  assertNotEquals(
                      reservedEngine,
                      place(100 + number, longPrompt(100 + number, number), 1).server()));
    }

    /**
     * Guards against too few reserved engines for a burst of short requests next to long prompts.
     */
    @Test
    void getMoreReservedEnginesInABurst() {
      LongStream.range(0, 4_000).filter(now -> now % 10 == 0).forEach(this::recordArrivals);
      int reservedBeforeBurst = policy.reservedEngineCount(6, 4_000);
      LongStream.range(4_000, 8_000).filter(now -> now % 5 == 0).forEach(this::recordArrivals);
      assertTrue(policy.reservedEngineCount(6, 8_000) > reservedBeforeBurst);
    }

    /**
     * Records a short request, and every 100 ms a long prompt, so that long prompts could fill all
     * engines.
     */
    private void recordArrivals(long now) {
      policy.requestArrived(shortPausePrompt(now), now);
      if (now % 100 == 0) {
        policy.requestArrived(longPrompt(now, now), now);
      }
    }
  }

  /** Engines without measured timings at the start of a burst of long prompts. */
  @Nested
  class UnmeasuredEngines {

    /**
     * Guards against long prompts sharing engines with the most sensitive streams before timings
     * are measured: every pause target is at risk then, and all requests were placed at the same
     * engines.
     */
    @Test
    void areReservedForTheMostSensitiveStreams() {
      EnginePlacementPolicy unmeasuredPolicy =
          EnginePlacementPolicy.of(EngineEstimator.create(), "north");
      unmeasuredPolicy.requestArrived(shortPausePrompt(1), 0);
      TrackedServer reservedEngine =
          unmeasuredPolicy
              .choose(shortPausePrompt(1), engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      LongStream.range(0, 20)
          .forEach(
              number -> {
                RequestProfile longPrompt = longPrompt(number, number);
                unmeasuredPolicy.requestArrived(longPrompt, 1);
                Placement placement =
                    unmeasuredPolicy
                        .choose(longPrompt, engines, EnginePlacementPolicyTest::isExcluded, 1)
                        .orElseThrow();
                assertNotEquals(reservedEngine, placement.server());
                assertFalse(placement.pauseSensitive());
              });
    }
  }

  /**
   * A burst of long prompts whose shared parts no engine caches yet, next to pause-sensitive
   * streams.
   */
  @Nested
  class BurstOfUncachedPrompts {

    private RequestProfile uncachedPrompt(long request, int ownTokens) {
      return new RequestProfile(
          List.of(
              new PromptPart(500 + request, 5_400), new PromptPart(4_000_000 + request, ownTokens)),
          5_400 + ownTokens,
          380,
          Rank.of(2),
          2_500,
          1_500);
    }

    /**
     * Guards against engines that stay idle for pause-sensitive streams while the others prefill
     * without interruption: prompts that leave enough of the shortest pause target use reserved
     * engines too.
     */
    @Test
    void usesReservedEnginesForPromptsThatLeaveEnoughOfThePauseTarget() {
      EnginePlacementPolicy policyUnderTest =
          EnginePlacementPolicy.of(TestEngines.mixtureOfExperts(), "north");
      place(policyUnderTest, 1, longAnswer(1), 0);
      long used =
          LongStream.range(0, 12)
              .mapToObj(
                  number ->
                      place(policyUnderTest, 10 + number, uncachedPrompt(number, 5_400), 1)
                          .server())
              .distinct()
              .count();
      assertEquals(engines.size(), used);
    }

    /** Guards against a prompt that alone breaks the pause targets of the streams at its engine. */
    @Test
    void keepsTheLongestPromptsOffReservedEngines() {
      EnginePlacementPolicy policyUnderTest =
          EnginePlacementPolicy.of(TestEngines.mixtureOfExperts(), "north");
      TrackedServer streamEngine = place(policyUnderTest, 1, longAnswer(1), 0).server();
      LongStream.range(0, 12)
          .forEach(
              number ->
                  assertNotEquals(
                      streamEngine,
                      place(policyUnderTest, 10 + number, uncachedPrompt(number, 30_000), 1)
                          .server()));
    }

    /**
     * Guards against taking pause targets for safe because each prompt is short: consecutive
     * prompts are prefilled without interruption, and streams were not kept apart for ten seconds.
     */
    @Test
    void putsPauseTargetsAtRiskUntilGapsAreMeasured() {
      EnginePlacementPolicy unmeasuredPolicy =
          EnginePlacementPolicy.of(EngineEstimator.create(), "north");
      LongStream.range(0, 40)
          .forEach(number -> unmeasuredPolicy.requestArrived(uncachedPrompt(number, 600), number));
      assertTrue(place(unmeasuredPolicy, 1, longAnswer(1), 50).pauseSensitive());
    }

    /**
     * Guards against streams that share engines with long prompts when these need more engines:
     * streams are placed at the reserved engines that are released last.
     */
    @Test
    void keepsStreamsAtTheirEngineWhenFewerAreReserved() {
      EnginePlacementPolicy policyUnderTest =
          EnginePlacementPolicy.of(TestEngines.mixtureOfExperts(), "north");
      TrackedServer streamEngine = place(policyUnderTest, 1, longAnswer(1), 0).server();
      LongStream.range(0, 40)
          .forEach(number -> policyUnderTest.requestArrived(uncachedPrompt(number, 30_000), 10));
      assertTrue(policyUnderTest.reservedEngineCount(engines.size(), 10) < engines.size() - 1);
      assertEquals(streamEngine, place(policyUnderTest, 2, longAnswer(2), 20).server());
    }
  }

  /** Engines that fetch cached parts from each other much faster than they prefill them. */
  @Nested
  class Transfers {

    private static final double MILLIS_PER_TOKEN = 0.005;

    private EnginePlacementPolicy policyWithTransfers(double transferMillisPerToken) {
      EngineEstimator estimator = TestEngines.denseModel();
      estimator.configure(
          new RoutedService("pool", 100, true, CACHE_TOKENS, 5, transferMillisPerToken));
      return EnginePlacementPolicy.of(estimator, "north");
    }

    /** Makes the engine that caches the part so busy that another one is chosen. */
    private Placement placeWhenTheCachingEngineIsBusy(EnginePlacementPolicy policyUnderTest) {
      RequestProfile first = longPrompt(5, 1);
      TrackedServer cachingEngine =
          policyUnderTest
              .choose(first, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cachingEngine.recordSent(1, first, 300, false, 0);
      LongStream.range(10, 20)
          .forEach(
              number ->
                  cachingEngine.recordSent(number, longPrompt(number, number), 300, false, 0));
      Placement second =
          policyUnderTest
              .choose(longPrompt(5, 2), engines, EnginePlacementPolicyTest::isExcluded, 1)
              .orElseThrow();
      assertNotEquals(cachingEngine, second.server());
      return second;
    }

    /** Guards against a burst in which each engine prefills the shared parts again. */
    @Test
    void replaceAnotherPrefillOfASharedPart() {
      Placement placement = placeWhenTheCachingEngineIsBusy(policyWithTransfers(MILLIS_PER_TOKEN));
      assertNotNull(placement.cacheSource());
      assertEquals(13_300, placement.cachedTokens());
      assertTrue(placement.prefillMillis() < 180, "prefill takes " + placement.prefillMillis());
    }

    /** Guards against a short part that every engine prefills although one of them caches it. */
    @Test
    void replaceAnotherPrefillOfAShortPart() {
      EnginePlacementPolicy policyUnderTest = policyWithTransfers(MILLIS_PER_TOKEN);
      TrackedServer cachingEngine =
          policyUnderTest
              .choose(shortPausePrompt(1), engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cachingEngine.recordSent(1, shortPausePrompt(1), 25, true, 0);
      LongStream.range(10, 20)
          .forEach(
              number ->
                  cachingEngine.recordSent(number, longPrompt(number, number), 300, false, 0));
      Placement second =
          policyUnderTest
              .choose(shortPausePrompt(2), engines, EnginePlacementPolicyTest::isExcluded, 1)
              .orElseThrow();
      assertEquals(cachingEngine, second.cacheSource());
    }

    /**
     * Guards against a burst in which copies of shared parts evict each other: the second request
     * waits for a short backlog of the engine that caches its part, and goes elsewhere with a copy
     * if the backlog is long.
     */
    @Test
    void areNotUsedToAvoidAShortBacklog() {
      EnginePlacementPolicy policyUnderTest = policyWithTransfers(MILLIS_PER_TOKEN / 10);
      RequestProfile first = longPrompt(5, 1);
      TrackedServer cachingEngine =
          policyUnderTest
              .choose(first, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cachingEngine.recordSent(1, first, 200, false, 0);
      assertEquals(
          cachingEngine,
          policyUnderTest
              .choose(longPrompt(5, 2), engines, EnginePlacementPolicyTest::isExcluded, 1)
              .orElseThrow()
              .server());
      cachingEngine.recordSent(2, longPrompt(9, 3), 600, false, 1);
      assertNotEquals(
          cachingEngine,
          policyUnderTest
              .choose(longPrompt(5, 4), engines, EnginePlacementPolicyTest::isExcluded, 2)
              .orElseThrow()
              .server());
    }

    /** Guards against transfers that take as long as a prefill. */
    @Test
    void areNotUsedWhenTheyAreSlow() {
      assertNull(placeWhenTheCachingEngineIsBusy(policyWithTransfers(0.03)).cacheSource());
      assertNull(
          placeWhenTheCachingEngineIsBusy(policyWithTransfers(RoutedService.NO_TRANSFER))
              .cacheSource());
    }

    /** Guards against a transfer from an unreachable engine. */
    @Test
    void areNotRequestedFromUnreachableEngines() {
      EnginePlacementPolicy policyUnderTest = policyWithTransfers(MILLIS_PER_TOKEN);
      RequestProfile first = longPrompt(5, 1);
      TrackedServer cachingEngine =
          policyUnderTest
              .choose(first, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cachingEngine.recordSent(1, first, 300, false, 0);
      cachingEngine.recordUnreachable(1);
      assertNull(
          policyUnderTest
              .choose(longPrompt(5, 2), engines, EnginePlacementPolicyTest::isExcluded, 2)
              .orElseThrow()
              .cacheSource());
    }
  }

  /**
   * Engines with prefill chunks so long that they break pause targets that other engines meet, and
   * many streams with such a target and short prompts.
   */
  @Nested
  class LongPrefillChunks {

    private final EnginePlacementPolicy policy =
        EnginePlacementPolicy.of(TestEngines.mixtureOfExperts(), "north");

    private TrackedServer placeAt(long number, RequestProfile profile, long nowMillis) {
      return place(policy, number, profile, nowMillis).server();
    }

    /**
     * Guards against the most urgent streams sharing engines with long prompts: on a day with
     * bursts 43 of 100 were overdue, since their pause target of 400 ms counted as safe.
     */
    @Test
    void separateStreamsWhosePauseTargetsTheyBreak() {
      TrackedServer reservedEngine = placeAt(1, longAnswer(1), 0);
      LongStream.range(0, 30)
          .forEach(
              number ->
                  assertNotEquals(
                      reservedEngine, placeAt(100 + number, longPrompt(100 + number, number), 1)));
    }

    /** Guards against engines reserved for streams whose pause targets are met anyway. */
    @Test
    void doNotSeparateStreamsWithLongPauseTargets() {
      RequestProfile longPrompt = longPrompt(1, 1);
      policy.requestArrived(longPrompt, 0);
      Placement placement =
          policy
              .choose(longPrompt, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow();
      assertFalse(placement.pauseSensitive());
      assertEquals(0, policy.reservedEngineCount(engines.size(), 0));
    }

    /**
     * Guards against a single engine being reserved for as many streams as fill its slots: their
     * prompts are short, but their answers are long.
     */
    @Test
    void reserveEnginesForAllOpenStreams() {
      LongStream.range(0, 2 * SLOTS)
          .forEach(
              number -> {
                TrackedServer server = placeAt(number, longAnswer(number), number * 20);
                server.recordFirstEvent(number, 20, number * 20 + 20);
              });
      assertTrue(policy.reservedEngineCount(engines.size(), 2 * SLOTS * 20) >= 4);
    }
  }

  @Nested
  class Backlog {

    /**
     * Guards against estimates that were too high keeping work away for seconds from an engine that
     * has prefilled all its prompts.
     */
    @Test
    void endsSoonAfterAllPrefills() {
      TrackedServer engine = engines.getFirst();
      LongStream.range(0, 10)
          .forEach(number -> engine.recordSent(number, longPrompt(number, number), 300, false, 0));
      assertTrue(engine.backlogMillis(0) >= 2_000);
      LongStream.range(0, 10).forEach(number -> engine.recordFirstEvent(number, 300, 500));
      assertTrue(engine.backlogMillis(500) <= 100);
    }
  }

  @Nested
  class Stragglers {

    /**
     * Guards against taking load for slowness, which moved prompts away from the engines that
     * cached them.
     */
    @Test
    void areNotDetectedWhenAllEnginesAreSlowUnderLoad() {
      Placement first = place(1, longPrompt(5, 1), 0);
      engines.forEach(
          engine ->
              IntStream.range(0, 20)
                  .forEach(
                      number -> {
                        RequestProfile profile = longPrompt(900 + number, number);
                        long key = 10_000L + number;
                        engine.recordSent(key, profile, 0, false, 0);
                        engine.recordFirstEvent(key, 100, 1_000);
                        engine.recordEnd(key);
                      }));
      first.server().recordEnd(1);
      assertEquals(first.server(), place(2, longPrompt(5, 2), 5_000).server());
    }

    /**
     * Guards against sending more requests to an engine that is many times slower than the others.
     */
    @Test
    void receiveNoNewWorkWhileOthersAreIdle() {
      Placement first = place(1, longPrompt(5, 1), 0);
      first.server().recordEnd(1);
      IntStream.range(0, 20)
          .forEach(
              number -> {
                first.server().recordSent(100 + number, shortPausePrompt(number), 0, true, 0);
                first.server().recordFirstEvent(100 + number, 50, 2_000);
                first.server().recordEnd(100 + number);
              });
      assertNotEquals(first.server(), place(2, longPrompt(6, 2), 5_000).server());
    }

    /** Guards against new work for an unreachable engine. */
    @Test
    void thatAreUnreachableAreExcluded() {
      Placement first = place(1, longPrompt(5, 1), 0);
      first.server().recordUnreachable(10);
      assertNotEquals(first.server(), place(2, longPrompt(5, 2), 20).server());
    }
  }
}
