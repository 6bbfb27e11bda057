package org.shallothold.experiment.fleet;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.shallothold.core.config.PlainService;
import org.shallothold.core.config.ServiceClass;

/**
 * What a fleet consists of. Immutable; a changed copy comes from a {@code with} method.
 *
 * @param gateways number of gateways, named {@code gateway-1} and so on
 * @param servers backend servers, each with a sidecar
 * @param classes service classes; one without servers may reach all of them
 * @param customers names of customers, each with a limit in requests per second; the key is {@link
 *     #key}, and every class is allowed
 * @param relayed whether connections between processes and to the platform pass relays, so that
 *     they can be cut
 * @param delay one-way delay of the relays
 * @param settings values that replace those of the sample settings, by role, section and key
 * @param platformOptions options of the stand-in platform
 */
public record FleetPlan(
    int gateways,
    List<ServerPlan> servers,
    List<ServiceClass> classes,
    Map<String, Double> customers,
    boolean relayed,
    Duration delay,
    Map<String, String> settings,
    List<String> platformOptions) {

  /** Model that the engines serve. */
  public static final String MODEL = "model";

  /** Name of the plain service. */
  public static final String SERVICE = "orders-and-stock";

  /** Calls of the plain service that may not be repeated. */
  static final PlainService ORDER_SERVICE =
      new PlainService(SERVICE, List.of(new PlainService.OrderRule("POST", "/orders")));

  private static final double AMPLE_REQUESTS_PER_SECOND = 100_000;
  private static final List<String> FAILURE_DOMAINS =
      List.of("hopper-hall", "sorting-bay", "quay-shed", "office-loft");

  /** Copies the collections. */
  public FleetPlan {
    servers = List.copyOf(servers);
    classes = List.copyOf(classes);
    customers = Map.copyOf(customers);
    settings = Map.copyOf(settings);
    platformOptions = List.copyOf(platformOptions);
  }

  /**
   * A backend server.
   *
   * @param id its id
   * @param engine whether it is a model engine; else it is the plain service
   * @param failureDomain failure domain of its VM
   * @param maxRunning requests that may run at once
   * @param maxWaiting places in its sidecar's queue
   * @param options options of its stand-in
   */
  public record ServerPlan(
      String id,
      boolean engine,
      String failureDomain,
      int maxRunning,
      int maxWaiting,
      List<String> options) {

    /** Copies the list. */
    public ServerPlan {
      options = List.copyOf(options);
    }
  }

  /**
   * Returns a plan with three classes (urgent, standard and bulk in the tiers 0, 1 and 3), one
   * customer and no relays.
   */
  public static FleetPlan of(int gateways, int engines, int services) {
    List<ServerPlan> servers = new ArrayList<>();
    for (int number = 1; number <= engines; number++) {
      servers.add(new ServerPlan("engine-" + number, true, domain(number), 8, 32, List.of()));
    }
    for (int number = 1; number <= services; number++) {
      servers.add(new ServerPlan("service-" + number, false, domain(number), 8, 32, List.of()));
    }
    return new FleetPlan(
        gateways,
        servers,
        List.of(
            new ServiceClass("urgent", 0, 1_000, 100, 30_000, List.of()),
            new ServiceClass("standard", 1, 2_000, 100, 30_000, List.of()),
            new ServiceClass("bulk", 3, 10_000, 200, 60_000, List.of())),
        Map.of("miller", AMPLE_REQUESTS_PER_SECOND),
        false,
        Duration.ZERO,
        Map.of(),
        List.of());
  }

  /**
   * Returns the failure domain of the gateway with a number from 1, one of its servers' domains.
   */
  String gatewayDomain(int number) {
    List<String> domains = servers.stream().map(ServerPlan::failureDomain).distinct().toList();
    return domains.isEmpty() ? domain(number) : domains.get((number - 1) % domains.size());
  }

  private static String domain(int number) {
    return FAILURE_DOMAINS.get((number - 1) % FAILURE_DOMAINS.size());
  }

  /** Returns the key of a customer. */
  public static String key(String customer) {
    return "key-of-" + customer;
  }

  /** Returns the plan with relays. */
  public FleetPlan withRelays(Duration newDelay) {
    return new FleetPlan(
        gateways, servers, classes, customers, true, newDelay, settings, platformOptions);
  }

  /** Returns the plan with other servers. */
  public FleetPlan withServers(List<ServerPlan> newServers) {
    return new FleetPlan(
        gateways, newServers, classes, customers, relayed, delay, settings, platformOptions);
  }

  /** Returns the plan with other limits of all engines and options of their stand-ins. */
  public FleetPlan withEngines(int maxRunning, int maxWaiting, String... options) {
    return withServers(
        servers.stream()
            .map(
                server ->
                    server.engine()
                        ? new ServerPlan(
                            server.id(),
                            true,
                            server.failureDomain(),
                            maxRunning,
                            maxWaiting,
                            List.of(options))
                        : server)
            .toList());
  }

  /** Returns the plan with other classes. */
  public FleetPlan withClasses(List<ServiceClass> newClasses) {
    return new FleetPlan(
        gateways, servers, newClasses, customers, relayed, delay, settings, platformOptions);
  }

  /** Returns the plan with other customers. */
  public FleetPlan withCustomers(Map<String, Double> newCustomers) {
    return new FleetPlan(
        gateways, servers, classes, newCustomers, relayed, delay, settings, platformOptions);
  }

  /**
   * Returns the plan with one more setting.
   *
   * @param role {@code gateway} or {@code sidecar}
   * @param value the value as TOML
   */
  public FleetPlan withSetting(String role, String section, String key, String value) {
    Map<String, String> changed = new TreeMap<>(settings);
    changed.put(role + "." + section + "." + key, value);
    return new FleetPlan(
        gateways, servers, classes, customers, relayed, delay, changed, platformOptions);
  }

  /** Returns the plan with other options of the stand-in platform. */
  public FleetPlan withPlatformOptions(String... options) {
    return new FleetPlan(
        gateways, servers, classes, customers, relayed, delay, settings, List.of(options));
  }
}
