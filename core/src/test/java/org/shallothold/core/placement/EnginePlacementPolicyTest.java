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

/** Which engine a request goes to, by the pattern of load. */
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
    TrackedServer model =
        TrackedServer.of(
            new ServerEntry(
                "engine-" + number, "pool", "10.0.0." + number, 80, "north", SLOTS, false, 1));
    model.setCacheCapacityTokens(CACHE_TOKENS);
    return model;
  }

  private static RequestProfile digest(long sharedPart, long request) {
    return new RequestProfile(
        List.of(new PromptPart(sharedPart, 13_300), new PromptPart(1_000_000 + request, 3_700)),
        17_000,
        120,
        Rank.of(2),
        1_500,
        800);
  }

  private static RequestProfile query(long request) {
    return new RequestProfile(
        List.of(new PromptPart(7, 350), new PromptPart(2_000_000 + request, 1_100)),
        1_450,
        170,
        Rank.of(0),
        300,
        200);
  }

  private static RequestProfile member(long request) {
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

  private Placement place(
      EnginePlacementPolicy chooser, long number, RequestProfile profile, long nowMillis) {
    chooser.requestArrived(profile, nowMillis);
    Placement placement =
        chooser
            .choose(profile, engines, EnginePlacementPolicyTest::isExcluded, nowMillis)
            .orElseThrow();
    placement
        .server()
        .recordSent(
            number, profile, placement.prefillMillis(), placement.pauseSensitive(), nowMillis);
    return placement;
  }

  @Nested
  class SharedParts {

    /** Guards against reading a shared part again at another engine. */
    @Test
    void goToTheEngineThatReadThem() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().recordFirstEvent(1, first.expectedMillis(), 300);
      first.server().recordEnd(1);
      Placement second = place(2, digest(5, 2), 2_000);
      assertEquals(first.server(), second.server());
      assertEquals(13_300, second.cachedTokens());
    }

    /** Guards against two engines reading a shared part since its engine is busy for a moment. */
    @Test
    void waitForTheirEngineRatherThanBeReadAgain() {
      Placement first = place(1, digest(5, 1), 0);
      Placement second = place(2, digest(5, 2), 50);
      assertEquals(first.server(), second.server());
    }

    /**
     * Guards against taking a part for cached after other prompts displaced it: under a burst the
     * prompts' own parts fill an engine's memory in some seconds.
     */
    @Test
    void areDisplacedByThePromptsOwnParts() {
      TrackedServer engine = place(1, digest(5, 1), 0).server();
      RequestProfile again = digest(5, 2);
      assertEquals(13_300, engine.cachedTokens(again.chainHashes(), again));
      long prompts = CACHE_TOKENS / 3_700 + 1;
      LongStream.range(0, prompts)
          .forEach(
              number ->
                  engine.recordSent(100 + number, digest(6, 100 + number), 50, false, number));
      assertEquals(0, engine.cachedTokens(again.chainHashes(), again));
    }

    /** Guards against forgetting that peers' prompts displace cached parts too. */
    @Test
    void areDisplacedByWhatPeersSend() {
      TrackedServer engine = place(1, digest(5, 1), 0).server();
      RequestProfile again = digest(5, 2);
      engine.updatePeerSentPrefillMillis("peer", 0, 1 / 61.8, 0);
      IntStream.rangeClosed(1, 200)
          .forEach(
              number ->
                  engine.updatePeerSentPrefillMillis("peer", number * 50.0, 1 / 61.8, number));
      assertEquals(0, engine.cachedTokens(again.chainHashes(), again));
    }

    /**
     * Guards against a burst of long prompts that spreads every shared part over all engines, so
     * that a quarter of what they read was read before: a busy engine that caches the part is taken
     * before an idle one that doesn't.
     */
    @Test
    void areNotSpreadByABurst() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().recordFirstEvent(1, first.expectedMillis(), 300);
      LongStream.rangeClosed(2, 9)
          .forEach(
              number ->
                  assertEquals(first.server(), place(number, digest(5, number), 400).server()));
    }

    /** Guards against gateways choosing different engines for a part that nobody has read. */
    @Test
    void areReadAtTheSameEngineByAllGateways() {
      EnginePlacementPolicy other = EnginePlacementPolicy.of(TestEngines.denseModel(), "north");
      RequestProfile profile = digest(9, 1);
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
  class ShortPauses {

    /** Guards against long prompts delaying the events of streams with a short pause target. */
    @Test
    void areKeptApartFromLongPrompts() {
      TrackedServer reservedEngine = place(1, query(1), 0).server();
      IntStream.range(0, 30)
          .forEach(
              number ->
                  assertNotEquals(
                      reservedEngine,
                      place(100 + number, digest(100 + number, number), 1).server()));
    }

    /**
     * Guards against a lane that is too small for a burst of short requests beside long prompts.
     */
    @Test
    void getMoreEnginesInABurst() {
      LongStream.range(0, 4_000).filter(now -> now % 10 == 0).forEach(this::arriveAt);
      int calm = policy.reservedEngineCount(6, 4_000);
      LongStream.range(4_000, 8_000).filter(now -> now % 5 == 0).forEach(this::arriveAt);
      assertTrue(policy.reservedEngineCount(6, 8_000) > calm);
    }

    /** A query, and every tenth of a second a digest, so that digests could fill all engines. */
    private void arriveAt(long now) {
      policy.requestArrived(query(now), now);
      if (now % 100 == 0) {
        policy.requestArrived(digest(now, now), now);
      }
    }
  }

  /** Nothing is known of the engines yet, and a burst of long prompts begins. */
  @Nested
  class UnknownEngines {

    /**
     * Guards against long prompts sharing engines with the most sensitive streams until the engines
     * are known: every pause target is at risk then, and all went to the same engines.
     */
    @Test
    void keepTheMostSensitiveStreamsApart() {
      EnginePlacementPolicy fresh = EnginePlacementPolicy.of(EngineEstimator.create(), "north");
      fresh.requestArrived(query(1), 0);
      TrackedServer kept =
          fresh
              .choose(query(1), engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      LongStream.range(0, 20)
          .forEach(
              number -> {
                RequestProfile digest = digest(number, number);
                fresh.requestArrived(digest, 1);
                Placement placement =
                    fresh
                        .choose(digest, engines, EnginePlacementPolicyTest::isExcluded, 1)
                        .orElseThrow();
                assertNotEquals(kept, placement.server());
                assertFalse(placement.pauseSensitive());
              });
    }
  }

  /** A burst of long prompts whose shared parts no engine caches yet, beside short pauses. */
  @Nested
  class ColdBurst {

    private RequestProfile draft(long request, int ownTokens) {
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
     * Guards against engines that stand idle for the sake of short pauses while the others read
     * without a break: prompts that leave room in the shortest target go there too.
     */
    @Test
    void usesAllEnginesForPromptsThatFit() {
      EnginePlacementPolicy chooser = EnginePlacementPolicy.of(TestEngines.longChunks(), "north");
      place(chooser, 1, member(1), 0);
      long used =
          LongStream.range(0, 12)
              .mapToObj(number -> place(chooser, 10 + number, draft(number, 5_400), 1).server())
              .distinct()
              .count();
      assertEquals(engines.size(), used);
    }

    /** Guards against a prompt that alone breaks the pauses of the streams beside it. */
    @Test
    void keepsTheLongestPromptsToOtherEngines() {
      EnginePlacementPolicy chooser = EnginePlacementPolicy.of(TestEngines.longChunks(), "north");
      TrackedServer streams = place(chooser, 1, member(1), 0).server();
      LongStream.range(0, 12)
          .forEach(
              number ->
                  assertNotEquals(
                      streams, place(chooser, 10 + number, draft(number, 30_000), 1).server()));
    }

    /**
     * Guards against taking pauses for safe since each prompt is short: prompts that follow each
     * other are read without a break. Nothing kept the streams apart for ten seconds.
     */
    @Test
    void putsPausesAtRiskUntilTheirBoundIsKnown() {
      EnginePlacementPolicy fresh = EnginePlacementPolicy.of(EngineEstimator.create(), "north");
      LongStream.range(0, 40).forEach(number -> fresh.requestArrived(draft(number, 600), number));
      assertTrue(place(fresh, 1, member(1), 50).pauseSensitive());
    }

    /**
     * Guards against streams that find themselves among long prompts when these need more engines:
     * they gather where the lane ends last.
     */
    @Test
    void leavesTheStreamsTheirEnginesWhenTheLaneShrinks() {
      EnginePlacementPolicy chooser = EnginePlacementPolicy.of(TestEngines.longChunks(), "north");
      TrackedServer streams = place(chooser, 1, member(1), 0).server();
      LongStream.range(0, 40).forEach(number -> chooser.requestArrived(draft(number, 30_000), 10));
      assertTrue(chooser.reservedEngineCount(engines.size(), 10) < engines.size() - 1);
      assertEquals(streams, place(chooser, 2, member(2), 20).server());
    }
  }

  /** Engines that get cached parts from each other much faster than they read them. */
  @Nested
  class Transfers {

    private static final double MILLIS_PER_TOKEN = 0.005;

    private EnginePlacementPolicy policyWithTransfers(double transferMillisPerToken) {
      EngineEstimator known = TestEngines.denseModel();
      known.configure(
          new RoutedService("pool", 100, true, CACHE_TOKENS, 5, transferMillisPerToken));
      return EnginePlacementPolicy.of(known, "north");
    }

    /** Makes the engine that caches the part so busy that another one is chosen. */
    private Placement placeBesideABusyEngine(EnginePlacementPolicy chooser) {
      RequestProfile first = digest(5, 1);
      TrackedServer cached =
          chooser
              .choose(first, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cached.recordSent(1, first, 300, false, 0);
      LongStream.range(10, 20)
          .forEach(number -> cached.recordSent(number, digest(number, number), 300, false, 0));
      Placement second =
          chooser
              .choose(digest(5, 2), engines, EnginePlacementPolicyTest::isExcluded, 1)
              .orElseThrow();
      assertNotEquals(cached, second.server());
      return second;
    }

    /** Guards against a burst in which shared parts are read again at each engine. */
    @Test
    void replaceReadingAPartAgain() {
      Placement placement = placeBesideABusyEngine(policyWithTransfers(MILLIS_PER_TOKEN));
      assertNotNull(placement.cacheSource());
      assertEquals(13_300, placement.cachedTokens());
      assertTrue(placement.prefillMillis() < 180, "reads for " + placement.prefillMillis());
    }

    /** Guards against a short part that every engine reads, though one of them caches it. */
    @Test
    void replaceReadingAShortPartAgain() {
      EnginePlacementPolicy chooser = policyWithTransfers(MILLIS_PER_TOKEN);
      TrackedServer cached =
          chooser
              .choose(query(1), engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cached.recordSent(1, query(1), 25, true, 0);
      LongStream.range(10, 20)
          .forEach(number -> cached.recordSent(number, digest(number, number), 300, false, 0));
      Placement second =
          chooser.choose(query(2), engines, EnginePlacementPolicyTest::isExcluded, 1).orElseThrow();
      assertEquals(cached, second.cacheSource());
    }

    /** Guards against transfers that take as long as reading. */
    @Test
    void areNotUsedWhenTheyAreSlow() {
      assertNull(placeBesideABusyEngine(policyWithTransfers(0.03)).cacheSource());
      assertNull(
          placeBesideABusyEngine(policyWithTransfers(RoutedService.NO_TRANSFER)).cacheSource());
    }

    /** Guards against a transfer from an engine that can't be reached. */
    @Test
    void areNotAskedOfEnginesOutOfReach() {
      EnginePlacementPolicy chooser = policyWithTransfers(MILLIS_PER_TOKEN);
      RequestProfile first = digest(5, 1);
      TrackedServer cached =
          chooser
              .choose(first, engines, EnginePlacementPolicyTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cached.recordSent(1, first, 300, false, 0);
      cached.recordUnreachable(1);
      assertNull(
          chooser
              .choose(digest(5, 2), engines, EnginePlacementPolicyTest::isExcluded, 2)
              .orElseThrow()
              .cacheSource());
    }
  }

  /**
   * Engines whose chunks are so long that reading breaks pause targets which are met elsewhere,
   * with many streams of such a target that hardly read anything.
   */
  @Nested
  class LongChunks {

    private final EnginePlacementPolicy policy =
        EnginePlacementPolicy.of(TestEngines.longChunks(), "north");

    private TrackedServer placeAt(long number, RequestProfile profile, long nowMillis) {
      return place(policy, number, profile, nowMillis).server();
    }

    /**
     * Guards against the most urgent streams sharing engines with long prompts: 43 of 100 were late
     * on a day with bursts, since their pauses of 400 ms counted as safe.
     */
    @Test
    void keepStreamsApartWhosePausesTheyBreak() {
      TrackedServer reservedEngine = placeAt(1, member(1), 0);
      LongStream.range(0, 30)
          .forEach(
              number ->
                  assertNotEquals(
                      reservedEngine, placeAt(100 + number, digest(100 + number, number), 1)));
    }

    /** Guards against engines kept for streams whose pauses hold anyway. */
    @Test
    void doNotKeepStreamsApartThatBearThem() {
      RequestProfile digest = digest(1, 1);
      policy.requestArrived(digest, 0);
      Placement placement =
          policy.choose(digest, engines, EnginePlacementPolicyTest::isExcluded, 0).orElseThrow();
      assertFalse(placement.pauseSensitive());
      assertEquals(0, policy.reservedEngineCount(engines.size(), 0));
    }

    /**
     * Guards against one engine kept for as many streams as fill its slots: they read little, but
     * their answers are long.
     */
    @Test
    void keepEnginesForAllOpenStreams() {
      LongStream.range(0, 2 * SLOTS)
          .forEach(
              number -> {
                TrackedServer server = placeAt(number, member(number), number * 20);
                server.recordFirstEvent(number, 20, number * 20 + 20);
              });
      assertTrue(policy.reservedEngineCount(engines.size(), 2 * SLOTS * 20) >= 4);
    }
  }

  @Nested
  class Backlog {

    /**
     * Guards against estimates that were too high keeping work away for seconds from an engine
     * whose requests have all begun.
     */
    @Test
    void endsSoonAfterAllPromptsAreRead() {
      TrackedServer engine = engines.getFirst();
      LongStream.range(0, 10)
          .forEach(number -> engine.recordSent(number, digest(number, number), 300, false, 0));
      assertTrue(engine.backlogMillis(0) >= 2_000);
      LongStream.range(0, 10).forEach(number -> engine.recordFirstEvent(number, 300, 500));
      assertTrue(engine.backlogMillis(500) <= 100);
    }
  }

  @Nested
  class Stragglers {

    /** Guards against load being taken for slowness, which moved prompts off their caches. */
    @Test
    void areNotSeenWhenAllEnginesAreSlowUnderLoad() {
      Placement first = place(1, digest(5, 1), 0);
      engines.forEach(
          engine ->
              IntStream.range(0, 20)
                  .forEach(
                      number -> {
                        RequestProfile profile = digest(900 + number, number);
                        long key = 10_000L + number;
                        engine.recordSent(key, profile, 0, false, 0);
                        engine.recordFirstEvent(key, 100, 1_000);
                        engine.recordEnd(key);
                      }));
      first.server().recordEnd(1);
      assertEquals(first.server(), place(2, digest(5, 2), 5_000).server());
    }

    /** Guards against sending more to an engine that is many times slower than its peers. */
    @Test
    void getNoNewWorkWhileOthersAreFree() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().recordEnd(1);
      IntStream.range(0, 20)
          .forEach(
              number -> {
                first.server().recordSent(100 + number, query(number), 0, true, 0);
                first.server().recordFirstEvent(100 + number, 50, 2_000);
                first.server().recordEnd(100 + number);
              });
      assertNotEquals(first.server(), place(2, digest(6, 2), 5_000).server());
    }

    /** Guards against new work for an engine that fell silent. */
    @Test
    void thatCannotBeReachedAreLeftOut() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().recordUnreachable(10);
      assertNotEquals(first.server(), place(2, digest(5, 2), 20).server());
    }
  }
}
