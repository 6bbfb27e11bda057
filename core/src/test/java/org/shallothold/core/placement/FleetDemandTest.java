package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.placement.FleetDemand.RankDemand;
import org.shallothold.core.route.Rank;

/** What all gateways together demand of 10 engines, and how long a rank's requests wait for it. */
class FleetDemandTest {

  private static final Rank URGENT = Rank.of(0);
  private static final Rank USUAL = Rank.of(1);
  private static final Rank DEFERRABLE = Rank.of(2);
  private static final int ENGINES = 10;

  private final FleetDemand demand = FleetDemand.none();

  private void peer(String name, long nowMillis, RankDemand... ranks) {
    demand.updatePeer(name, List.of(ranks), nowMillis);
  }

  private double ahead(Rank rank, double ownAheadMillis, int gateways, long nowMillis) {
    return demand.queuedAheadMillis(rank, ownAheadMillis, ENGINES, gateways, nowMillis);
  }

  @Nested
  class BurstAtOtherGateways {

    /** Guards against a gateway with a short queue that promises what its peers' callers get. */
    @Test
    void moreUrgentRequestsAtPeersAreAhead() {
      peer("a", 0, new RankDemand(URGENT, 0, 4_000), new RankDemand(DEFERRABLE, 0, 9_000));
      assertEquals(400 + 100, ahead(USUAL, 1_000, 2, 0), 1e-6);
    }

    /** Guards against two gateways that each count all requests of the other as ahead. */
    @Test
    void halfOfTheRequestsOfTheSameRankAtPeersAreAhead() {
      peer("a", 0, new RankDemand(USUAL, 0, 4_000));
      assertEquals(200, ahead(USUAL, 0, 2, 0), 1e-6);
    }

    /** Guards against deferrable requests that wait in vain while urgent ones take the engines. */
    @Test
    void arrivalsOfMoreUrgentRanksLeaveFewerEngines() {
      peer("a", 0, new RankDemand(URGENT, 8_000, 0));
      assertEquals(500, ahead(DEFERRABLE, 1_000, 2, 0), 1e-6);
      assertEquals(100, ahead(URGENT, 1_000, 2, 0), 1e-6);
    }

    /** Guards against a rank that gets nothing at all, or a division by zero. */
    @Test
    void someCapacityIsLeftWhateverMoreUrgentRanksDemand() {
      peer("a", 0, new RankDemand(URGENT, 90_000, 0));
      assertEquals(2_000, ahead(DEFERRABLE, 1_000, 2, 0), 1e-6);
    }
  }

  @Nested
  class AdmissionLevel {

    private Optional<Rank> firstAbove() {
      return demand.firstRankAboveCapacity(ENGINES, 2, 0);
    }

    /** Guards against gateways that cut different ranks at the same demand. */
    @Test
    void isTheFirstRankThatDoesNotFit() {
      peer("a", 0, new RankDemand(URGENT, 3_000, 0), new RankDemand(USUAL, 4_000, 0));
      assertEquals(Optional.empty(), firstAbove());
      demand.recordArrival(USUAL, 2_000, 0);
      demand.recordArrival(DEFERRABLE, 1_500, 0);
      assertEquals(Optional.of(DEFERRABLE), firstAbove());
      demand.recordArrival(URGENT, 3_000, 0);
      assertEquals(Optional.of(USUAL), firstAbove());
    }

    /** Guards against refusals that go on after a burst. */
    @Test
    void followsArrivalsWithinSeconds() {
      demand.recordArrival(URGENT, 12_000, 0);
      peer("a", 0);
      assertEquals(Optional.of(URGENT), firstAbove());
      assertEquals(Optional.empty(), demand.firstRankAboveCapacity(ENGINES, 2, 1_000));
    }
  }

  @Nested
  class FailingPeers {

    /** Guards against a partitioned gateway that takes all engines for its own callers. */
    @Test
    void withoutPeersTheGatewayTakesItsOwnDemandForThatOfEach() {
      assertEquals(400, ahead(USUAL, 1_000, 4, 0), 1e-6);
      demand.recordArrival(URGENT, 2_000, 0);
      assertEquals(8_000, demand.totalArrivedMillis(4, 0), 1e-6);
    }

    /** Guards against a silent peer that counts for ever, or as one without callers. */
    @Test
    void peersThatAreHeardStandForSilentOnes() {
      peer("silent", 0, new RankDemand(URGENT, 0, 9_000));
      peer("heard", 2_000, new RankDemand(URGENT, 0, 1_000));
      assertEquals(200, ahead(USUAL, 0, 3, 2_000), 1e-6);
      demand.removePeer("heard");
      assertEquals(300, ahead(USUAL, 1_000, 3, 2_100), 1e-6);
    }

    /** Guards against negative figures of a peer that hide the demand of others. */
    @Test
    void negativeFiguresAreIgnored() {
      peer("wrong", 0, new RankDemand(URGENT, -50_000, -50_000));
      peer("a", 0, new RankDemand(URGENT, 0, 1_000));
      assertEquals(100, ahead(USUAL, 0, 3, 0), 1e-6);
    }
  }

  /** Guards against messages that grow with ranks which nobody uses any more. */
  @Test
  void ownDemandHasOnlyRanksInUse() {
    demand.recordArrival(URGENT, 500, 0);
    assertEquals(
        List.of(new RankDemand(URGENT, 500, 0), new RankDemand(USUAL, 0, 70)),
        demand.ownDemand(Map.of(USUAL, 70.0), 0));
    assertTrue(demand.ownDemand(Map.of(), 20_000).isEmpty());
  }
}
