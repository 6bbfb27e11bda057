package org.shallothold.core.config;

import java.util.List;

/**
 * A plain service and which of its calls are orders.
 *
 * @param name unique name
 * @param orders calls that may not be repeated
 */
public record PlainService(String name, List<OrderRule> orders) {

  /**
   * Matches calls that may not be repeated.
   *
   * @param method HTTP method in upper case
   * @param pathPrefix start of the path below the service, with a leading slash
   */
  public record OrderRule(String method, String pathPrefix) {}

  /** Copies the list. */
  public PlainService {
    orders = List.copyOf(orders);
  }

  /** Returns whether a call is an order, that is, not repeatable. */
  public boolean isOrder(String method, String path) {
    return orders.stream()
        .anyMatch(rule -> rule.method().equals(method) && path.startsWith(rule.pathPrefix()));
  }
}
