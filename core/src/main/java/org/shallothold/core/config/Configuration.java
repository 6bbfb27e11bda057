package org.shallothold.core.config;

import java.util.Map;
import java.util.Optional;

/**
 * One version of the configuration. Immutable and free to share between threads.
 *
 * @param version number and digest
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

  /** The configuration before the first patch. */
  public static final Configuration EMPTY =
      new Configuration(ConfigurationVersion.INITIAL, Map.of(), Map.of(), Map.of(), Map.of());

  /** Copies the maps, sorted by name so that every process lists them alike. */
  public Configuration {
    classes = ItemMap.copyOf(classes);
    customers = ItemMap.copyOf(customers);
    servers = ItemMap.copyOf(servers);
    services = ItemMap.copyOf(services);
  }

  /** Returns the class, or empty if there is none of this name. */
  public Optional<ServiceClass> serviceClass(String name) {
    return Optional.ofNullable(classes.get(name));
  }

  /** Returns the customer, or empty if there is none of this name. */
  public Optional<Customer> customer(String name) {
    return Optional.ofNullable(customers.get(name));
  }

  /** Returns the backend server, or empty if there is none of this id. */
  public Optional<BackendServer> server(String id) {
    return Optional.ofNullable(servers.get(id));
  }

  /** Returns the plain service, or empty if there is none of this name. */
  public Optional<PlainService> service(String name) {
    return Optional.ofNullable(services.get(name));
  }

  /** Returns this configuration under another version, or this if it has that version. */
  public Configuration withVersion(ConfigurationVersion newVersion) {
    return newVersion.equals(version)
        ? this
        : new Configuration(newVersion, classes, customers, servers, services);
  }
}
