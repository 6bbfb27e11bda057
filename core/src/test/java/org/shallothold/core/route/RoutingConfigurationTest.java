package org.shallothold.core.route;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Which route a request takes. */
class RoutingConfigurationTest {

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

  private final RoutingConfiguration configuration =
      RoutingConfiguration.of(
          7,
          List.of(
              route("short", "/x/", 2, new ServiceShare("desk", 1)),
              route("long", "/x/y/", 1, new ServiceShare("desk", 9), new ServiceShare("pool", 1))),
          List.of(new RoutedService("desk", 10, false, 0)),
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
  void sharesFollowTheirWeights() {
    Route split = configuration.find("a.example", "/x/y/").orElseThrow();
    assertEquals("desk", split.service(0.89));
    assertEquals("pool", split.service(0.91));
    assertTrue(split.leadsTo("pool"));
  }

  @Test
  void lowestPriorityIsThatOfTheLeastUrgentRoute() {
    assertEquals(2, configuration.lowestPriority("desk"));
    assertEquals(1, configuration.lowestPriority("pool"));
    assertEquals(0, configuration.lowestPriority("unknown"));
  }

  @Test
  void customersPriorityGoesBeforeTheRoutes() {
    Route route = configuration.find("a.example", "/x/").orElseThrow();
    assertEquals(2, configuration.customer("key").orElseThrow().priorityOn(route));
    assertEquals(0, new CustomerIdentity("other", 0).priorityOn(route));
  }
}
