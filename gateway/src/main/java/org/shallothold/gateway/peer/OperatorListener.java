package org.shallothold.gateway.peer;

import java.util.function.Consumer;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/** Takes the operators' command's questions, and configuration messages of any peer. */
public final class OperatorListener implements PeerListener {

  private final ConfigurationSync sync;
  private final Consumer<GatewayEvent> events;

  private OperatorListener(ConfigurationSync sync, Consumer<GatewayEvent> events) {
    this.sync = sync;
    this.events = events;
  }

  /** Returns a listener that passes questions on as events. */
  public static OperatorListener of(ConfigurationSync sync, Consumer<GatewayEvent> events) {
    return new OperatorListener(sync, events);
  }

  @Override
  public void connected(PeerConnection connection, Hello hello) {
    sync.connected(connection, hello);
  }

  @Override
  public void received(PeerConnection connection, Envelope envelope) {
    if (!sync.received(connection, envelope)) {
      events.accept(new GatewayEvent.OperatorMessage(connection, envelope));
    }
  }

  @Override
  public void disconnected(PeerConnection connection) {
    sync.disconnected(connection);
  }
}
