package org.shallothold.core.route;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Collectors;
import java.util.stream.Stream;

/**
 * One version of the configuration of the direct path: routes, services, customers and limits on
 * callers. Immutable.
 */
public final class RouteConfiguration {

  private final long version;
  private final Map<String, Map<String, Route>> routesByHostAndPrefix;
  private final Map<String, RoutedService> services;
  private final boolean keysRequired;
  private final Map<String, CustomerIdentity> customersByKey;
  private final CallerLimits limits;
  private final Map<String, List<Rank>> ranksByService;
  private final Set<String> servicesWithStreamsThatRunOnce;

  private RouteConfiguration(
      long version,
      Map<String, Map<String, Route>> routesByHostAndPrefix,
      Map<String, RoutedService> services,
      boolean keysRequired,
      Map<String, CustomerIdentity> customersByKey,
      CallerLimits limits) {
    this.version = version;
    this.routesByHostAndPrefix = routesByHostAndPrefix;
    this.services = services;
    this.keysRequired = keysRequired;
    this.customersByKey = customersByKey;
    this.limits = limits;
    this.servicesWithStreamsThatRunOnce =
        routes().stream()
            .filter(route -> route.kind() == CallKind.STREAM_ONCE)
            .flatMap(route -> route.services().stream())
            .map(ServiceShare::service)
            .collect(Collectors.toUnmodifiableSet());
    List<CustomerIdentity> customers = keysRequired ? customersOfEachPriority() : List.of();
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
   * Creates a configuration. If two routes have the same host and prefix, or two services the same
   * name, the last one is used.
   *
   * @param version version number
   * @param routes routes of all hosts
   * @param services services that the routes name
   * @param keysRequired whether callers need a key on routes that aren't anonymous; with no
   *     customers such routes then refuse all requests
   * @param customersByKey customers by key
   * @param limits limits on callers
   */
  public static RouteConfiguration of(
      long version,
      List<Route> routes,
      List<RoutedService> services,
      boolean keysRequired,
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
    return new RouteConfiguration(
        version, byHost, byName, keysRequired, Map.copyOf(customersByKey), limits);
  }

  /** Returns the version number, which increases with each configuration. */
  public long version() {
    return version;
  }

  /**
   * Returns the route of the host with the longest prefix of the path, or empty if none matches.
   *
   * @param host host that the request names
   * @param path path of the request, without the query
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

  /** Returns the service with a name, or empty if there is none. */
  public Optional<RoutedService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns whether callers need a key on routes that aren't anonymous. */
  public boolean keysRequired() {
    return keysRequired;
  }

  /** Returns the customer with a key, or empty if there is none. */
  public Optional<CustomerIdentity> customer(String key) {
    return Optional.ofNullable(customersByKey.get(key));
  }

  /** Returns the limits on callers. */
  public CallerLimits limits() {
    return limits;
  }

  /** Returns the rank of the least urgent requests for a service; empty if it has no route. */
  public Optional<Rank> leastUrgentRank(String service) {
    return Optional.ofNullable(ranksByService.get(service)).map(List::getLast);
  }

  /** Returns whether a route forwards streams to a service that can't be resumed. */
  public boolean hasStreamsThatRunOnce(String service) {
    return servicesWithStreamsThatRunOnce.contains(service);
  }

  /**
   * Maps a rank to one of the priority levels that backend servers support, 0 being the most
   * urgent. The order of the ranks that requests for the service can have is kept. Several ranks
   * share a level if there are more ranks than levels. Every rank of an unknown service maps to
   * level 0.
   *
   * @param levels number of levels
   */
  public int urgencyLevel(String service, Rank rank, int levels) {
    List<Rank> ranks = ranksByService.getOrDefault(service, List.of());
    int position = (int) ranks.stream().filter(other -> other.isMoreUrgentThan(rank)).count();
    int level = ranks.size() <= levels ? position : position * levels / ranks.size();
    return Math.min(level, levels - 1);
  }

  /** Returns one customer for each distinct customer priority. */
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
