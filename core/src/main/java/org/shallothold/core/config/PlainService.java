package org.shallothold.core.config;

import java.util.List;

/**
 * A plain service, with rules that say which of its calls are orders.
 *
 * @param name unique name
 * @param orders rules that match orders, the calls that must not be repeated
 */
public record PlainService(String name, List<OrderRule> orders) {

  /**
   * A rule that matches calls that must not be repeated.
   *
   * @param method HTTP method in upper case
   * @param pathPrefix prefix of the path below the service, with a leading slash
   */
  public record OrderRule(String method, String pathPrefix) {}

  /** Makes the list of rules immutable. */
  public PlainService {
    orders = List.copyOf(orders);
  }

  /** Returns whether a call is an order, that is, must not be repeated. */
  public boolean isOrder(String method, String path) {
    return orders.stream()
        .anyMatch(rule -> rule.method().equals(method) && path.startsWith(rule.pathPrefix()));
  }
}
