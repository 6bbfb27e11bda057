package org.shallothold.gateway.forward.peer;

import java.util.Collection;
import org.shallothold.core.hash.Hashing;

/**
 * Chooses the gateways that pass evidence on to one that has probably got it from its source: two
 * for each gateway, one in its own failure domain and one in another, so that a gateway which is
 * cut off from the source, or whose whole domain is, gets it as soon as the others. If all passed
 * it on, the bytes would grow with the square of the number of gateways.
 */
final class SecondSources {

  private SecondSources() {}

  /** A gateway by its address for peers. */
  record Gateway(String address, String failureDomain) {}

  /**
   * Returns whether a gateway is a second source of another one.
   *
   * @param others all further gateways that may be, without the source of the evidence
   */
  static boolean includes(Gateway own, Gateway receiver, Collection<Gateway> others) {
    boolean sameDomain = isInDomainOf(own, receiver);
    long ownScore = score(own, receiver);
    return others.stream()
        .filter(other -> isInDomainOf(other, receiver) == sameDomain)
        .filter(other -> !other.address().equals(receiver.address()))
        .allMatch(other -> score(other, receiver) <= ownScore);
  }

  private static boolean isInDomainOf(Gateway gateway, Gateway receiver) {
    return gateway.failureDomain().equals(receiver.failureDomain());
  }

  private static long score(Gateway gateway, Gateway receiver) {
    return Hashing.mix(Hashing.of(gateway.address()) * 31 + Hashing.of(receiver.address()));
  }
}
