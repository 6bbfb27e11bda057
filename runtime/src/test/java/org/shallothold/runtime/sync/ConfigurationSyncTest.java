package org.shallothold.runtime.sync;

import static java.nio.charset.StandardCharsets.UTF_8;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.stream.LongStream;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationHistory;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.runtime.platform.ConfigurationSource;
import org.shallothold.runtime.platform.EntryCodec;
import org.shallothold.runtime.platform.FakePlatform;
import org.shallothold.runtime.platform.PatchTexts;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Hello;

/** Guards G8 between real processes' parts: platform, peers, restarts and rollbacks. */
class ConfigurationSyncTest {

  private final FakePlatform platform = new FakePlatform();
  private final List<SyncNode> nodes = new ArrayList<>();

  @AfterEach
  void stop() {
    nodes.forEach(SyncNode::close);
  }

  private SyncNode node(String id, ConfigurationSource source) {
    SyncNode node = new SyncNode(id, source);
    nodes.add(node);
    return node;
  }

  private SyncNode nodeWithoutPlatform(String id) {
    FakePlatform gone = new FakePlatform();
    gone.down(true);
    return node(id, gone);
  }

  /** Publishes patches on the given bases; each sets the engine of its number. */
  private static void publish(FakePlatform target, int firstNumber, long... bases) {
    for (int index = 0; index < bases.length; index++) {
      target.publish(EntryCodec.PATCH, PatchTexts.setEngine(bases[index], firstNumber + index));
    }
  }

  @Nested
  class Peers {

    @Test
    void processWithoutThePlatformLearnsFromItsPeer() throws Exception {
      publish(platform, 1, 0, 1, 1);
      SyncNode reader = node("reader", platform);
      SyncNode cutOff = nodeWithoutPlatform("cut-off");
      cutOff.connectTo(reader);
      cutOff.awaitVersion(2);
      publish(platform, 5, 2);
      cutOff.awaitVersion(3);
      assertEquals(reader.sync().current(), cutOff.sync().current());
      assertFalse(cutOff.sync().isBehind());
      assertEquals(1, cutOff.events("configuration_patch_refused").size());
    }

    @Test
    void newsPassesOnFromPeerToPeer() throws Exception {
      SyncNode reader = node("reader", platform);
      SyncNode middle = nodeWithoutPlatform("middle");
      SyncNode far = nodeWithoutPlatform("far");
      middle.connectTo(reader);
      far.connectTo(middle);
      publish(platform, 1, 0, 1, 2);
      far.awaitVersion(3);
      assertEquals(reader.sync().current(), far.sync().current());
    }

    @Test
    void peerFurtherBehindThanTheKeptEntriesGetsASnapshot() throws Exception {
      publish(platform, 1, 0);
      SyncNode behind = node("behind", copyOf(platform, 1));
      behind.awaitVersion(1);
      for (int entry = 0; entry <= ConfigurationHistory.MAX_KEPT_ENTRIES; entry++) {
        platform.publish(EntryCodec.PATCH, new byte[] {'{'});
      }
      publish(platform, 2, 1);
      SyncNode ahead = node("ahead", platform);
      ahead.awaitVersion(2);
      behind.connectTo(ahead);
      behind.awaitVersion(2);
      assertEquals(ahead.sync().current(), behind.sync().current());
      assertEquals(1, behind.events("configuration_started_from_snapshot").size());
    }

    @Test
    void peerThatNeverAnswersDoesNotHoldUpTheOthers() throws Exception {
      publish(platform, 1, 0, 1);
      SyncNode reader = node("reader", platform);
      reader.awaitVersion(2);
      SyncNode cutOff = nodeWithoutPlatform("cut-off");
      Hello boaster =
          Hello.newBuilder()
              .setProcessId("boaster")
              .setVersion(WireVersions.toWire(new ConfigurationVersion(99, "ab".repeat(32))))
              .build();
      try (PeerServer mute = SyncNode.serveMute(boaster)) {
        cutOff.connectTo(mute.port());
        SyncNode.await("behind the boaster", cutOff.sync()::isBehind);
        cutOff.connectTo(reader);
        cutOff.awaitVersion(2);
      }
    }

