package org.shallothold.gateway.forward.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashSet;
import org.junit.jupiter.api.Test;
import org.shallothold.wire.proto.CrashEvidence;
import org.shallothold.wire.proto.OpenWork;
import org.shallothold.wire.proto.PartSuccess;
import org.shallothold.wire.proto.PartSuspicion;
import org.shallothold.wire.proto.PrefixRead;
import org.shallothold.wire.proto.WorkChanges;

/** Tests the compact form of changes. */
class CompactFormTest {

  private static final int ENDS = 7;
  private static final int PARTS = 64;

  /**
   * Changes after the ends of several engines that had each hardly begun to answer many requests.
   */
  private static WorkChanges changes() {
    CrashEvidence.Builder evidence = CrashEvidence.newBuilder();
    WorkChanges.Builder changes =
        WorkChanges.newBuilder()
            .addOpenWork(OpenWork.newBuilder().setServerId("engine-1").setRequests(3))
            .setHops(2);
    for (int end = 0; end < ENDS; end++) {
      for (int part = 0; part < PARTS; part++) {
        evidence.addSuspicions(
            PartSuspicion.newBuilder()
                .setPartId(0x9e3779b97f4a7c15L * (part + 1))
                .setServerId("engine-large-" + end)
                .setCrashAgeMillis(40 + end)
                // A request can be sent after the time at which another gateway saw the end.
                .setSentAgeMillis(30 + 10L * part));
      }
    }
    for (int part = 0; part < PARTS; part++) {
      evidence.addSuccesses(
          PartSuccess.newBuilder().setPartId(~0x9e3779b97f4a7c15L * part).setAgeMillis(part));
      changes.addPrefixReads(
          PrefixRead.newBuilder()
              .setServerId("engine-large-" + part % 2)
              .setChainHash(0x9e3779b97f4a7c15L * part)
              .setTokens(100 + part));
    }
    return changes.setCrashEvidence(evidence).build();
  }

  /** Guards against evidence that reads differently for peers of different builds. */
  @Test
  void expandedFormStatesTheSameFacts() {
    WorkChanges changes = changes();
    WorkChanges expanded = CompactForm.expand(CompactForm.compact(changes));
    assertEquals(changes.getCrashEvidence(), expanded.getCrashEvidence());
    assertEquals(
        new HashSet<>(changes.getPrefixReadsList()), new HashSet<>(expanded.getPrefixReadsList()));
    assertEquals(changes.getOpenWorkList(), expanded.getOpenWorkList());
    assertEquals(changes.getHops(), expanded.getHops());
  }

  /** Guards against a loss of the order in which an engine read the parts of prompts. */
  @Test
  void partsOfOneServerKeepTheirOrder() {
    WorkChanges expanded = CompactForm.expand(CompactForm.compact(changes()));
    assertEquals(
        changes().getPrefixReadsList().stream()
            .filter(read -> read.getServerId().equals("engine-large-1"))
            .toList(),
        expanded.getPrefixReadsList().stream()
            .filter(read -> read.getServerId().equals("engine-large-1"))
            .toList());
  }

  /** Guards against peers that ignore what they receive because they expect the other form. */
  @Test
  void plainFormIsLeftAsItIs() {
    assertEquals(changes(), CompactForm.expand(changes()));
  }

  /** Guards against a compact form that repeats server ids and times for each part. */
  @Test
  void compactFormTakesLessThanHalfOfTheBytes() {
    int plain = changes().getSerializedSize();
    int compact = CompactForm.compact(changes()).getSerializedSize();
    assertTrue(2 * compact < plain, compact + " of " + plain + " bytes");
  }
}
