package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Collections;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.peer.SecondSources.Gateway;

/** Tests to whom gateways pass evidence on. */
class EvidenceRelayTest {

  private static final int MAX_PEERS = 24;

  private static List<Gateway> gateways(int count, int domains) {
    List<Gateway> gateways = new ArrayList<>();
    for (int i = 0; i < count; i++) {
      gateways.add(new Gateway("10.0." + i / 200 + "." + i % 200 + ":9", "domain-" + i % domains));
    }
    return gateways;
  }

  @Nested
  class PassingOn {

    private final EvidenceRelay relay = new EvidenceRelay(new Gateway("10.0.0.1:9", "north"));
    private final Gateway first = new Gateway("10.0.0.2:9", "north");
    private final Gateway second = new Gateway("10.0.0.3:9", "south");

    private Map<String, Integer> receivers(int hops, Gateway... informed) {
      return relay.receivers(
          List.of(first, second),
          Set.of(informed).stream().map(Gateway::addressHash).collect(Collectors.toSet()),
          hops,
          "east");
    }

    /** Guards against gateways that never learn of evidence since its source can't reach them. */
    @Test
    void uninformedGatewaysGetIt() {
      assertEquals(Map.of(first.address(), 2, second.address(), 2), receivers(1));
    }

    /** Guards against evidence that all gateways pass on to all although all have it. */
    @Test
    void receiversOfWhatAllHaveDoNotPassItOn() {
      assertTrue(
          receivers(0, first, second).values().stream()
              .allMatch(hops -> hops == EvidenceRelay.MAX_HOPS));
    }

    /** Guards against evidence that gateways take for new without end because its times drift. */
    @Test
    void evidenceIsNotPassedOnWithoutEnd() {
      assertEquals(Map.of(), receivers(EvidenceRelay.MAX_HOPS));
    }
  }

  /** Gateways, each connected to some others, among which one piece of evidence spreads. */
  private static final class Spread {
    private final Map<Gateway, List<Gateway>> peers = new HashMap<>();
    private final BiPredicate<Gateway, Gateway> cut;
    private final Set<Gateway> reached = new HashSet<>();
    private int messages;

    private record Message(Gateway sender, Gateway receiver, int hops) {}

    private Spread(List<Gateway> gateways, BiPredicate<Gateway, Gateway> cut) {
      this.cut = cut;
      Random random = new Random(1);
      for (Gateway gateway : gateways) {
        List<Gateway> others = new ArrayList<>(gateways);
        others.remove(gateway);
        Collections.shuffle(others, random);
        peers.put(gateway, others.subList(0, Math.min(MAX_PEERS, others.size())));
      }
    }

    private List<Gateway> peersOf(Gateway gateway) {
      return peers.getOrDefault(gateway, List.of());
    }

    /** Sends new evidence to all peers of its source, which does not know yet who is cut off. */
    private void start(Gateway source) {
      reached.add(source);
      Deque<Message> waiting = new ArrayDeque<>();
      peersOf(source).forEach(peer -> waiting.add(new Message(source, peer, 0)));
      while (!waiting.isEmpty()) {
        Message message = waiting.removeFirst();
        messages++;
        boolean isNew =
            !cut.test(message.sender(), message.receiver()) && reached.add(message.receiver());
        if (isNew) {
          passOn(message, waiting);
        }
      }
    }

    private void passOn(Message message, Deque<Message> waiting) {
      Gateway own = message.receiver();
      List<Gateway> others =
          peersOf(own).stream().filter(peer -> !peer.equals(message.sender())).toList();
      Map<String, Integer> receivers =
          new EvidenceRelay(own)
              .receivers(
                  others,
                  peersOf(message.sender()).stream()
                      .map(Gateway::addressHash)
                      .collect(Collectors.toSet()),
                  message.hops(),
                  message.sender().failureDomain());
      others.stream()
          .filter(peer -> receivers.containsKey(peer.address()))
          .forEach(
              peer ->
                  waiting.add(new Message(own, peer, receivers.getOrDefault(peer.address(), 0))));
    }
  }

  @Nested
  class Fleets {

