package org.shallothold.core.config;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration: service classes, customers, backend servers and plain services.
 * Immutable and thread-safe. The routes of the direct path are not part of it; see {@link
 * org.shallothold.core.route.RouteConfiguration}.
 *
 * @param version number of this version and digest of the history that led to it
 * @param classes service classes by name
 * @param customers customers by name
 * @param servers backend servers by id
 * @param services plain services by name
 */
public record Configuration(
    ConfigurationVersion version,
    Map<String, ServiceClass> classes,
    Map<String, Customer> customers,
    Map<String, BackendServer> servers,
    Map<String, PlainService> services) {

  /** The empty configuration, in force before the first patch. */
  public static final Configuration EMPTY =
      new Configuration(ConfigurationVersion.INITIAL, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps and sorts them by name, so that every process iterates in the same order. */
  public Configuration {
    classes = ItemMap.copyOf(classes);
    customers = ItemMap.copyOf(customers);
    servers = ItemMap.copyOf(servers);
    services = ItemMap.copyOf(services);
  }

  /** Returns the service class with a name, or empty if there is none. */
  public Optional<ServiceClass> serviceClass(String name) {
    return Optional.ofNullable(classes.get(name));
  }

  /** Returns the customer with a name, or empty if there is none. */
  public Optional<Customer> customer(String name) {
    return Optional.ofNullable(customers.get(name));
  }

  /** Returns the backend server with an id, or empty if there is none. */
  public Optional<BackendServer> server(String id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns the plain service with a name, or empty if there is none. */
  public Optional<PlainService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns a copy with another version, or this instance if the version is unchanged. */
  public Configuration withVersion(ConfigurationVersion newVersion) {
    return newVersion.equals(version)
        ? this
        : new Configuration(newVersion, classes, customers, servers, services);
  }
}
