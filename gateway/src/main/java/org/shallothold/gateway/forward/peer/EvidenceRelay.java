package org.shallothold.gateway.forward.peer;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Predicate;

/** Decides to which gateways evidence from another one is passed on. Immutable. */
final class EvidenceRelay {

  /**
   * Hops after which evidence is not passed on. Times travel as ages, so that each hop makes them
   * later by the delay of the message; without a limit, evidence with times that differ by more
   * than its tolerance would be taken for new again and again. Gateways reach each other in three
   * hops.
   */
  static final int MAX_HOPS = 4;

  private static final String NO_DOMAIN = "";

  private final SecondSources.Gateway own;

  EvidenceRelay(SecondSources.Gateway own) {
    this.own = own;
  }

  /**
   * Returns the addresses of the gateways to which new evidence is passed on, each with the number
   * of hops to tell it: those that don't get it from elsewhere, and those of which this gateway is
   * a second source.
   *
   * @param connected gateways to which this one is connected, without the sender
   * @param informed hashes of the addresses of the gateways that get it from elsewhere
   * @param hops gateways that had passed it on
   * @param sourceDomain failure domain of the sender
   */
  Map<String, Integer> receivers(
      Collection<SecondSources.Gateway> connected,
      Set<Integer> informed,
      int hops,
      String sourceDomain) {
    Map<String, Integer> hopsByAddress = new TreeMap<>();
    if (hops >= MAX_HOPS) {
      return hopsByAddress;
    }
    Predicate<SecondSources.Gateway> isInformed =
        gateway -> informed.contains(gateway.addressHash());
    int hopsHere = connected.stream().allMatch(isInformed) ? MAX_HOPS : hops + 1;
    connected.stream()
        .filter(
            gateway ->
                !isInformed.test(gateway)
                    || SecondSources.includes(own, gateway, connected, sourceDomain))
        .forEach(gateway -> hopsByAddress.put(gateway.address(), hopsHere));
    return hopsByAddress;
  }

  /** Returns the gateways to which evidence is repeated: those of which this is a second source. */
  List<SecondSources.Gateway> receiversOfRepeats(Collection<SecondSources.Gateway> connected) {
    return connected.stream()
        .filter(gateway -> SecondSources.includes(own, gateway, connected, NO_DOMAIN))
        .toList();
  }
}
