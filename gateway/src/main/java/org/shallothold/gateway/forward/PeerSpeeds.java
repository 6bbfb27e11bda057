package org.shallothold.gateway.forward;

import java.util.Optional;
import org.shallothold.core.placement.ServerSpeed;
import org.shallothold.core.placement.SpeedReport;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.wire.proto.MeasuredSpeed;
import org.shallothold.wire.proto.OpenWork;

/** Converts what gateways tell each other about the speed of a backend server. Stateless. */
final class PeerSpeeds {

  private PeerSpeeds() {}

  /**
   * Returns what the server stated of its momentary speed; empty if peers need not know it, since
   * it is old or came from one of them.
   */
  static Optional<MeasuredSpeed> statement(TrackedServer server, long nowMillis) {
    ServerSpeed speed = server.speed();
    return speed
        .sharedStatementAgeMillis(nowMillis)
        .map(
            ageMillis ->
                MeasuredSpeed.newBuilder()
                    .setMomentaryPercent(speed.statedPercent())
                    .setMomentaryAgeMillis(ageMillis.intValue())
                    .build());
  }

  /** Adds the persistent ratio to a server's open work if peers need it now. */
  static OpenWork withRatio(OpenWork work, TrackedServer server, long nowMillis) {
    return server
        .speed()
        .takeReport(nowMillis)
        .map(
            report ->
                work.toBuilder()
                    .setSpeed(
                        work.getSpeed().toBuilder()
                            .setRatio(report.ratio())
                            .setSamples(report.samples()))
                    .build())
        .orElse(work);
  }

  /** Applies what a peer knows of a server's speed; does nothing if the work doesn't hold it. */
  static void apply(String peer, OpenWork work, TrackedServer server, long nowMillis) {
    if (!work.hasSpeed()) {
      return;
    }
    MeasuredSpeed speed = work.getSpeed();
    if (speed.getSamples() > 0) {
      server.speed().updatePeer(peer, new SpeedReport(speed.getRatio(), speed.getSamples()));
    }
    if (speed.getMomentaryPercent() > 0) {
      server.recordPeerMomentarySlowness(
          speed.getMomentaryPercent(), speed.getMomentaryAgeMillis(), nowMillis);
    }
  }
}
