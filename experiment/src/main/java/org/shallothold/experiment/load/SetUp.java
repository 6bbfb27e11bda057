package org.shallothold.experiment.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.FleetPlan.ServerPlan;

/** The two deployments of docs/design.md, section 2, with stand-in engines. */
public enum SetUp {
  /** Four failure domains, 13 engines, 4 services. */
  MILL(
      "hopper-hall,sorting-bay,quay-shed,office-loft",
      13,
      4,
      4,
      Duration.ofNanos(500_000),
      Duration.ofMillis(3)),

  /** Three failure domains, 6 engines, 3 services. */
  AGENCY("palermo,catania,siracusa", 6, 3, 3, Duration.ofNanos(1_500_000), Duration.ofMillis(1));

  /** Requests that an engine runs at once. */
  static final int SLOTS = 8;

  // A step of a full batch takes 26.6 ms, which leaves room for prefill below the target of 37 ms
  // between tokens.
  private static final int STEP_BASE_MILLIS = 25;
  private static final double STEP_PER_RUNNING_MILLIS = 0.2;
  private static final int QUEUE_PLACES = 16;
  private static final double CUSTOMER_LIMIT = 10_000;

  private final String failureDomains;
  private final int engines;
  private final int services;
  private final int gateways;
  private final Duration domainDelay;
  private final Duration callerDelay;

  SetUp(
      String failureDomains,
      int engines,
      int services,
      int gateways,
      Duration domainDelay,
      Duration callerDelay) {
    this.failureDomains = failureDomains;
    this.engines = engines;
    this.services = services;
    this.gateways = gateways;
    this.domainDelay = domainDelay;
    this.callerDelay = callerDelay;
  }

  /** Returns the one-way delay between callers and gateways. */
  Duration callerDelay() {
    return callerDelay;
  }

  /** Returns the tokens per second that all engines generate with full batches. */
  double capacityTokensPerSecond() {
    double stepSeconds = (STEP_BASE_MILLIS + STEP_PER_RUNNING_MILLIS * SLOTS) / 1_000;
    return engines * SLOTS / stepSeconds;
  }

  /**
   * Returns the fleet.
   *
   * @param routing policy of the gateways
   * @param queue policy of the sidecars' queues
   */
  FleetPlan plan(String routing, String queue) {
    List<String> domains = List.of(failureDomains.split(",", -1));
    List<ServerPlan> servers = new ArrayList<>();
    for (int number = 0; number < engines; number++) {
      servers.add(
          new ServerPlan(
              "engine-" + (number + 1),
              true,
              domains.get(number % domains.size()),
              SLOTS,
              QUEUE_PLACES,
              List.of("--max-batch", "" + SLOTS, "--step-base-ms", "" + STEP_BASE_MILLIS)));
    }
    for (int number = 0; number < services; number++) {
      servers.add(
          new ServerPlan(
              "service-" + (number + 1),
              false,
              domains.get(number % domains.size()),
              SLOTS,
              QUEUE_PLACES,
              List.of()));
    }
    Map<String, Double> customers = new TreeMap<>();
    Workload.CUSTOMERS.forEach(name -> customers.put(name, CUSTOMER_LIMIT));
    return FleetPlan.of(gateways, 0, 0)
        .withServers(servers)
        .withCustomers(customers)
        .withClasses(
            List.of(
                new ServiceClass("urgent", 0, 640, 37, 20_000, List.of()),
                new ServiceClass("standard", 1, 2_000, 50, 30_000, List.of()),
                new ServiceClass("bulk", 3, 10_000, 100, 60_000, List.of())))
        .withSetting("gateway", "routing", "policy", '"' + routing + '"')
        .withSetting("sidecar", "queue", "policy", '"' + queue + '"')
        .withRelays(domainDelay);
  }
}
