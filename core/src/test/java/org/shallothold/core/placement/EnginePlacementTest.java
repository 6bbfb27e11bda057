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
class EnginePlacementTest {

  private static final int SLOTS = 64;
  private static final long CACHE_TOKENS = 570_000;

  private final EnginePlacement policy = EnginePlacement.of(TestEngines.denseModel(), "north");
  private final List<ServerModel> engines =
      IntStream.range(0, 6).mapToObj(EnginePlacementTest::engine).toList();

  private static boolean isExcluded(ServerModel server) {
    return false;
  }

  private static ServerModel engine(int number) {
    ServerModel model =
        ServerModel.of(
            new ServerEntry(
                "engine-" + number, "pool", "10.0.0." + number, 80, "north", SLOTS, false, 1));
    model.cacheCapacity(CACHE_TOKENS);
    return model;
  }

  private static Work digest(long sharedPart, long request) {
    return new Work(
        List.of(new PromptPart(sharedPart, 13_300), new PromptPart(1_000_000 + request, 3_700)),
        17_000,
        120,
        Rank.of(2),
        1_500,
        800);
  }

  private static Work query(long request) {
    return new Work(
        List.of(new PromptPart(7, 350), new PromptPart(2_000_000 + request, 1_100)),
        1_450,
        170,
        Rank.of(0),
        300,
        200);
  }

  private static Work member(long request) {
    return new Work(
        List.of(new PromptPart(8, 200), new PromptPart(3_000_000 + request, 630)),
        830,
        290,
        Rank.of(0),
        800,
        400);
  }

  private Placement place(long number, Work work, long nowMillis) {
    return place(policy, number, work, nowMillis);
  }

  private Placement place(EnginePlacement chooser, long number, Work work, long nowMillis) {
    chooser.requestArrived(work, nowMillis);
    Placement placement =
        chooser.choose(work, engines, EnginePlacementTest::isExcluded, nowMillis).orElseThrow();
    placement.server().sent(number, work, placement.readMillis(), placement.tight(), nowMillis);
    return placement;
  }

  @Nested
  class SharedParts {

    /** Guards against reading a shared part again at another engine. */
    @Test
    void goToTheEngineThatReadThem() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().started(1, first.expectedMillis(), 300);
      first.server().ended(1);
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
      ServerModel engine = place(1, digest(5, 1), 0).server();
      Work again = digest(5, 2);
      assertEquals(13_300, engine.cachedTokens(again.chain(), again));
      long prompts = CACHE_TOKENS / 3_700 + 1;
      LongStream.range(0, prompts)
          .forEach(number -> engine.sent(100 + number, digest(6, 100 + number), 50, false, number));
      assertEquals(0, engine.cachedTokens(again.chain(), again));
    }

    /** Guards against forgetting that peers' prompts displace cached parts too. */
    @Test
    void areDisplacedByWhatPeersSend() {
      ServerModel engine = place(1, digest(5, 1), 0).server();
      Work again = digest(5, 2);
      engine.peerSentReadMillis("peer", 0, 1 / 61.8, 0);
      IntStream.rangeClosed(1, 200)
          .forEach(number -> engine.peerSentReadMillis("peer", number * 50.0, 1 / 61.8, number));
      assertEquals(0, engine.cachedTokens(again.chain(), again));
    }

