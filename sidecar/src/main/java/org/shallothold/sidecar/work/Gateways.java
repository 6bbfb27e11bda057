package org.shallothold.sidecar.work;

import java.util.LinkedHashSet;
import java.util.Set;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/** The connected gateways. Owned by one thread. */
final class Gateways {

  private final Set<PeerConnection> connections = new LinkedHashSet<>();

  void add(PeerConnection connection) {
    Hello hello = connection.remoteHello();
    if (hello != null && hello.getRole() == Role.ROLE_GATEWAY) {
      connections.add(connection);
    }
  }

  void remove(PeerConnection connection) {
    connections.remove(connection);
  }

  void send(Envelope envelope) {
    connections.forEach(connection -> connection.send(envelope));
  }

  int count() {
    return connections.size();
  }
}
