package org.shallothold.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/** One version of routes, services, customers and limits. Immutable. */
public final class RoutingConfiguration {

  private final long version;
  private final Map<String, Map<String, Route>> routesByHostAndPrefix;
  private final Map<String, RoutedService> services;
  private final boolean keysNeeded;
  private final Map<String, CustomerIdentity> customersByKey;
  private final CallerLimits limits;
  private final Map<String, List<Rank>> ranksByService;

  private RoutingConfiguration(
      long version,
      Map<String, Map<String, Route>> routesByHostAndPrefix,
      Map<String, RoutedService> services,
      boolean keysNeeded,
      Map<String, CustomerIdentity> customersByKey,
      CallerLimits limits) {
    this.version = version;
    this.routesByHostAndPrefix = routesByHostAndPrefix;
    this.services = services;
    this.keysNeeded = keysNeeded;
    this.customersByKey = customersByKey;
    this.limits = limits;
    List<CustomerIdentity> customers = keysNeeded ? customersOfEachPriority() : List.of();
    this.ranksByService =
        routes().stream()
            .flatMap(
                route ->
                    route.services().stream()
                        .flatMap(
                            share ->
                                ranks(route, route.anonymous() ? List.of() : customers)
                                    .map(rank -> Map.entry(share.service(), rank))))
            .distinct()
            .collect(
                Collectors.groupingBy(
                    Map.Entry::getKey,
                    Collectors.mapping(
                        Map.Entry::getValue,
                        Collectors.collectingAndThen(
                            Collectors.toList(), ranks -> ranks.stream().sorted().toList()))));
  }

  /**
   * Returns a configuration.
   *
   * @param keysNeeded whether callers of routes that aren't anonymous need a key, also when no
   *     customer holds one
   */
  public static RoutingConfiguration of(
      long version,
      List<Route> routes,
      List<RoutedService> services,
      boolean keysNeeded,
      Map<String, CustomerIdentity> customersByKey,
      CallerLimits limits) {
    Map<String, Map<String, Route>> byHost =
        routes.stream()
            .collect(
                Collectors.groupingBy(
                    Route::host,
                    Collectors.toMap(Route::pathPrefix, Function.identity(), (a, b) -> b)));
    Map<String, RoutedService> byName =
        services.stream()
            .collect(Collectors.toMap(RoutedService::name, Function.identity(), (a, b) -> b));
    return new RoutingConfiguration(
        version, byHost, byName, keysNeeded, Map.copyOf(customersByKey), limits);
  }

  /** Returns the version number; a later configuration has a greater one. */
  public long version() {
    return version;
  }

  /**
   * Returns the route of the host whose prefix is the longest that begins the path, or empty.
   *
   * @param path path of the request without its query
   */
  public Optional<Route> find(String host, String path) {
    Map<String, Route> byPrefix = routesByHostAndPrefix.get(host);
    if (byPrefix == null) {
      return Optional.empty();
    }
    for (int end = path.lastIndexOf('/'); end >= 0; end = path.lastIndexOf('/', end - 1)) {
      Route route = byPrefix.get(path.substring(0, end + 1));
      if (route != null) {
        return Optional.of(route);
      }
    }
    return Optional.empty();
  }

  /** Returns a service, or empty if the configuration doesn't name it. */
  public Optional<RoutedService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether callers of routes that aren't anonymous need a key. */
  public boolean keysNeeded() {
    return keysNeeded;
  }

  /** Returns the customer of a key, or empty if no customer holds it. */
  public Optional<CustomerIdentity> customer(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns what callers may send. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the rank of the least urgent requests for a service; empty if no route leads there. */
  public Optional<Rank> lowestRank(String service) {
    return Optional.ofNullable(ranksByService.get(service)).map(List::getLast);
  }

  /**
   * Returns the place of a rank among those that requests for a service can have, as a number from
   * 0 for the most urgent. Servers know fewer priorities than there are ranks: the order is kept,
   * and ranks share a number where there are more of them.
   *
   * @param levels how many numbers there are
   */
  public int urgencyLevel(String service, Rank rank, int levels) {
    List<Rank> ranks = ranksByService.getOrDefault(service, List.of());
    int place = (int) ranks.stream().filter(other -> other.isAbove(rank)).count();
    int level = ranks.size() <= levels ? place : place * levels / ranks.size();
    return Math.min(level, levels - 1);
  }

  /** Returns one customer for each priority that customers have. */
  private List<CustomerIdentity> customersOfEachPriority() {
    return customersByKey.values().stream()
        .collect(
            Collectors.toMap(CustomerIdentity::priority, Function.identity(), (one, other) -> one))
        .values()
        .stream()
        .toList();
  }

  private static Stream<Rank> ranks(Route route, List<CustomerIdentity> customers) {
    return customers.isEmpty()
        ? Stream.of(Rank.of(route.priority()))
        : customers.stream().map(customer -> customer.rankOn(route));
  }

  /** Returns all routes, ordered by name. */
  public List<Route> routes() {
    return routesByHostAndPrefix.values().stream()
        .flatMap(byPrefix -> byPrefix.values().stream())
        .sorted(Comparator.comparing(Route::name))
        .toList();
  }
}
