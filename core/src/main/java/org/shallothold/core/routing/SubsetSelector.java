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
 * Chooses the servers of a class that one gateway connects to. By rendezvous hashing each server
 * takes the same number of gateways, so that every server is reached and none by many more gateways
 * than another; a gateway then gets the wished number of servers on average. Adding or removing one
 * gateway or server moves only the pairs that involve it. Owned by one thread.
 */
public final class SubsetSelector {

  private static final int MIN_FAILURE_DOMAINS = 2;

  private final String gateway;
  private final int size;
  private final Map<String, Integer> ranks = new HashMap<>();
  private Set<String> gateways;

  private SubsetSelector(String gateway, int size) {
    this.gateway = gateway;
    this.size = size;
    this.gateways = Set.of(gateway);
  }

  /**
   * A server to choose from.
   *
   * @param id id of the server
   * @param failureDomain failure domain of its VM
   */
  public record Candidate(String id, String failureDomain) {}

  /**
   * Returns a selector for a gateway.
   *
   * @param size servers of each class that a gateway should have, on average
   */
  public static SubsetSelector of(String gateway, int size) {
    return new SubsetSelector(gateway, size);
  }

  /** Sets the live gateways; this gateway counts as live even if it isn't among them. */
  public void gateways(Collection<String> live) {
    Set<String> updated = new LinkedHashSet<>(live);
    updated.add(gateway);
    if (!updated.equals(gateways)) {
      gateways = updated;
      ranks.clear();
    }
  }

  /** Returns the ids of the chosen servers. */
  public Set<String> select(Collection<Candidate> candidates) {
    Set<String> chosen = new LinkedHashSet<>();
    long perServer =
        Math.ceilDiv((long) size * gateways.size(), (long) Math.max(1, candidates.size()));
    for (Candidate candidate : candidates) {
      if (rank(candidate.id()) < perServer) {
        chosen.add(candidate.id());
      }
    }
    fill(chosen, candidates);
    return chosen;
  }

  /** Adds servers by this gateway's own ranking until half the size and two domains are there. */
  private void fill(Set<String> chosen, Collection<Candidate> candidates) {
    Set<String> domains = new LinkedHashSet<>();
    candidates.stream()
        .filter(candidate -> chosen.contains(candidate.id()))
        .forEach(candidate -> domains.add(candidate.failureDomain()));
    int least = Math.max(Math.ceilDiv(size, 2), 1);
    if (chosen.size() >= least && domains.size() >= MIN_FAILURE_DOMAINS) {
      return;
    }
    List<Candidate> ranked = new ArrayList<>(candidates);
    ranked.sort(
        Comparator.comparingLong((Candidate candidate) -> weight(gateway, candidate.id()))
            .thenComparing(Candidate::id));
    for (Candidate candidate : ranked) {
      boolean newDomain =
          domains.size() < MIN_FAILURE_DOMAINS && !domains.contains(candidate.failureDomain());
      if (newDomain || chosen.size() < least) {
        chosen.add(candidate.id());
        domains.add(candidate.failureDomain());
      }
    }
  }

  /** Returns how many live gateways come before this one in a server's order. */
  private int rank(String server) {
    return ranks.computeIfAbsent(server, this::countBefore);
  }

  private int countBefore(String server) {
    long own = weight(gateway, server);
    int before = 0;
    for (String other : gateways) {
      long weight = weight(other, server);
      if (weight < own || (weight == own && other.compareTo(gateway) < 0)) {
        before++;
      }
    }
    return before;
  }

  private static long weight(String gateway, String server) {
    return Hashing.mix(Hashing.checksum(gateway) * 31 + Hashing.checksum(server)) >>> 1;
  }
}
