package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import java.util.TreeMap;
import org.shallothold.core.route.Rank;

/**
 * Prefill work that callers demand of the engines of one service, by rank, summed over all
 * gateways. Every gateway computes from the same sums how long requests of a rank wait, and thus
 * which ones are refused, without a coordinator.
 *
 * <p>If the figures of some gateways are missing, the others stand for them; without any, this
 * gateway's own do. One instance per service; owned by one thread.
 */
public final class FleetDemand {

  // Arrivals are averaged over about a second.
  private static final double ARRIVAL_DECAY_MILLIS = 1_000;
  private static final double MILLIS_PER_SECOND = 1_000;
  // Peers send their demand more than once a second; older updates are from a disconnected peer.
  private static final long PEER_MAX_AGE_MILLIS = 1_500;
  // The sums over the peers are reused for the duration of some dispatch rounds.
  private static final long TOTALS_MAX_AGE_MILLIS = 100;
  // Share of the engines that is left to a rank when more urgent ones demand them all: some of
  // their requests end early or are refused.
  private static final double MIN_CAPACITY_FRACTION = 0.05;
  // Of the peers' requests of the same rank, about half are ahead.
  private static final double SAME_RANK_AHEAD_FRACTION = 0.5;

  private final Map<Rank, Arrivals> arrivalsByRank = new HashMap<>();
  private final Map<String, PeerDemand> peerDemands = new HashMap<>();
  private Totals peerTotals = new Totals(Map.of(), Map.of(), 0, Long.MIN_VALUE / 2);

  /**
   * Demand of one rank at one gateway.
   *
   * @param rank the rank
   * @param arrivedMillis prefill time of the requests that arrived in the last second, in
   *     milliseconds
   * @param waitingMillis prefill time of the requests that wait in the gateway, in milliseconds
   */
  public record RankDemand(Rank rank, double arrivedMillis, double waitingMillis) {

    private boolean isValid() {
      return arrivedMillis >= 0 && waitingMillis >= 0;
    }
  }

  /** Decayed sum of prefill times up to a time. */
  private record Arrivals(double millis, long updatedMillis) {

    private double at(long nowMillis) {
      return millis * Math.exp(-Math.max(0, nowMillis - updatedMillis) / ARRIVAL_DECAY_MILLIS);
    }
  }

  private record PeerDemand(List<RankDemand> ranks, long receivedMillis) {}

  /** Sums over the peers with recent updates, by rank, and their number. */
  private record Totals(
      Map<Rank, Double> arrivedMillis,
      Map<Rank, Double> waitingMillis,
      int peers,
      long computedMillis) {}

  private FleetDemand() {}

  /** Returns the demand of a service without requests. */
  public static FleetDemand none() {
    return new FleetDemand();
  }

  /** Records a request that arrived at this gateway. */
  public void recordArrival(Rank rank, double prefillMillis, long nowMillis) {
    Arrivals known = arrivalsByRank.getOrDefault(rank, new Arrivals(0, nowMillis));
    arrivalsByRank.put(rank, new Arrivals(known.at(nowMillis) + prefillMillis, nowMillis));
  }

  /**
   * Returns the demand at this gateway, as sent to peers.
   *
   * @param waitingMillis prefill time of the requests that wait here, by rank
   * @param nowMillis current time
   */
  public List<RankDemand> ownDemand(Map<Rank, Double> waitingMillis, long nowMillis) {
    arrivalsByRank.values().removeIf(arrivals -> arrivals.at(nowMillis) < 1);
    SortedMap<Rank, RankDemand> demand = new TreeMap<>();
    arrivalsByRank.forEach(
        (rank, arrivals) -> demand.put(rank, new RankDemand(rank, arrivals.at(nowMillis), 0)));
    waitingMillis.forEach(
        (rank, millis) ->
            demand.merge(
                rank,
                new RankDemand(rank, 0, millis),
                (known, added) -> new RankDemand(rank, known.arrivedMillis(), millis)));
    return List.copyOf(demand.values());
  }

  /** Replaces the demand at a peer; negative figures are ignored. */
  public void updatePeer(String peer, List<RankDemand> ranks, long nowMillis) {
    peerDemands.put(
        peer, new PeerDemand(ranks.stream().filter(RankDemand::isValid).toList(), nowMillis));
  }

  /** Removes the demand at a peer that is gone; does nothing if there is none. */
  public void removePeer(String peer) {
    peerDemands.remove(peer);
  }