    /**
     * Guards against a burst of long prompts that spreads every shared part over all engines, so
     * that a quarter of what they read was read before: a busy engine that caches the part is taken
     * before an idle one that doesn't.
     */
    @Test
    void areNotSpreadByABurst() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().started(1, first.expectedMillis(), 300);
      LongStream.rangeClosed(2, 9)
          .forEach(
              number ->
                  assertEquals(first.server(), place(number, digest(5, number), 400).server()));
    }

    /** Guards against gateways choosing different engines for a part that nobody has read. */
    @Test
    void areReadAtTheSameEngineByAllGateways() {
      EnginePlacement other = EnginePlacement.of(TestEngines.denseModel(), "north");
      Work work = digest(9, 1);
      assertEquals(
          policy.choose(work, engines, EnginePlacementTest::isExcluded, 0).orElseThrow().server(),
          other.choose(work, engines, EnginePlacementTest::isExcluded, 0).orElseThrow().server());
    }
  }

  @Nested
  class ShortPauses {

    /** Guards against long prompts delaying the events of streams with a short pause target. */
    @Test
    void areKeptApartFromLongPrompts() {
      ServerModel lane = place(1, query(1), 0).server();
      IntStream.range(0, 30)
          .forEach(
              number ->
                  assertNotEquals(
                      lane, place(100 + number, digest(100 + number, number), 1).server()));
    }

    /**
     * Guards against a lane that is too small for a burst of short requests beside long prompts.
     */
    @Test
    void getMoreEnginesInABurst() {
      LongStream.range(0, 4_000).filter(now -> now % 10 == 0).forEach(this::arriveAt);
      int calm = policy.laneSize(6, 4_000);
      LongStream.range(4_000, 8_000).filter(now -> now % 5 == 0).forEach(this::arriveAt);
      assertTrue(policy.laneSize(6, 8_000) > calm);
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
      EnginePlacement fresh = EnginePlacement.of(EngineEstimator.create(), "north");
      fresh.requestArrived(query(1), 0);
      ServerModel kept =
          fresh
              .choose(query(1), engines, EnginePlacementTest::isExcluded, 0)
              .orElseThrow()
              .server();
      LongStream.range(0, 20)
          .forEach(
              number -> {
                Work digest = digest(number, number);
                fresh.requestArrived(digest, 1);
                Placement placement =
                    fresh.choose(digest, engines, EnginePlacementTest::isExcluded, 1).orElseThrow();
                assertNotEquals(kept, placement.server());
                assertFalse(placement.tight());
              });
    }
  }

  /** A burst of long prompts whose shared parts no engine caches yet, beside short pauses. */
  @Nested
  class ColdBurst {

    private Work draft(long request, int ownTokens) {
      return new Work(
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
      EnginePlacement chooser = EnginePlacement.of(TestEngines.longChunks(), "north");
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
      EnginePlacement chooser = EnginePlacement.of(TestEngines.longChunks(), "north");
      ServerModel streams = place(chooser, 1, member(1), 0).server();
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
      EnginePlacement fresh = EnginePlacement.of(EngineEstimator.create(), "north");
      LongStream.range(0, 40).forEach(number -> fresh.requestArrived(draft(number, 600), number));
      assertTrue(place(fresh, 1, member(1), 50).tight());
    }

    /**
     * Guards against streams that find themselves among long prompts when these need more engines:
     * they gather where the lane ends last.
     */
    @Test
    void leavesTheStreamsTheirEnginesWhenTheLaneShrinks() {
      EnginePlacement chooser = EnginePlacement.of(TestEngines.longChunks(), "north");
      ServerModel streams = place(chooser, 1, member(1), 0).server();
      LongStream.range(0, 40).forEach(number -> chooser.requestArrived(draft(number, 30_000), 10));
      assertTrue(chooser.laneSize(engines.size(), 10) < engines.size() - 1);
      assertEquals(streams, place(chooser, 2, member(2), 20).server());
    }
  }

  /** Engines that get cached parts from each other much faster than they read them. */
  @Nested
  class Transfers {

    private static final double MILLIS_PER_TOKEN = 0.005;

    private EnginePlacement policyWith(double transferMillisPerToken) {
      EngineEstimator known = TestEngines.denseModel();
      known.configured(
          new RoutedService("pool", 100, true, CACHE_TOKENS, 5, transferMillisPerToken));
      return EnginePlacement.of(known, "north");
    }

    /** Makes the engine that caches the part so busy that another one is chosen. */
    private Placement placeBesideABusyEngine(EnginePlacement chooser) {
      Work first = digest(5, 1);
      ServerModel cached =
          chooser.choose(first, engines, EnginePlacementTest::isExcluded, 0).orElseThrow().server();
      cached.sent(1, first, 300, false, 0);
      LongStream.range(10, 20)
          .forEach(number -> cached.sent(number, digest(number, number), 300, false, 0));
      Placement second =
          chooser.choose(digest(5, 2), engines, EnginePlacementTest::isExcluded, 1).orElseThrow();
      assertNotEquals(cached, second.server());
      return second;
    }

    /** Guards against a burst in which shared parts are read again at each engine. */
    @Test
    void replaceReadingAPartAgain() {
      Placement placement = placeBesideABusyEngine(policyWith(MILLIS_PER_TOKEN));
      assertNotNull(placement.cacheSource());
      assertEquals(13_300, placement.cachedTokens());
      assertTrue(placement.readMillis() < 180, "reads for " + placement.readMillis());
    }

    /** Guards against a short part that every engine reads, though one of them caches it. */
    @Test
    void replaceReadingAShortPartAgain() {
      EnginePlacement chooser = policyWith(MILLIS_PER_TOKEN);
      ServerModel cached =
          chooser
              .choose(query(1), engines, EnginePlacementTest::isExcluded, 0)
              .orElseThrow()
              .server();
      cached.sent(1, query(1), 25, true, 0);
      LongStream.range(10, 20)
          .forEach(number -> cached.sent(number, digest(number, number), 300, false, 0));
      Placement second =
          chooser.choose(query(2), engines, EnginePlacementTest::isExcluded, 1).orElseThrow();
      assertEquals(cached, second.cacheSource());
    }

    /** Guards against transfers that take as long as reading. */
    @Test
    void areNotUsedWhenTheyAreSlow() {
      assertNull(placeBesideABusyEngine(policyWith(0.03)).cacheSource());
      assertNull(placeBesideABusyEngine(policyWith(RoutedService.NO_TRANSFER)).cacheSource());
    }

    /** Guards against a transfer from an engine that can't be reached. */
    @Test
    void areNotAskedOfEnginesOutOfReach() {
      EnginePlacement chooser = policyWith(MILLIS_PER_TOKEN);
      Work first = digest(5, 1);
      ServerModel cached =
          chooser.choose(first, engines, EnginePlacementTest::isExcluded, 0).orElseThrow().server();
      cached.sent(1, first, 300, false, 0);
      cached.unreachable(1);
      assertNull(
          chooser
              .choose(digest(5, 2), engines, EnginePlacementTest::isExcluded, 2)
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

    private final EnginePlacement policy = EnginePlacement.of(TestEngines.longChunks(), "north");

    private ServerModel placeAt(long number, Work work, long nowMillis) {
      return place(policy, number, work, nowMillis).server();
    }

    /**
     * Guards against the most urgent streams sharing engines with long prompts: 43 of 100 were late
     * on a day with bursts, since their pauses of 400 ms counted as safe.
     */
    @Test
    void keepStreamsApartWhosePausesTheyBreak() {
      ServerModel lane = placeAt(1, member(1), 0);
      LongStream.range(0, 30)
          .forEach(
              number ->
                  assertNotEquals(lane, placeAt(100 + number, digest(100 + number, number), 1)));
    }

    /** Guards against engines kept for streams whose pauses hold anyway. */
    @Test
    void doNotKeepStreamsApartThatBearThem() {
      Work digest = digest(1, 1);
      policy.requestArrived(digest, 0);
      Placement placement =
          policy.choose(digest, engines, EnginePlacementTest::isExcluded, 0).orElseThrow();
      assertFalse(placement.tight());
      assertEquals(0, policy.laneSize(engines.size(), 0));
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
                ServerModel server = placeAt(number, member(number), number * 20);
                server.started(number, 20, number * 20 + 20);
              });
      assertTrue(policy.laneSize(engines.size(), 2 * SLOTS * 20) >= 4);
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
      ServerModel engine = engines.getFirst();
      LongStream.range(0, 10)
          .forEach(number -> engine.sent(number, digest(number, number), 300, false, 0));
      assertTrue(engine.backlogMillis(0) >= 2_000);
      LongStream.range(0, 10).forEach(number -> engine.started(number, 300, 500));
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
                        Work work = digest(900 + number, number);
                        long key = 10_000L + number;
                        engine.sent(key, work, 0, false, 0);
                        engine.started(key, 100, 1_000);
                        engine.ended(key);
                      }));
      first.server().ended(1);
      assertEquals(first.server(), place(2, digest(5, 2), 5_000).server());
    }

    /** Guards against sending more to an engine that is many times slower than its peers. */
    @Test
    void getNoNewWorkWhileOthersAreFree() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().ended(1);
      IntStream.range(0, 20)
          .forEach(
              number -> {
                first.server().sent(100 + number, query(number), 0, true, 0);
                first.server().started(100 + number, 50, 2_000);
                first.server().ended(100 + number);
              });
      assertNotEquals(first.server(), place(2, digest(6, 2), 5_000).server());
    }

    /** Guards against new work for an engine that fell silent. */
    @Test
    void thatCannotBeReachedAreLeftOut() {
      Placement first = place(1, digest(5, 1), 0);
      first.server().unreachable(10);
      assertNotEquals(first.server(), place(2, digest(5, 2), 20).server());
    }
  }
}
