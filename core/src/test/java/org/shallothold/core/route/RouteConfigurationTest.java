package org.shallothold.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against requests on the wrong route, and against wrong ranks of requests. */
class RouteConfigurationTest {

  private static Route route(String name, String prefix, int priority, ServiceShare... shares) {
    return new Route(
        name,
        "a.example",
        prefix,
        CallKind.REPEATABLE,
        1_000,
        100,
        0,
        2,
        priority,
        false,
        false,
        List.of(shares));
  }

  private final RouteConfiguration configuration =
      RouteConfiguration.of(
          7,
          List.of(
              route("short", "/x/", 2, new ServiceShare("desk", 1)),
              route("long", "/x/y/", 1, new ServiceShare("desk", 9), new ServiceShare("pool", 1))),
          List.of(new RoutedService("desk", 10, false, 0, 1, RoutedService.NO_TRANSFER)),
          true,
          Map.of("key", new CustomerIdentity("customer", CustomerIdentity.NO_PRIORITY)),
          CallerLimits.DEFAULT);

  private Optional<String> find(String host, String path) {
    return configuration.find(host, path).map(Route::name);
  }

  @Test
  void longestPrefixWins() {
    assertEquals(Optional.of("long"), find("a.example", "/x/y/z"));
    assertEquals(Optional.of("short"), find("a.example", "/x/yy"));
  }

  @Test
  void otherHostsAndPathsHaveNoRoute() {
    assertEquals(Optional.empty(), find("b.example", "/x/y/z"));
    assertEquals(Optional.empty(), find("a.example", "/z/"));
    assertEquals(Optional.empty(), find("a.example", "/x"));
  }

  @Test
  void servicesAreSelectedByWeight() {
    Route split = configuration.find("a.example", "/x/y/").orElseThrow();
    assertEquals("desk", split.selectService(0.89));
    assertEquals("pool", split.selectService(0.91));
    assertTrue(split.hasService("pool"));
  }

  @Test
  void leastUrgentRankIsThatOfTheLeastUrgentRoute() {
    assertEquals(Optional.of(Rank.of(2)), configuration.leastUrgentRank("desk"));
    assertEquals(Optional.of(Rank.of(1)), configuration.leastUrgentRank("pool"));
    assertEquals(Optional.empty(), configuration.leastUrgentRank("unknown"));
  }

  /**
   * Guards against treating all requests as urgent, so that none could be refused under overload,
   * when all customers have priorities that take precedence over the routes'.
   */
  @Test
  void leastUrgentRankUsesCustomerPriorities() {
    RouteConfiguration ranked =
        RouteConfiguration.of(
            8,
            List.of(
                route("digest", "/d/", 2, new ServiceShare("pool", 1)),
                route("sheet", "/s/", 1, new ServiceShare("pool", 1))),
            List.of(),
            true,
            Map.of("a", new CustomerIdentity("first", 0), "b", new CustomerIdentity("second", 1)),
            CallerLimits.DEFAULT);
    assertEquals(Optional.of(new Rank(1, 2)), ranked.leastUrgentRank("pool"));
  }

  /** Guards against connection resets because all gateways together exceed a server's limit. */
  @Test
  void gatewaysShareTheConnectionLimitOfAServer() {
    RoutedService desk = configuration.service("desk").orElseThrow();
    assertEquals(10, desk.connectionsPerGateway(1));
    assertEquals(3, desk.connectionsPerGateway(3));
    assertEquals(1, desk.connectionsPerGateway(40));
  }

  @Test
  void customerPriorityTakesPrecedenceOverRoutePriority() {
    Route route = configuration.find("a.example", "/x/").orElseThrow();
    assertEquals(Rank.of(2), configuration.customer("key").orElseThrow().rankOn(route));
    assertEquals(new Rank(0, 2), new CustomerIdentity("other", 0).rankOn(route));
  }

  @Nested
  class UrgencyLevel {

    private static final int LEVELS = 10;

    private final RouteConfiguration ranked =
        RouteConfiguration.of(
            1,
            List.of(
                route("query", "/q/", 0, new ServiceShare("pool", 1)),
                route("digest", "/d/", 2, new ServiceShare("pool", 1))),
            List.of(),
            true,
            Map.of(
                "large", new CustomerIdentity("large", 1),
                "small", new CustomerIdentity("small", 4)),
            CallerLimits.DEFAULT);

    /**
     * Guards against an engine that preempts an urgent request while a request of the same customer
     * on a less urgent route keeps running. With the customer's priority alone, an engine can't
     * tell them apart.
     */
    @Test
    void differsBetweenRoutesOfOneCustomer() {
      assertEquals(0, ranked.urgencyLevel("pool", new Rank(1, 0), LEVELS));
      assertEquals(1, ranked.urgencyLevel("pool", new Rank(1, 2), LEVELS));
      assertEquals(2, ranked.urgencyLevel("pool", new Rank(4, 0), LEVELS));
      assertEquals(3, ranked.urgencyLevel("pool", new Rank(4, 2), LEVELS));
    }

    /** Guards against a wrong order when servers support fewer levels than there are ranks. */
    @Test
    void keepsTheOrderWithFewerLevelsThanRanks() {
      assertEquals(0, ranked.urgencyLevel("pool", new Rank(1, 0), 2));
      assertEquals(0, ranked.urgencyLevel("pool", new Rank(1, 2), 2));
      assertEquals(1, ranked.urgencyLevel("pool", new Rank(4, 0), 2));
      assertEquals(1, ranked.urgencyLevel("pool", new Rank(9, 9), 2));
    }

    @Test
    void ofAnUnknownServiceIsTheMostUrgent() {
      assertEquals(0, ranked.urgencyLevel("unknown", Rank.of(3), LEVELS));
    }
  }
}
