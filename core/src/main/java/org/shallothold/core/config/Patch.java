package org.shallothold.core.config;

import java.util.List;
import java.util.Map;

/**
 * A change to the configuration, written by an operator against a numbered version.
 *
 * @param base number of the version that the change was written against
 * @param author name of the operator who wrote it
 * @param time time of writing in ISO 8601
 * @param reason reason for the change, for the other operators
 * @param set items to add, or to replace as a whole
 * @param remove names of items to remove
 */
public record Patch(
    long base, String author, String time, String reason, Items set, RemovedNames remove) {

  /** Items to add or replace, by kind; each map is keyed by item name. */
  public record Items(
      Map<String, ServiceClass> classes,
      Map<String, Customer> customers,
      Map<String, BackendServer> servers,
      Map<String, PlainService> services) {

    /** No items. */
    public static final Items NONE = new Items(Map.of(), Map.of(), Map.of(), Map.of());

    /** Makes the maps immutable. */
    public Items {
      classes = Map.copyOf(classes);
      customers = Map.copyOf(customers);
      servers = Map.copyOf(servers);
      services = Map.copyOf(services);
    }
  }

  /** Names of items to remove, by kind. */
  public record RemovedNames(
      List<String> classes, List<String> customers, List<String> servers, List<String> services) {

    /** No names. */
    public static final RemovedNames NONE =
        new RemovedNames(List.of(), List.of(), List.of(), List.of());

    /** Makes the lists immutable. */
    public RemovedNames {
      classes = List.copyOf(classes);
      customers = List.copyOf(customers);
      servers = List.copyOf(servers);
      services = List.copyOf(services);
    }
  }
}
