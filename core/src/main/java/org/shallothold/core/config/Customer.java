package org.shallothold.core.config;

import java.util.List;

/**
 * A customer and its limits.
 *
 * @param name unique name
 * @param keySha256 SHA-256 of the customer's key in lower-case hexadecimal; the key itself is never
 *     held
 * @param classes classes that the customer may use; the first is its default
 * @param requestsPerSecond limit over all gateways together
 */
public record Customer(
    String name, String keySha256, List<String> classes, double requestsPerSecond) {

  /** Copies the list. */
  public Customer {
    classes = List.copyOf(classes);
  }
}