    @Test
    void longHistoryTravelsInParts() throws Exception {
      for (int number = 0; number < 12; number++) {
        String patch = new String(PatchTexts.setEngine(number, number + 1), UTF_8);
        platform.publish(
            EntryCodec.PATCH,
            patch.replace("engine " + (number + 1), "x".repeat(300_000)).getBytes(UTF_8));
      }
      SyncNode reader = node("reader", platform);
      reader.awaitVersion(12);
      SyncNode cutOff = nodeWithoutPlatform("cut-off");
      cutOff.connectTo(reader);
      cutOff.awaitVersion(12);
    }
  }

  @Nested
  class PlatformFaults {

    @ParameterizedTest
    @ValueSource(ints = {1, 3, 8, 9})
    void pagedListIsReadToItsEnd(int pageSize) throws Exception {
      platform.pageSize(pageSize);
      publish(platform, 1, LongStream.range(0, 20).toArray());
      SyncNode node = node("reader", platform);
      node.awaitVersion(20);
      publish(platform, 21, 20);
      node.awaitVersion(21);
      assertEquals(List.of(), node.events("platform_behind"));
    }

    @Test
    void stalePlatformNeverTakesAProcessBack() throws Exception {
      publish(platform, 1, 0, 1, 2);
      SyncNode node = node("reader", platform);
      node.awaitVersion(3);
      platform.staleAt(1);
      node.awaitEvent("platform_behind");
      assertEquals(3, node.version());
      platform.staleAt(Integer.MAX_VALUE);
      node.awaitEvent("platform_no_longer_behind");
      publish(platform, 4, 3);
      node.awaitVersion(4);
      assertTrue(node.sync().isFollowingPlatform());
    }

    @Test
    void restartedProcessBesideARolledBackPlatformLearnsFromAPeer() throws Exception {
      publish(platform, 1, 0, 1, 2);
      SyncNode old = node("old", platform);
      old.awaitVersion(3);
      platform.rollBackTo(1);
      SyncNode restarted = node("restarted", platform);
      restarted.awaitVersion(1);
      restarted.connectTo(old);
      restarted.awaitVersion(3);
      assertEquals(old.sync().current(), restarted.sync().current());
    }

    @Test
    void platformDownAtStartIsReadOnceItIsBack() throws Exception {
      publish(platform, 1, 0);
      platform.down(true);
      SyncNode node = node("reader", platform);
      platform.down(false);
      node.awaitVersion(1);
    }
  }

  @Nested
  class ReusedPositions {

    /** The list was replaced between two reads of one round, and the second one was taken. */
    @Test
    void listReplacedBetweenTwoPagesIsNotFollowed() throws Exception {
      publish(platform, 1, 0, 1, 2);
      AtomicBoolean replaced = new AtomicBoolean();
      ConfigurationSource replacedAfterFirstPage =
          new ForwardingSource(platform) {
            @Override
            public List<ConfigurationEntry> entriesAfter(long after, long waitMillis) {
              List<ConfigurationEntry> page = super.entriesAfter(after, waitMillis);
              if (!page.isEmpty() && replaced.compareAndSet(false, true)) {
                platform.rollBackTo(1);
                publish(platform, 10, 1, 2, 3);
              }
              return page;
            }
          };
      SyncNode node = node("reader", replacedAfterFirstPage);
      node.awaitEvent("configuration_history_conflict");
      assertEquals(3, node.version());
    }

