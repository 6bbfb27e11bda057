package org.shallothold.gateway.forward.peer;

import java.util.HashMap;
import java.util.Map;
import org.shallothold.wire.connection.PeerConnection;

/**
 * Knows which peers have just got all evidence. Two gateways have two connections between them, and
 * the evidence is sent to a peer on the first. Not thread-safe.
 */
final class EvidenceLedger {

  // A process that ended with its machine, so that its connections still appear open, is not
  // started again within this time.
  private static final long MAX_AGE_MILLIS = 1_000;

  private final Map<String, Sent> sentByPeer = new HashMap<>();
  private long changes;

  private record Sent(PeerConnection connection, long changes, long millis) {}

  /** Records that there is new evidence. */
  void recordChange() {
    changes++;
  }

  /** Records that a peer was sent all evidence. */
  void recordSent(String peer, PeerConnection connection, long nowMillis) {
    sentByPeer.values().removeIf(sent -> nowMillis - sent.millis() >= MAX_AGE_MILLIS);
    sentByPeer.put(peer, new Sent(connection, changes, nowMillis));
  }

  /** Returns whether a peer was sent all evidence just now, on a connection that is still open. */
  boolean hasAll(String peer, long nowMillis) {
    Sent sent = sentByPeer.get(peer);
    return sent != null
        && sent.changes() == changes
        && nowMillis - sent.millis() < MAX_AGE_MILLIS
        && sent.connection().isOpen();
  }
}
