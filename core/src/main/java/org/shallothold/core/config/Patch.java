package org.shallothold.core.config;

import java.util.List;
import java.util.Map;

/**
 * A change that an operator wrote against a numbered version of the configuration.
 *
 * @param base number of the version that the author saw
 * @param author who wrote it
 * @param time when it was written, ISO 8601
 * @param reason why, for the other pair of operators
 * @param set items to add or replace whole, by kind and name
 * @param remove names of items to remove
 */
public record Patch(
    long base, String author, String time, String reason, Items set, RemovedNames remove) {

  /** Items to add or replace. */
  public record Items(
      Map<String, ServiceClass> classes,
      Map<String, Customer> customers,
      Map<String, BackendServer> servers,
      Map<String, PlainService> services) {

    /** No items. */
    public static final Items NONE = new Items(Map.of(), Map.of(), Map.of(), Map.of());

    /** Copies the maps. */
    public Items {
      classes = Map.copyOf(classes);
      customers = Map.copyOf(customers);
      servers = Map.copyOf(servers);
      services = Map.copyOf(services);
    }
  }

  /** Names of items to remove. */
  public record RemovedNames(
      List<String> classes, List<String> customers, List<String> servers, List<String> services) {

    /** No names. */
    public static final RemovedNames NONE =
        new RemovedNames(List.of(), List.of(), List.of(), List.of());

    /** Copies the lists. */
    public RemovedNames {
      classes = List.copyOf(classes);
      customers = List.copyOf(customers);
      servers = List.copyOf(servers);
      services = List.copyOf(services);
    }
  }
}
