package org.shallothold.sidecar;

import org.shallothold.runtime.duty.Duty;
import org.shallothold.runtime.operator.OperatorEndpoint;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.runtime.sync.WireVersions;
import org.shallothold.sidecar.work.SidecarEvent;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/**
 * Passes connection events to the configuration sync and to the sidecar's thread. Called on Netty's
 * threads. A full ring makes them wait, which slows the gateways down until the sidecar's thread
 * has caught up; that thread itself never waits for them.
 */
final class PeerEvents implements PeerListener {

  private final Duty<SidecarEvent> duty;
  private final ConfigurationSync sync;
  private final OperatorEndpoint operators;

  private PeerEvents(Duty<SidecarEvent> duty, ConfigurationSync sync, OperatorEndpoint operators) {
    this.duty = duty;
    this.sync = sync;
    this.operators = operators;
  }

  static PeerEvents of(
      Duty<SidecarEvent> duty, ConfigurationSync sync, OperatorEndpoint operators) {
    return new PeerEvents(duty, sync, operators);
  }

  @Override
  public void connected(PeerConnection connection, Hello hello) {
    sync.connected(connection, hello);
    duty.put(new SidecarEvent.Connected(connection));
  }

  @Override
  public void received(PeerConnection connection, Envelope envelope) {
    if (sync.received(connection, envelope)) {
      return;
    }
    // The audit trail may be long and is shared between threads, so it is written out here.
    if (envelope.hasAuditRequest()) {
      operators.received(connection, envelope);
      return;
    }
    if (envelope.hasSubmit()) {
      sync.observe(connection, WireVersions.fromWire(envelope.getSubmit().getVersion()));
    }
    duty.put(new SidecarEvent.Received(connection, envelope));
  }

  @Override
  public void disconnected(PeerConnection connection) {
    sync.disconnected(connection);
    duty.put(new SidecarEvent.Disconnected(connection));
  }
}
