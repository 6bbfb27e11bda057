package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.EnumMap;
import java.util.Map;
import org.junit.jupiter.api.Test;
import org.shallothold.gateway.forward.peer.PeerTraffic.Cause;
import org.shallothold.gateway.forward.peer.PeerTraffic.Content;
import org.shallothold.gateway.forward.peer.PeerTraffic.Distance;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FleetNews;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PartSuspicion;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.StateDifference;
import org.shallothold.wire.proto.WorkChanges;

/** Guards against bytes that the metric counts twice, not at all, or as something else. */
class MessageSizeTest {

  private static Map<Content, Integer> count(Envelope envelope) {
    Map<Content, Integer> counted = new EnumMap<>(Content.class);
    MessageSize.of(envelope)
        .count(
            (cause, content, distance, bytes) -> counted.merge(content, bytes, Integer::sum),
            Cause.CHANGE,
            Distance.between("north", "south"));
    return counted;
  }

  private static int sum(Map<Content, Integer> counted) {
    return counted.values().stream().mapToInt(Integer::intValue).sum();
  }

  private static WorkChanges changes() {
    return WorkChanges.newBuilder()
        .addOpenWork(OpenWork.newBuilder().setServerId("engine-1").setRequests(3))
        .addPrefixReads(PrefixRead.newBuilder().setServerId("engine-1").setChainHash(7))
        .setCrashEvidence(
            CrashEvidence.newBuilder()
                .addSuspicions(PartSuspicion.newBuilder().setPartId(5).setServerId("engine-2")))
        .build();
  }

  @Test
  void partsOfChangesAddUp() {
    for (WorkChanges changes : new WorkChanges[] {changes(), CompactForm.compact(changes())}) {
      Envelope envelope = Envelope.newBuilder().setWorkChanges(changes).build();
      Map<Content, Integer> counted = count(envelope);
      // The length prefix of a short message has one byte.
      assertEquals(1 + envelope.getSerializedSize(), sum(counted));
      assertEquals(
          changes.getOpenWork(0).getSerializedSize() + 2, counted.getOrDefault(Content.WORK, 0));
    }
  }

  @Test
  void partsOfUpdatesAddUp() {
    FleetNews update =
        FleetNews.newBuilder()
            .setNumber(3)
            .addOpenWork(OpenWork.newBuilder().setServerId("engine-1").setRequests(3))
            .addKnownAddresses("10.0.0.1:9")
            .putTightLoad("model", 300)
            .setDifference(StateDifference.newBuilder().addAddressAges(40).addAddressAges(0))
            .build();
    Envelope envelope = Envelope.newBuilder().setFleetNews(update).build();
    Map<Content, Integer> counted = count(envelope);
    assertEquals(1 + envelope.getSerializedSize(), sum(counted));
    // The address, and the ages as a packed field of two bytes.
    assertEquals(12 + 4, counted.getOrDefault(Content.ADDRESSES, 0));
  }

  @Test
  void domainOfAnOlderPeerIsUnknown() {
    assertEquals(Distance.SAME_DOMAIN, Distance.between("north", "north"));
    assertEquals(Distance.OTHER_DOMAIN, Distance.between("north", "south"));
    assertEquals(Distance.UNKNOWN_DOMAIN, Distance.between("north", ""));
  }
}