    /** Guards against messages that grow with the square of the number of gateways. */
    @Test
    void eachGatewayOfAMeshGetsAPieceOfEvidenceThreeTimes() {
      List<Gateway> gateways = gateways(23, 3);
      Spread spread = new Spread(gateways, (sender, receiver) -> false);
      spread.start(gateways.getFirst());
      assertEquals(23, spread.reached.size());
      assertTrue(spread.messages <= 3 * 22, spread.messages + " messages");
    }

    /**
     * Guards against gateways that learn late of an end since a domain was just cut off another.
     */
    @Test
    void domainThatIsCutOffFromTheSourceGetsItFromTheThird() {
      List<Gateway> gateways = gateways(23, 3);
      for (Gateway source : gateways) {
        Spread spread =
            new Spread(
                gateways,
                (sender, receiver) -> areBetween(sender, receiver, "domain-0", "domain-1"));
        spread.start(source);
        assertEquals(23, spread.reached.size());
      }
    }

    private static boolean areBetween(
        Gateway sender, Gateway receiver, String first, String second) {
      String from = sender.failureDomain();
      String to = receiver.failureDomain();
      return (from.equals(first) && to.equals(second)) || (from.equals(second) && to.equals(first));
    }

    /** Guards against a gateway that learns late of an end since it just lost one connection. */
    @Test
    void gatewayThatIsCutOffFromTheSourceGetsItFromAnother() {
      List<Gateway> gateways = gateways(12, 2);
      Gateway source = gateways.getFirst();
      for (Gateway lost : gateways.subList(1, gateways.size())) {
        Spread spread =
            new Spread(
                gateways, (sender, receiver) -> sender.equals(source) && receiver.equals(lost));
        spread.start(source);
        assertEquals(12, spread.reached.size());
      }
    }

    /** Guards against a limit of hops that leaves out gateways of a fleet that is no mesh. */
    @Test
    void allGatewaysOfALargeFleetGetIt() {
      for (int count : new int[] {60, 300, 1_100}) {
        List<Gateway> gateways = gateways(count, 13);
        Spread spread = new Spread(gateways, (sender, receiver) -> false);
        spread.start(gateways.getFirst());
        assertEquals(count, spread.reached.size());
      }
    }
  }

  @Nested
  class SecondSourcesOfGateways {

    private static List<Gateway> sourcesOf(Gateway receiver, List<Gateway> gateways) {
      return gateways.stream()
          .filter(own -> !own.equals(receiver))
          .filter(
              own ->
                  SecondSources.includes(
                      own,
                      receiver,
                      gateways.stream().filter(other -> !other.equals(own)).toList(),
                      "domain-0"))
          .toList();
    }

    /** Guards against more than one gateway that sends a piece of evidence into a domain again. */
    @Test
    void eachGatewayHasOneInItsDomainAndOneInAThird() {
      List<Gateway> gateways = gateways(23, 3);
      for (Gateway receiver : gateways) {
        List<Gateway> sources = sourcesOf(receiver, gateways);
        assertEquals(2, sources.size());
        assertEquals(
            1,
            sources.stream()
                .filter(source -> source.failureDomain().equals(receiver.failureDomain()))
                .count());
        assertTrue(
            sources.stream()
                .filter(source -> !source.failureDomain().equals(receiver.failureDomain()))
                .noneMatch(source -> source.failureDomain().equals("domain-0")));
      }
    }

    /** Guards against gateways that all depend on the same few. */
    @Test
    void sourcesAreSpreadOverTheGateways() {
      List<Gateway> gateways = gateways(24, 3);
      long distinct =
          gateways.stream()
              .flatMap(receiver -> sourcesOf(receiver, gateways).stream())
              .distinct()
              .count();
      assertTrue(distinct >= 12, distinct + " of 24 gateways are second sources");
    }

    /** Guards against a fleet in one failure domain, or two, without second sources. */
    @Test
    void fewDomainsHaveSecondSourcesToo() {
      List<Gateway> oneDomain = gateways(5, 1);
      oneDomain.forEach(receiver -> assertEquals(1, sourcesOf(receiver, oneDomain).size()));
      List<Gateway> twoDomains = gateways(6, 2);
      twoDomains.forEach(receiver -> assertEquals(2, sourcesOf(receiver, twoDomains).size()));
    }
  }
}
