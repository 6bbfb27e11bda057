package org.shallothold.gateway.forward.peer;

import java.util.Collection;
import java.util.List;
import java.util.Set;
import java.util.function.Predicate;
import org.shallothold.wire.proto.CrashEvidence;

/** Decides to which peers a gateway passes on the evidence that it got from another one. */
final class EvidenceRelay {

  /**
   * Hops after which evidence is not passed on. Times travel as ages, so that each hop makes them
   * later by the delay of the message; without a limit, evidence with times that differ by more
   * than its tolerance would be taken for new again and again. Gateways reach each other in three
   * hops.
   */
  static final int MAX_HOPS = 4;

  private final SecondSources.Gateway own;

  EvidenceRelay(SecondSources.Gateway own) {
    this.own = own;
  }

  /**
   * Adds new evidence to what is sent next to the peers that don't get it from elsewhere, and to
   * those of which this gateway is a second source.
   *
   * @param source process id of the sender
   * @param informed hashes of the addresses of the gateways that get it from elsewhere
   * @param hops gateways that had passed it on
   */
  void passOn(
      CrashEvidence learned,
      String source,
      Set<Integer> informed,
      int hops,
      Collection<OutgoingPeer> peers) {
    if (hops >= MAX_HOPS) {
      return;
    }
    List<OutgoingPeer> others = peers.stream().filter(peer -> !peer.isProcess(source)).toList();
    Predicate<OutgoingPeer> isInformed = peer -> informed.contains(peer.addressHash());
    int hopsHere = others.stream().allMatch(isInformed) ? MAX_HOPS : hops + 1;
    others.stream()
        .filter(peer -> !isInformed.test(peer) || isSecondSource(peer, others))
        .forEach(peer -> peer.addEvidence(learned, hopsHere));
  }

  /** Returns the peers of which this gateway is a second source. */
  List<OutgoingPeer> secondSourcePeers(Collection<OutgoingPeer> peers) {
    return peers.stream().filter(peer -> isSecondSource(peer, peers)).toList();
  }

  private boolean isSecondSource(OutgoingPeer receiver, Collection<OutgoingPeer> others) {
    return SecondSources.includes(
        own,
        receiver.gateway(),
        others.stream().filter(OutgoingPeer::isConnected).map(OutgoingPeer::gateway).toList());
  }
}
