package org.shallothold.gateway.peer;

import java.util.function.Consumer;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerListener;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/**
 * Receives messages on the gateway's operator port: passes configuration messages of any peer to
 * the configuration sync, and all others, which are requests of the operators' command, on as
 * events.
 */
public final class OperatorListener implements PeerListener {

  private final ConfigurationSync sync;
  private final Consumer<GatewayEvent> events;

  private OperatorListener(ConfigurationSync sync, Consumer<GatewayEvent> events) {
    this.sync = sync;
    this.events = events;
  }

  /**
   * Returns a listener.
   *
   * @param events receives the requests of the operators' command; may block until there is room
   */
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
