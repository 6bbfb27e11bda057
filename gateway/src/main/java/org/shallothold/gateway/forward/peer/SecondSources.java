package org.shallothold.gateway.forward.peer;

import java.util.Collection;
import java.util.List;
import org.shallothold.core.hash.Hashing;

/**
 * Chooses the gateways that pass evidence on to one that has probably got it from its source: two
 * for each gateway, one in its own failure domain and one in another, which is not that of the
 * source if possible. So a gateway that is cut off from the source, or from its whole failure
 * domain, gets it as soon as the others. If all passed it on, the bytes would grow with the square
 * of the number of gateways.
 */
final class SecondSources {

  private SecondSources() {}

  /** A gateway by its address for peers. */
  record Gateway(String address, String failureDomain) {

    /** Returns the hash of the address that gateways send to each other. */
    int addressHash() {
      return address.hashCode();
    }

    private boolean isIn(String domain) {
      return failureDomain.equals(domain);
    }
  }

  /**
   * Returns whether a gateway is a second source of another one.
   *
   * @param others further gateways that may be, without the source of the evidence
   * @param sourceDomain failure domain of the source; empty if there is none
   */
  static boolean includes(
      Gateway own, Gateway receiver, Collection<Gateway> others, String sourceDomain) {
    List<Gateway> candidates =
        others.stream().filter(other -> !other.address().equals(receiver.address())).toList();
    String receiverDomain = receiver.failureDomain();
    if (own.isIn(receiverDomain)) {
      return isFirst(
          own, receiver, candidates.stream().filter(other -> other.isIn(receiverDomain)).toList());
    }
    List<Gateway> elsewhere =
        candidates.stream().filter(other -> !other.isIn(receiverDomain)).toList();
    List<Gateway> independent =
        elsewhere.stream().filter(other -> !other.isIn(sourceDomain)).toList();
    if (own.isIn(sourceDomain)) {
      return independent.isEmpty() && isFirst(own, receiver, elsewhere);
    }
    return isFirst(own, receiver, independent);
  }

  private static boolean isFirst(Gateway own, Gateway receiver, List<Gateway> others) {
    long ownScore = score(own, receiver);
    return others.stream().allMatch(other -> score(other, receiver) <= ownScore);
  }

  private static long score(Gateway gateway, Gateway receiver) {
    return Hashing.mix(Hashing.of(gateway.address()) * 31 + Hashing.of(receiver.address()));
  }
}
