package org.shallothold.gateway.forward.peer;

import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.forward.MonotonicClock;
import org.shallothold.wire.connection.PeerClient;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.Hello;
import org.shallothold.wire.proto.WorkChanges;

/** A gateway to which this one connects, and what it was sent. Used on the event loop only. */
final class OutgoingPeer {

  private final String address;
  // By the number of gateways that have passed it on.
  private final Map<Integer, CrashEvidence.Builder> waitingEvidence = new TreeMap<>();
  private @Nullable PeerClient client;
  private @Nullable PeerConnection connection;
  private long disconnectedMillis = MonotonicClock.millis();
  // 0 if the peer has missed an update or changes since it connected.
  private long lastUpdateNumber;
  private boolean missedEvidence;

  OutgoingPeer(String address) {
    this.address = address;
  }

  void setClient(PeerClient started) {
    client = started;
  }

  void close() {
    if (client != null) {
      client.close();
    }
  }

  void connected(PeerConnection opened) {
    connection = opened;
    lastUpdateNumber = 0;
    missedEvidence = false;
    waitingEvidence.clear();
  }

  void disconnected(PeerConnection closed) {
    if (connection == closed) {
      connection = null;
      disconnectedMillis = MonotonicClock.millis();
    }
  }

  String address() {
    return address;
  }

  boolean isConnected() {
    return connection != null && connection.isOpen();
  }

  /** Returns the time at which the peer was last disconnected. */
  long disconnectedMillis() {
    return disconnectedMillis;
  }

  Optional<PeerConnection> connection() {
    return Optional.ofNullable(connection);
  }

  /** Returns the connection if a message can be sent on it without waiting for others. */
  Optional<PeerConnection> writableConnection() {
    return connection().filter(PeerConnection::isWritable);
  }

  /** Returns whether this is the peer with a process id. */
  boolean isProcess(String processId) {
    Hello hello = hello();
    return hello != null && hello.getProcessId().equals(processId);
  }

  private @Nullable Hello hello() {
    return connection == null ? null : connection.remoteHello();
  }

  SecondSources.Gateway gateway() {
    Hello hello = hello();
    return new SecondSources.Gateway(address, hello == null ? "" : hello.getFailureDomain());
  }

  // What the peer was sent

  /** Returns whether the peer has got everything up to the update with a number. */
  boolean hasUpdate(long number) {
    return number > 0 && lastUpdateNumber == number;
  }

  void recordUpdate(long number) {
    lastUpdateNumber = number;
  }

  /** Records that the peer misses changes, since its connection can't take them. */
  void recordMissed(WorkChanges changes) {
    lastUpdateNumber = 0;
    missedEvidence |= changes.hasCrashEvidence();
  }

  boolean hasMissedEvidence() {
    return missedEvidence;
  }

  void recordAllEvidence() {
    missedEvidence = false;
  }

  /**
   * Adds evidence to the next message with evidence of other gateways.
   *
   * @param hops gateways that have passed it on, with this one
   */
  void addEvidence(CrashEvidence evidence, int hops) {
    waitingEvidence.computeIfAbsent(hops, key -> CrashEvidence.newBuilder()).mergeFrom(evidence);
  }

  /** Returns the evidence that was added, by hops, and regards it as sent. */
  Map<Integer, CrashEvidence> takeEvidence() {
    Map<Integer, CrashEvidence> taken = new TreeMap<>();
    waitingEvidence.forEach((hops, evidence) -> taken.put(hops, evidence.build()));
    waitingEvidence.clear();
    return taken;
  }
}
