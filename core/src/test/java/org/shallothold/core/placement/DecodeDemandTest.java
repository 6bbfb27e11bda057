package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.stream.LongStream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** The share of an engine's time that its running streams need for decode steps. */
class DecodeDemandTest {

  private static final double STEP_MILLIS = 7;
  private static final long DEADLINE_MILLIS = 10_500;
  private static final OutputEstimate USUAL = new OutputEstimate(120, 480);
  private static final OutputEstimate LONGEST = new OutputEstimate(480, 480);

  private final DecodeDemand demand = DecodeDemand.none();

  private static void run(DecodeDemand demand, long request, OutputEstimate output) {
    demand.add(request, output, DEADLINE_MILLIS);
    demand.recordProduced(request, 1);
  }

  /** Guards against a long stream that gets the constant share and is cut by its deadline. */
  @Test
  void oneStreamNeedsItsRemainingTokensInItsRemainingTime() {
    run(demand, 1, LONGEST);
    assertEquals(479 * STEP_MILLIS / 10_000, demand.share(STEP_MILLIS, 0), 1e-9);
    assertEquals(479 * STEP_MILLIS / 5_000, demand.share(STEP_MILLIS, 5_000), 1e-9);
  }

  /** Guards against adding up streams that one decode step serves together. */
  @Test
  void equalStreamsNeedNoMoreThanOne() {
    run(demand, 1, USUAL);
    double share = demand.share(STEP_MILLIS, 0);
    LongStream.range(2, 60).forEach(request -> run(demand, request, USUAL));
    assertEquals(share, demand.share(STEP_MILLIS, 0), 1e-9);
  }

  /** Guards against one stream with a long output left that holds up all prefills. */
  @Test
  void oneNeedyStreamAmongManyCountsForLess() {
    LongStream.range(0, 40).forEach(request -> run(demand, request, USUAL));
    double usual = demand.share(STEP_MILLIS, 5_000);
    run(demand, 100, LONGEST);
    double share = demand.share(STEP_MILLIS, 5_000);
    assertTrue(share > usual);
    assertTrue(share < 479 * STEP_MILLIS / 5_000 / 2, "share " + share);
  }

  /** Guards against prefills that wait for streams which can't finish any more. */
  @Test
  void streamsThatCannotFinishDoNotCount() {
    run(demand, 1, LONGEST);
    assertEquals(0, demand.share(STEP_MILLIS, 9_000));
    assertEquals(0, demand.share(STEP_MILLIS, DEADLINE_MILLIS + 1));
  }

  /** Guards against a stream that holds up the prefill which it waits for itself. */
  @Test
  void streamsCountFromTheirFirstEventToTheirEnd() {
    demand.add(1, LONGEST, DEADLINE_MILLIS);
    assertEquals(0, demand.share(STEP_MILLIS, 0));
    demand.recordProduced(1, 4);
    assertTrue(demand.share(STEP_MILLIS, 0) > 0);
    demand.remove(1);
    demand.recordProduced(1, 8);
    assertEquals(0, demand.share(STEP_MILLIS, 0));
  }

  /** Guards against a changed pace of prefills while no decode step has been measured. */
  @Test
  void unknownStepNeedsNothing() {
    run(demand, 1, LONGEST);
    demand.updatePeer("peer", 0.5, 3, 0);
    assertEquals(0, demand.share(0, 0));
  }

  @Nested
  class SeveralGateways {

    /** Guards against a result that depends on how streams are spread over 11 or 300 gateways. */
    @Test
    void getTheSameShareAsOneGatewayWithAllStreams() {
      DecodeDemand all = DecodeDemand.none();
      DecodeDemand peer = DecodeDemand.none();
      LongStream.range(0, 30)
          .forEach(
              request -> {
                OutputEstimate output = request % 7 == 0 ? LONGEST : USUAL;
                run(all, request, output);
                run(request % 3 == 0 ? demand : peer, request, output);
              });
      demand.updatePeer("peer", peer.ownShare(STEP_MILLIS, 0), 20, 0);
      assertEquals(all.share(STEP_MILLIS, 0), demand.share(STEP_MILLIS, 0), 1e-9);
    }

    /** Guards against streams of a lost gateway that slow prefills for ever. */
    @Test
    void silentOrRemovedPeersDoNotCount() {
      demand.updatePeer("silent", 0.5, 3, 0);
      assertEquals(0.5, demand.share(STEP_MILLIS, 1_500), 1e-9);
      assertEquals(0, demand.share(STEP_MILLIS, 1_501));
      demand.updatePeer("removed", 0.4, 3, 2_000);
      demand.removePeer("removed");
      assertEquals(0, demand.share(STEP_MILLIS, 2_000));
    }

    /** Guards against a peer that reports nonsense or, being older, nothing. */
    @Test
    void wrongFiguresAreBounded() {
      run(demand, 1, USUAL);
      double own = demand.share(STEP_MILLIS, 0);
      demand.updatePeer("older", 0, 50, 0);
      demand.updatePeer("negative", -3, 50, 0);
      assertEquals(own, demand.share(STEP_MILLIS, 0), 1e-9);
      demand.updatePeer("huge", 9_999, 50, 0);
      assertTrue(demand.share(STEP_MILLIS, 0) <= 1);
    }
  }

  @Nested
  class ExpectedOutput {

    private final OutputLengths lengths = OutputLengths.create();

    /** Guards against a hint that is too low and lets a long stream starve near its end. */
    @Test
    void streamBeyondItsEstimateStillNeedsTokens() {
      OutputEstimate hinted = lengths.estimate("chat", 100, 480);
      assertEquals(100, hinted.remainingTokens(0));
      assertEquals(50, hinted.remainingTokens(200));
      assertEquals(10, hinted.remainingTokens(470));
      assertEquals(0, hinted.remainingTokens(480));
    }

    /** Guards against reserving time for the maximum, which is several times the mean. */
    @Test
    void withoutHintTheMeanOfTheRouteIsExpected() {
      assertEquals(120, lengths.estimate("chat", 0, 480).expectedTokens());
      LongStream.range(0, 20).forEach(answer -> lengths.record("chat", 80));
      assertEquals(80, lengths.estimate("chat", 0, 480).expectedTokens());
      assertEquals(60, lengths.estimate("chat", 0, 60).expectedTokens());
      assertEquals(120, lengths.estimate("other", 0, 480).expectedTokens());
    }
  }
}
