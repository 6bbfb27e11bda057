package org.shallothold.sidecar.work;

import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.Map;
import java.util.Set;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.Role;

/** The connected gateways. Owned by one thread. */
final class Gateways {

  // A connection that takes nothing for so long would let frames for it fill the memory.
  private static final long STALL_LIMIT_MILLIS = 5_000;

  private final Set<PeerConnection> connections = new LinkedHashSet<>();
  private final Map<PeerConnection, Long> stalledSince = new HashMap<>();

  void add(PeerConnection connection) {
    Hello hello = connection.remoteHello();
    if (hello != null && hello.getRole() == Role.ROLE_GATEWAY) {
      connections.add(connection);
    }
  }

  void remove(PeerConnection connection) {
    connections.remove(connection);
    stalledSince.remove(connection);
  }

  void send(Envelope envelope) {
    connections.forEach(connection -> connection.send(envelope));
  }

  /** Closes connections whose outgoing buffer has been full for too long. */
  void closeStalled(long nowMillis) {
    for (PeerConnection connection : connections) {
      if (connection.isWritable()) {
        stalledSince.remove(connection);
      } else if (nowMillis - stalledSince.computeIfAbsent(connection, key -> nowMillis)
          >= STALL_LIMIT_MILLIS) {
        connection.close();
      }
    }
  }

  int count() {
    return connections.size();
  }
}
