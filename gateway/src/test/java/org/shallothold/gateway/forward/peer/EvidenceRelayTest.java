package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.peer.SecondSources.Gateway;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.PartSuspicion;

/** Tests to whom gateways pass evidence on. */
class EvidenceRelayTest {

  private static final CrashEvidence EVIDENCE =
      CrashEvidence.newBuilder()
          .addSuspicions(PartSuspicion.newBuilder().setPartId(5).setServerId("engine-1"))
          .build();

  @Nested
  class PassingOn {

    private final EvidenceRelay relay = new EvidenceRelay(new Gateway("10.0.0.1:9", "north"));
    private final OutgoingPeer first = new OutgoingPeer("10.0.0.2:9");
    private final OutgoingPeer second = new OutgoingPeer("10.0.0.3:9");

    private void passOn(Set<Integer> informed, int hops) {
      relay.passOn(EVIDENCE, "source", informed, hops, List.of(first, second));
    }

    /** Guards against gateways that never learn of evidence since its source can't reach them. */
    @Test
    void uninformedPeersGetIt() {
      passOn(Set.of(first.addressHash()), 0);
      assertEquals(Map.of(1, EVIDENCE), second.takeEvidence());
    }

    /** Guards against evidence that all gateways pass on to all although all have it. */
    @Test
    void receiversOfWhatAllHaveDoNotPassItOn() {
      passOn(Set.of(first.addressHash(), second.addressHash()), 0);
      assertEquals(Map.of(EvidenceRelay.MAX_HOPS, EVIDENCE), first.takeEvidence());
    }

    /** Guards against evidence that gateways take for new without end because its times drift. */
    @Test
    void evidenceIsNotPassedOnWithoutEnd() {
      passOn(Set.of(), EvidenceRelay.MAX_HOPS);
      assertEquals(Map.of(), first.takeEvidence());
    }

    @Test
    void evidenceWithinOneDelaySharesAMessage() {
      passOn(Set.of(), 0);
      passOn(Set.of(), 0);
      assertEquals(2, first.takeEvidence().getOrDefault(1, EVIDENCE).getSuspicionsCount());
      assertTrue(first.takeEvidence().isEmpty());
    }
  }

  @Nested
  class SecondSourcesOfGateways {

    private static List<Gateway> gateways(int count, int domains) {
      List<Gateway> gateways = new ArrayList<>();
      for (int i = 0; i < count; i++) {
        gateways.add(new Gateway("10.0.0." + i + ":9", "domain-" + i % domains));
      }
      return gateways;
    }

    private static List<Gateway> sourcesOf(Gateway receiver, List<Gateway> gateways) {
      return gateways.stream()
          .filter(own -> !own.equals(receiver))
          .filter(
              own ->
                  SecondSources.includes(
                      own,
                      receiver,
                      gateways.stream().filter(other -> !other.equals(own)).toList()))
          .toList();
    }

    /**
     * Guards against gateways of a failure domain that is cut off from another one, and get no
     * evidence from there, and against more than one gateway that sends it into the domain.
     */
    @Test
    void eachGatewayHasOneInItsDomainAndOneElsewhere() {
      List<Gateway> gateways = gateways(23, 3);
      for (Gateway receiver : gateways) {
        List<Gateway> sources = sourcesOf(receiver, gateways);
        assertEquals(2, sources.size());
        assertEquals(
            1,
            sources.stream()
                .filter(source -> source.failureDomain().equals(receiver.failureDomain()))
                .count());
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

    @Test
    void oneDomainHasOneSourceForEachGateway() {
      List<Gateway> gateways = gateways(5, 1);
      gateways.forEach(receiver -> assertEquals(1, sourcesOf(receiver, gateways).size()));
    }
  }
}
