package org.shallothold.core.routing;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.core.routing.SubsetSelector.Candidate;

/**
 * Guards against servers that no gateway connects to, unevenly used servers, and reconnections when
 * the fleet changes.
 */
class SubsetSelectorTest {

  private static List<String> gateways(int count) {
    return IntStream.range(0, count).mapToObj(number -> "gateway-" + number).toList();
  }

  private static List<Candidate> servers(int count, int domains) {
    return IntStream.range(0, count)
        .mapToObj(number -> new Candidate("engine-" + number, "domain-" + number % domains))
        .toList();
  }

  private static Set<String> subset(
      String gateway, List<String> gateways, List<Candidate> servers, int size) {
    SubsetSelector selector = SubsetSelector.of(gateway, size);
    selector.setLiveGateways(gateways);
    return selector.select(servers);
  }

  @ParameterizedTest(name = "{0} gateways, {1} servers in {2} domains, size {3}")
  @CsvSource({
    "1,   5,   3, 16, 1",
    "3,   13,  4, 16, 3",
    "3,   6,   3, 2,  1",
    "40,  200, 4, 16, 4",
    "110, 490, 13, 16, 4",
    "200, 20,  1, 16, 160",
  })
  void everyServerIsReachedEvenly(
      int gatewayCount, int serverCount, int domains, int size, int least) {
    List<String> gateways = gateways(gatewayCount);
    List<Candidate> servers = servers(serverCount, domains);
    Map<String, String> domainOf =
        servers.stream().collect(Collectors.toMap(Candidate::id, Candidate::failureDomain));
    Map<String, Integer> reached = new HashMap<>();
    int total = 0;
    for (String gateway : gateways) {
      Set<String> subset = subset(gateway, gateways, servers, size);
      total += subset.size();
      subset.forEach(server -> reached.merge(server, 1, Integer::sum));
      long subsetDomains = subset.stream().map(domainOf::get).distinct().count();
      assertTrue(subsetDomains >= Math.min(2, domains), "domains of " + gateway);
    }
    assertEquals(serverCount, reached.size(), "servers reached");
    int fewest = reached.values().stream().mapToInt(Integer::intValue).min().orElse(0);
    int greatest = reached.values().stream().mapToInt(Integer::intValue).max().orElse(0);
    assertTrue(fewest >= least, "fewest gateways of a server: " + fewest);
    assertTrue(greatest <= 2 * fewest + 2, "from " + fewest + " to " + greatest);
    double mean = total / (double) gatewayCount;
    // Gateways without a second failure domain add one more server.
    double bound = Math.max(size, serverCount / (double) gatewayCount) * 1.3 + 1;
    assertTrue(mean <= bound, "mean " + mean);
  }

  @Test
  void allServersOfASmallClassAreSelected() {
    assertEquals(13, subset("gateway-1", gateways(3), servers(13, 4), 16).size());
  }

  @Test
  void replacingAServerKeepsTheOtherServers() {
    List<Candidate> servers = new ArrayList<>(servers(200, 4));
    Set<String> before = subset("gateway-1", gateways(40), servers, 16);
    servers.set(17, new Candidate("engine-new", "domain-1"));
    Set<String> after = subset("gateway-1", gateways(40), servers, 16);
    before.remove("engine-17");
    after.remove("engine-new");
    assertEquals(before, after);
  }

  @Test
  void replacingAGatewayChangesFewServersOfOthers() {
    List<String> replaced = new ArrayList<>(gateways(40));
    replaced.set(17, "gateway-new");
    int moved = 0;
    for (String gateway : gateways(17)) {
      Set<String> difference = new HashSet<>(subset(gateway, replaced, servers(200, 4), 16));
      difference.removeAll(subset(gateway, gateways(40), servers(200, 4), 16));
      moved += difference.size();
    }
    // Each of the roughly 16 servers of the replaced gateway is selected by one of 39 others
    // instead.
    assertTrue(moved <= 16, "servers that 17 gateways gained: " + moved);
  }
}
