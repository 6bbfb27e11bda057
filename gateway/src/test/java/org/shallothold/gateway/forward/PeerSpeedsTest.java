package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.wire.proto.MeasuredSpeed;
import org.shallothold.wire.proto.OpenWork;

/** What gateways tell each other about the speed of a backend server. */
class PeerSpeedsTest {

  private final TrackedServer server = server();
  private final TrackedServer serverAtPeer = server();

  private static TrackedServer server() {
    return TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
  }

  private static OpenWork work(MeasuredSpeed speed) {
    return OpenWork.newBuilder().setServerId("e").setSpeed(speed).build();
  }

  /** Guards against gateways that learn of a slowdown only with their own next answer. */
  @Test
  void aFreshStatementReachesPeersWithItsAge() {
    server.recordMomentarySlowness(200, 1_000);
    MeasuredSpeed statement = PeerSpeeds.statement(server, 1_100).orElseThrow();
    PeerSpeeds.apply("peer", work(statement), serverAtPeer, 7_000);
    assertEquals(
        server.speed().momentaryFactor(1_100), serverAtPeer.speed().momentaryFactor(7_000), 1e-9);
  }

  /** Guards against statements that gateways send back and forth, or that are too old to help. */
  @Test
  void aStatementOfAPeerOrAnOldOneIsNotSent() {
    serverAtPeer.recordPeerMomentarySlowness(200, 0, 1_000);
    assertTrue(PeerSpeeds.statement(serverAtPeer, 1_000).isEmpty());
    server.recordMomentarySlowness(200, 1_000);
    assertTrue(PeerSpeeds.statement(server, 1_400).isEmpty());
  }

  /** Guards against a field in each message although there is nothing to tell. */
  @Test
  void withoutMeasurementsNothingIsSent() {
    OpenWork work = OpenWork.newBuilder().setServerId("e").build();
    assertFalse(PeerSpeeds.withRatio(work, server, 0).hasSpeed());
    assertTrue(PeerSpeeds.statement(server, 0).isEmpty());
  }

  /** Guards against figures that no server can have. */
  @Test
  void unusableFiguresOfAPeerAreIgnored() {
    MeasuredSpeed unusable =
        MeasuredSpeed.newBuilder()
            .setRatio(Double.NaN)
            .setSamples(100)
            .setMomentaryPercent(-5)
            .setMomentaryAgeMillis(-1)
            .build();
    PeerSpeeds.apply("peer", work(unusable), server, 1_000);
    assertEquals(1, server.speed().factor(1_000));
    assertFalse(server.speed().statesMomentarySlowness(1_000));
  }
}