    /** The list is down meanwhile, or is replaced while the process watches it. */
    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void rollbackIsFoundEvenIfTheListHasGrownPastOurs(boolean downMeanwhile) throws Exception {
      publish(platform, 1, 0, 1, 2);
      SyncNode node = node("reader", platform);
      node.awaitVersion(3);
      ConfigurationVersion held = node.sync().current().version();
      synchronized (platform) {
        platform.down(downMeanwhile);
        platform.rollBackTo(1);
        publish(platform, 10, 1, 2, 3, 4);
        platform.down(false);
      }
      node.awaitEvent("configuration_history_conflict");
      SyncNode.await("not following", () -> !node.sync().isFollowingPlatform());
      assertEquals(held, node.sync().current().version());
    }

    @Test
    void rollbackIsFoundIfTheLastPatchWasPublishedAgainUnchanged() throws Exception {
      publish(platform, 1, 0, 1, 2);
      SyncNode node = node("reader", platform);
      node.awaitVersion(3);
      ConfigurationVersion held = node.sync().current().version();
      synchronized (platform) {
        platform.rollBackTo(1);
        publish(platform, 10, 1);
        publish(platform, 3, 2, 3);
      }
      node.awaitEvent("configuration_history_conflict");
      assertEquals(held, node.sync().current().version());
    }

    @Test
    void peerOfTheSameHistoryStillCountsAfterAConflictWithThePlatform() throws Exception {
      publish(platform, 1, 0, 1, 2);
      FakePlatform intact = copyOf(platform, 3);
      SyncNode misled = node("misled", platform);
      SyncNode peer = node("peer", intact);
      misled.awaitVersion(3);
      platform.rollBackTo(2);
      publish(platform, 10, 2, 3);
      misled.awaitEvent("configuration_history_conflict");
      misled.connectTo(peer);
      publish(intact, 4, 3);
      misled.awaitVersion(4);
      assertEquals(peer.sync().current(), misled.sync().current());
    }
  }

  @Nested
  class ConflictBetweenPeers {

    private FakePlatform fork() {
      publish(platform, 1, 0, 1);
      FakePlatform fork = copyOf(platform, 1);
      publish(fork, 10, 1, 2, 3);
      return fork;
    }

    @Test
    void peerThatIsAheadOnAnotherHistoryIsNotFollowed() throws Exception {
      SyncNode other = node("other", fork());
      SyncNode node = node("ours", platform);
      other.awaitVersion(4);
      node.awaitVersion(2);
      ConfigurationVersion held = node.sync().current().version();
      node.connectTo(other);
      node.awaitEvent("configuration_history_conflict");
      other.awaitEvent("configuration_history_conflict");
      assertEquals(held, node.sync().current().version());
      assertFalse(node.sync().isBehind(), "a peer of another history is not ahead of ours");
    }

    @Test
    void conflictIsReportedOnceForEachProcess() throws Exception {
      FakePlatform fork = fork();
      SyncNode other = node("other", fork);
      SyncNode node = node("ours", platform);
      // A process that holds nothing yet takes the first history that it meets.
      other.awaitVersion(4);
      node.awaitVersion(2);
      node.connectTo(other);
      node.awaitEvent("configuration_history_conflict");
      publish(fork, 20, 4, 5, 6);
      other.awaitVersion(7);
      publish(platform, 30, 2, 3);
      node.awaitVersion(4);
      assertEquals(1, node.events("configuration_history_conflict").size());
    }
  }

  private static class ForwardingSource implements ConfigurationSource {

    private final ConfigurationSource target;

    ForwardingSource(ConfigurationSource target) {
      this.target = target;
    }

    @Override
    public List<ConfigurationEntry> entriesAfter(long after, long waitMillis) {
      return target.entriesAfter(after, waitMillis);
    }

    @Override
    public Optional<ConfigurationEntry> snapshot() {
      return target.snapshot();
    }

    @Override
    public MembershipView members() {
      return target.members();
    }
  }

  private static FakePlatform copyOf(FakePlatform original, int entries) {
    FakePlatform copy = new FakePlatform();
    original.entriesAfter(0, 0).stream()
        .limit(entries)
        .forEach(entry -> copy.publish(entry.kind(), entry.body()));
    return copy;
  }
}
