package org.shallothold.core.config;

import java.util.List;

/**
 * A customer of the router, with its key, its service classes and its rate limit.
 *
 * @param name unique name
 * @param keySha256 SHA-256 of the customer's key in lower-case hexadecimal; the key itself is never
 *     stored
 * @param classes service classes that the customer may use; the first one is its default
 * @param requestsPerSecond rate limit, summed over all gateways
 */
public record Customer(
    String name, String keySha256, List<String> classes, double requestsPerSecond) {

  /** Makes the list of classes immutable. */
  public Customer {
    classes = List.copyOf(classes);
  }
}
