package org.shallothold.runtime.sync;

import com.google.protobuf.ByteString;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Hello;

/**
 * Knows the connected peers and decides which one to ask for missing entries. One request is open
 * at a time: after a restart all peers are ahead, and each would send the whole list. Owned by the
 * configuration thread.
 */
final class PeerPull {

  // A peer sends at most 1 MiB of entries per answer, which takes well under this time.
  private static final long ANSWER_MILLIS = 2_000;
  private static final long RETRY_MILLIS = 500;
  private static final int MOST_CONFLICTING = 4_096;

  private final Map<PeerConnection, ConfigurationVersion> peers = new LinkedHashMap<>();
  private final Set<ByteString> conflicting = new LinkedHashSet<>();
  private @Nullable PeerConnection asked;
  private long waitUntil;

  /** Notes a version that a peer named. */
  void named(PeerConnection peer, ConfigurationVersion version) {
    peers.put(peer, version);
  }

  /** Returns the connected peers. */
  List<PeerConnection> peers() {
    return new ArrayList<>(peers.keySet());
  }

  /** Returns whether a connection is one of a peer. */
  boolean isPeer(PeerConnection connection) {
    return peers.containsKey(connection);
  }

  /** Forgets a peer. */
  void gone(PeerConnection peer) {
    peers.remove(peer);
    if (peer.equals(asked)) {
      asked = null;
    }
  }

  /** Forgets the peers whose connections are closed. */
  void prune() {
    peers().stream().filter(peer -> !peer.isOpen()).forEach(this::gone);
  }

  /** Marks a peer as holding another history; returns false if its process was marked before. */
  boolean markConflicting(PeerConnection peer) {
    if (conflicting.size() >= MOST_CONFLICTING) {
      conflicting.remove(conflicting.iterator().next());
    }
    return conflicting.add(incarnation(peer));
  }

  /** Returns whether a peer's process holds another history. */
  boolean isConflicting(PeerConnection peer) {
    return conflicting.contains(incarnation(peer));
  }

  /** Returns the newest version number that a peer of our history has named; 0 if there is none. */
  long newestVersion() {
    return peers.entrySet().stream()
        .filter(peer -> !isConflicting(peer.getKey()))
        .mapToLong(peer -> peer.getValue().number())
        .max()
        .orElse(0);
  }

  /**
   * Returns the peer to ask now; empty if none is ahead or a request is still open. The peer counts
   * as asked.
   */
  Optional<PeerConnection> next(ConfigurationVersion ours, long nowMillis) {
    if (nowMillis < waitUntil) {
      return Optional.empty();
    }
    if (asked != null) {
      moveToEnd(asked);
      asked = null;
    }
    Optional<PeerConnection> chosen =
        peers.entrySet().stream()
            .filter(peer -> isAhead(peer, ours))
            .map(Map.Entry::getKey)
            .findFirst();
    chosen.ifPresent(
        peer -> {
          asked = peer;
          waitUntil = nowMillis + ANSWER_MILLIS;
        });
    return chosen;
  }

  /** Notes an answer; after one without progress the next request waits and goes elsewhere. */
  void answered(PeerConnection peer, boolean progress, long nowMillis) {
    if (!peer.equals(asked)) {
      return;
    }
    asked = null;
    waitUntil = progress ? nowMillis : nowMillis + RETRY_MILLIS;
    if (!progress) {
      moveToEnd(peer);
    }
  }

  private boolean isAhead(
      Map.Entry<PeerConnection, ConfigurationVersion> peer, ConfigurationVersion ours) {
    return peer.getValue().number() > ours.number() && !isConflicting(peer.getKey());
  }

  private void moveToEnd(PeerConnection peer) {
    ConfigurationVersion version = peers.remove(peer);
    if (version != null) {
      peers.put(peer, version);
    }
  }

  private static ByteString incarnation(PeerConnection peer) {
    Hello hello = peer.remoteHello();
    return hello == null ? ByteString.EMPTY : hello.getIncarnation();
  }
}