  /**
   * Returns the prefill time of the requests that wait in all gateways ahead of one of this
   * gateway, divided by the number of engines that more urgent arrivals leave, in milliseconds.
   *
   * @param rank rank of the request
   * @param ownAheadMillis prefill time of the requests ahead of it in this gateway
   * @param engines number of engines
   * @param gateways number of live gateways, including this one
   * @param nowMillis current time
   */
  public double queuedAheadMillis(
      Rank rank, double ownAheadMillis, double engines, int gateways, long nowMillis) {
    Totals totals = peerTotals(nowMillis);
    double peersAheadMillis =
        totals.peers() == 0
            ? ownAheadMillis * (gateways - 1)
            : peersAheadMillis(totals, rank) * peerFactor(totals, gateways);
    double capacity = Math.max(1, engines);
    double leftEngines =
        capacity - moreUrgentMillis(totals, rank, gateways, nowMillis) / MILLIS_PER_SECOND;
    return (ownAheadMillis + peersAheadMillis)
        / Math.max(capacity * MIN_CAPACITY_FRACTION, leftEngines);
  }

  /**
   * Returns the most urgent rank whose arrivals, together with those of more urgent ones, are more
   * than the engines can prefill; empty if there is none.
   *
   * @param engines number of engines, each counted with its share of time for prefills
   * @param gateways number of live gateways, including this one
   * @param nowMillis current time
   */
  public Optional<Rank> firstRankAboveCapacity(double engines, int gateways, long nowMillis) {
    double sumMillis = 0;
    for (Map.Entry<Rank, Double> entry : arrivedMillis(gateways, nowMillis).entrySet()) {
      sumMillis += entry.getValue();
      if (sumMillis > engines * MILLIS_PER_SECOND) {
        return Optional.of(entry.getKey());
      }
    }
    return Optional.empty();
  }

  /**
   * Returns the prefill time of all requests that arrived at the fleet in the last second, in
   * milliseconds.
   */
  public double totalArrivedMillis(int gateways, long nowMillis) {
    return arrivedMillis(gateways, nowMillis).values().stream()
        .mapToDouble(Double::doubleValue)
        .sum();
  }

  /** Returns the arrivals at all gateways by rank, the most urgent first. */
  private SortedMap<Rank, Double> arrivedMillis(int gateways, long nowMillis) {
    Totals totals = peerTotals(nowMillis);
    double ownFactor = totals.peers() == 0 ? Math.max(1, gateways) : 1;
    SortedMap<Rank, Double> arrived = new TreeMap<>();
    arrivalsByRank.forEach(
        (rank, arrivals) -> arrived.put(rank, arrivals.at(nowMillis) * ownFactor));
    double factor = peerFactor(totals, gateways);
    totals
        .arrivedMillis()
        .forEach((rank, millis) -> arrived.merge(rank, millis * factor, Double::sum));
    return arrived;
  }

  private double moreUrgentMillis(Totals totals, Rank rank, int gateways, long nowMillis) {
    double ownFactor = totals.peers() == 0 ? Math.max(1, gateways) : 1;
    double ownMillis =
        arrivalsByRank.entrySet().stream()
            .filter(entry -> entry.getKey().isMoreUrgentThan(rank))
            .mapToDouble(entry -> entry.getValue().at(nowMillis))
            .sum();
    double peersMillis =
        totals.arrivedMillis().entrySet().stream()
            .filter(entry -> entry.getKey().isMoreUrgentThan(rank))
            .mapToDouble(Map.Entry::getValue)
            .sum();
    return ownMillis * ownFactor + peersMillis * peerFactor(totals, gateways);
  }

  private static double peersAheadMillis(Totals totals, Rank rank) {
    return totals.waitingMillis().entrySet().stream()
        .mapToDouble(
            entry -> {
              int order = entry.getKey().compareTo(rank);
              return order > 0 ? 0 : entry.getValue() * (order == 0 ? SAME_RANK_AHEAD_FRACTION : 1);
            })
        .sum();
  }

  /** Returns the factor by which the peers with recent updates stand for all peers. */
  private static double peerFactor(Totals totals, int gateways) {
    return totals.peers() == 0 ? 0 : Math.max(1, (double) (gateways - 1) / totals.peers());
  }

  private Totals peerTotals(long nowMillis) {
    if (nowMillis - peerTotals.computedMillis() >= TOTALS_MAX_AGE_MILLIS) {
      Map<Rank, Double> arrived = new HashMap<>();
      Map<Rank, Double> waiting = new HashMap<>();
      int peers = 0;
      for (PeerDemand peer : peerDemands.values()) {
        if (nowMillis - peer.receivedMillis() > PEER_MAX_AGE_MILLIS) {
          continue;
        }
        peers++;
        for (RankDemand demand : peer.ranks()) {
          arrived.merge(demand.rank(), demand.arrivedMillis(), Double::sum);
          waiting.merge(demand.rank(), demand.waitingMillis(), Double::sum);
        }
      }
      peerTotals = new Totals(arrived, waiting, peers, nowMillis);
    }
    return peerTotals;
  }
}
