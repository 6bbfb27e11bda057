package org.shallothold.gateway.forward;

import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.shallothold.core.placement.FleetDemand;
import org.shallothold.core.route.Rank;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.RankDemand;

/** Sends the demand at this gateway to its peers, and applies theirs. Stateless. */
final class DemandExchange {

  private DemandExchange() {}

  /** Adds the demand of a service at this gateway to an update for peers. */
  static void describe(String service, ServiceQueue queue, FleetNews.Builder update) {
    queue.ownDemand().stream().map(demand -> toProto(service, demand)).forEach(update::addDemand);
  }

  /** Applies the demand in the update of a peer to all queues. */
  static void apply(FleetNews update, Map<String, ServiceQueue> queues) {
    Map<String, List<FleetDemand.RankDemand>> demandByService =
        update.getDemandList().stream()
            .collect(
                Collectors.groupingBy(
                    RankDemand::getService,
                    Collectors.mapping(DemandExchange::fromProto, Collectors.toList())));
    long nowMillis = MonotonicClock.millis();
    queues.forEach(
        (service, queue) ->
            queue
                .fleetDemand()
                .updatePeer(
                    update.getProcessId(),
                    demandByService.getOrDefault(service, List.of()),
                    nowMillis));
  }

  private static RankDemand toProto(String service, FleetDemand.RankDemand demand) {
    return RankDemand.newBuilder()
        .setService(service)
        .setPriority(demand.rank().priority())
        .setRoutePriority(demand.rank().routePriority())
        .setArrivedMillis((int) Math.round(demand.arrivedMillis()))
        .setWaitingMillis((int) Math.round(demand.waitingMillis()))
        .build();
  }

  private static FleetDemand.RankDemand fromProto(RankDemand demand) {
    return new FleetDemand.RankDemand(
        new Rank(demand.getPriority(), demand.getRoutePriority()),
        demand.getArrivedMillis(),
        demand.getWaitingMillis());
  }
}
