package org.shallothold.core.routing;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.shallothold.core.hash.Hashing;

/**
 * Selects the servers of a service class that a gateway connects to. Each server accepts the same
 * number of gateways by rendezvous hashing, so that every server is reached and the servers have
 * similar numbers of gateways. A gateway then has the target number of servers on average. Adding,
 * removing or replacing a gateway or a server leaves most of the other pairs unchanged. Not
 * thread-safe; confined to one thread.
 */
public final class SubsetSelector {

  private static final int MIN_FAILURE_DOMAINS = 2;

  private final String gateway;
  private final int targetSize;
  private final Map<String, Integer> ranks = new HashMap<>();
  private Set<String> gateways;

  private SubsetSelector(String gateway, int targetSize) {
    this.gateway = gateway;
    this.targetSize = targetSize;
    this.gateways = Set.of(gateway);
  }

  /**
   * A server that can be selected.
   *
   * @param id id of the server
   * @param failureDomain failure domain of the VM that the server runs on
   */
  public record Candidate(String id, String failureDomain) {}

  /**
   * Creates a selector for a gateway.
   *
   * @param gateway process id of the gateway
   * @param targetSize target for the average number of servers of a class per gateway
   */
  public static SubsetSelector of(String gateway, int targetSize) {
    return new SubsetSelector(gateway, targetSize);
  }

  /** Sets the live gateways; this gateway counts as live even if it is not listed. */
  public void setLiveGateways(Collection<String> live) {
    Set<String> updated = new LinkedHashSet<>(live);
    updated.add(gateway);
    if (!updated.equals(gateways)) {
      gateways = updated;
      ranks.clear();
    }
  }

  /**
   * Returns the ids of the servers that this gateway connects to: at least half of the target size
   * and servers of two failure domains, if there are enough candidates.
   */
  public Set<String> select(Collection<Candidate> candidates) {
    Set<String> chosen = new LinkedHashSet<>();
    long gatewaysPerServer =
        Math.ceilDiv((long) targetSize * gateways.size(), (long) Math.max(1, candidates.size()));
    for (Candidate candidate : candidates) {
      if (rank(candidate.id()) < gatewaysPerServer) {
        chosen.add(candidate.id());
      }
    }
    addUpToMinimum(chosen, candidates);
    return chosen;
  }

  /**
   * Adds servers in this gateway's hash order until half the target size and two domains are
   * reached.
   */
  private void addUpToMinimum(Set<String> chosen, Collection<Candidate> candidates) {
    Set<String> domains = new LinkedHashSet<>();
    candidates.stream()
        .filter(candidate -> chosen.contains(candidate.id()))
        .forEach(candidate -> domains.add(candidate.failureDomain()));
    int minServers = Math.max(Math.ceilDiv(targetSize, 2), 1);
    if (chosen.size() >= minServers && domains.size() >= MIN_FAILURE_DOMAINS) {
      return;
    }
    List<Candidate> ranked = new ArrayList<>(candidates);
    ranked.sort(
        Comparator.comparingLong((Candidate candidate) -> hashWeight(gateway, candidate.id()))
            .thenComparing(Candidate::id));
    for (Candidate candidate : ranked) {
      boolean newDomain =
          domains.size() < MIN_FAILURE_DOMAINS && !domains.contains(candidate.failureDomain());
      if (newDomain || chosen.size() < minServers) {
        chosen.add(candidate.id());
        domains.add(candidate.failureDomain());
      }
    }
  }

  /** Returns the number of live gateways that precede this one in a server's hash order. */
  private int rank(String server) {
    return ranks.computeIfAbsent(server, this::countBefore);
  }

  private int countBefore(String server) {
    long own = hashWeight(gateway, server);
    int before = 0;
    for (String other : gateways) {
      long weight = hashWeight(other, server);
      if (weight < own || (weight == own && other.compareTo(gateway) < 0)) {
        before++;
      }
    }
    return before;
  }

  private static long hashWeight(String gateway, String server) {
    return Hashing.mix(Hashing.checksum(gateway) * 31 + Hashing.checksum(server)) >>> 1;
  }
}
