package org.shallothold.core.rate;

import java.util.Collection;
import java.util.Comparator;
import java.util.Optional;
import org.shallothold.core.hash.Hashing;

/**
 * Chooses the gateway that divides a server's stated rate, by rendezvous hashing: gateways that
 * know of the same gateways agree on it, and a change of the gateways moves few servers. Stateless.
 */
public final class Coordinators {

  private Coordinators() {}

  /**
   * Returns the gateway that divides the rate of a server, or empty if there are no gateways.
   *
   * @param gateways addresses of the live gateways
   */
  public static Optional<String> coordinator(String serverId, Collection<String> gateways) {
    long serverHash = Hashing.of(serverId);
    return gateways.stream()
        .max(
            Comparator.comparingDouble(
                    (String gateway) -> Hashing.unit(serverHash, Hashing.of(gateway)))
                .thenComparing(Comparator.naturalOrder()));
  }
}
