package org.shallothold.core.config;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.shallothold.core.config.ConfigurationFixtures.entry;
import static org.shallothold.core.config.ConfigurationFixtures.historyOf;
import static org.shallothold.core.config.ConfigurationFixtures.malformed;
import static org.shallothold.core.config.ConfigurationFixtures.patch;
import static org.shallothold.core.config.ConfigurationFixtures.removeServer;
import static org.shallothold.core.config.ConfigurationFixtures.serviceClass;
import static org.shallothold.core.config.ConfigurationFixtures.setServer;
import static org.shallothold.core.config.ConfigurationFixtures.snapshot;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.stream.Stream;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against processes that derive different versions from the same entries, and against a
 * process that returns to an older version.
 */
class ConfigurationHistoryTest {

  private static final ConfigurationEntry FIRST = entry(1, setServer(0, "engine-1", 7001));
  private static final ConfigurationEntry SECOND = entry(2, setServer(1, "engine-2", 7002));
  private static final Configuration AT_ONE = historyOf(FIRST).current();
  private static final Configuration AT_TWO = historyOf(FIRST, SECOND).current();
  private static final Configuration FORKED =
      historyOf(entry(1, setServer(0, "engine-9", 7009))).current();

  /** Each row: entries held, the next entry, its outcome and the version afterwards. */
  static Stream<Arguments> outcomes() {
    List<ConfigurationEntry> none = List.of();
    List<ConfigurationEntry> one = List.of(FIRST);
    List<ConfigurationEntry> two = List.of(FIRST, SECOND);
    Patch invalidInPart =
        patch(
            1,
            new Patch.Items(
                Map.of("urgent", serviceClass("urgent", 0, "engine-1", "nowhere")),
                Map.of(),
                Map.of("engine-2", ConfigurationFixtures.engine("engine-2", 7002)),
                Map.of()),
            Patch.RemovedNames.NONE);
    Patch setAndRemoved =
        patch(
            1,
            new Patch.Items(
                Map.of(),
                Map.of(),
                Map.of("engine-1", ConfigurationFixtures.engine("engine-1", 7005)),
                Map.of()),
            new Patch.RemovedNames(List.of(), List.of(), List.of("engine-1"), List.of()));
    Configuration invalid =
        new Configuration(
            new ConfigurationVersion(3, "ab".repeat(32)),
            Map.of("urgent", serviceClass("urgent", 7)),
            Map.of(),
            Map.of(),
            Map.of());
    return Stream.of(
        row("first patch", none, FIRST, PatchOutcome.Accepted.class, 1),
        row("next patch", one, SECOND, PatchOutcome.Accepted.class, 2),
        row(
            "second patch on the same base loses",
            two,
            entry(3, setServer(1, "engine-3", 7003)),
            PatchOutcome.Conflict.class,
            2),
        row(
            "base newer than the current version",
            one,
            entry(2, setServer(5, "engine-2", 7002)),
            PatchOutcome.Conflict.class,
            1),
        row(
            "patch that is invalid in part is refused as a whole",
            one,
            entry(2, invalidInPart),
            PatchOutcome.Invalid.class,
            1),
        row(
            "removal of an item that does not exist",
            one,
            entry(2, removeServer(1, "engine-7")),
            PatchOutcome.Invalid.class,
            1),
        row(
            "set and removal of the same name",
            one,
            entry(2, setAndRemoved),
            PatchOutcome.Invalid.class,
            1),
        row("body that can't be decoded", one, malformed(2), PatchOutcome.Invalid.class, 1),
        row("gap", none, SECOND, PatchOutcome.Gap.class, 0),
        row("entry that was processed before", two, FIRST, PatchOutcome.Known.class, 2),
        row(
            "position reused with a different body",
            two,
            entry(2, setServer(1, "engine-8", 7008)),
            PatchOutcome.Contradiction.class,
            2),
        row("start from a snapshot", none, snapshot(3, AT_TWO, 2), PatchOutcome.Started.class, 2),
        row(
            "start from an invalid snapshot",
            none,
            snapshot(3, invalid, 2),
            PatchOutcome.Invalid.class,
            0),
        row(
            "start from a snapshot that covers more than its own position",
            none,
            snapshot(2, AT_TWO, 3),
            PatchOutcome.Invalid.class,
            0),
        row(
            "snapshot of a version already reached",
            two,
            snapshot(3, AT_ONE, 1),
            PatchOutcome.Known.class,
            2),
        row(
            "snapshot that contradicts a known version",
            two,
            snapshot(3, FORKED, 1),
            PatchOutcome.Contradiction.class,
            2),
        row(
            "snapshot of a version that the entries do not reach",
            one,
            snapshot(2, AT_TWO, 1),
            PatchOutcome.Invalid.class,
            1),
        row(
            "snapshot from the platform never skips entries",
            one,
            snapshot(9, AT_TWO, 8),
            PatchOutcome.Gap.class,
            1));
  }

  private static Arguments row(
      String name,
      List<ConfigurationEntry> held,
      ConfigurationEntry next,
      Class<? extends PatchOutcome> outcome,
      long version) {
    return Arguments.of(name, held, next, outcome, version);
  }

  @ParameterizedTest(name = "{0}")
  @MethodSource("outcomes")
  void entryHasOutcome(
      String name,
      List<ConfigurationEntry> held,
      ConfigurationEntry next,
      Class<? extends PatchOutcome> outcome,
      long version) {
    ConfigurationHistory history = historyOf(held.toArray(ConfigurationEntry[]::new));
    Configuration before = history.current();
    assertInstanceOf(outcome, history.apply(next));
    assertEquals(version, history.current().version().number());
    boolean accepted =
        outcome == PatchOutcome.Accepted.class || outcome == PatchOutcome.Started.class;
    assertEquals(
        accepted,
        !history.current().equals(before),
        "the configuration changes only if the entry was accepted");
  }

  @Nested
  class RepeatedEntries {

    @Test
    void reappliedOlderEntryDoesNotRollBack() {
      ConfigurationHistory history = historyOf(FIRST, SECOND);
      assertInstanceOf(PatchOutcome.Known.class, history.apply(FIRST));
      assertEquals(AT_TWO, history.current());
    }

    @Test
    void reusedPositionAfterStartFromSnapshotIsDetectedOnSecondCopy() {
      ConfigurationHistory history = historyOf(snapshot(3, AT_TWO, 2));
      assertInstanceOf(PatchOutcome.Known.class, history.apply(SECOND));
      assertInstanceOf(
          PatchOutcome.Contradiction.class,
          history.apply(entry(2, setServer(1, "engine-8", 7008))));
    }

    @Test
    void invalidFirstSnapshotDoesNotBlockLaterEntries() {
      ConfigurationHistory history = historyOf(snapshot(1, AT_TWO, 5));
      assertInstanceOf(
          PatchOutcome.Accepted.class, history.apply(entry(2, setServer(0, "engine-1", 7001))));
    }
  }

  @Nested
  class Peers {

    @Test
    void historyBehindTheKeptEntriesStartsFromPeerSnapshot() {
      ConfigurationHistory behind = historyOf(FIRST);
      ConfigurationEntry ahead = snapshot(9, AT_TWO, 9);
      assertInstanceOf(PatchOutcome.Started.class, behind.applyFromPeer(ahead));
      assertEquals(9, behind.lastPosition());
      assertEquals(AT_TWO.version(), behind.current().version());
    }

    @Test
    void peerSnapshotOfAnOlderVersionIsNotApplied() {
      ConfigurationHistory history = historyOf(FIRST, SECOND);
      assertInstanceOf(PatchOutcome.Gap.class, history.applyFromPeer(snapshot(9, AT_ONE, 9)));
      assertEquals(AT_TWO, history.current());
    }

    @Test
    void peerSnapshotOfAnotherHistoryIsAContradiction() {
      ConfigurationHistory history = historyOf(FIRST);
      assertInstanceOf(
          PatchOutcome.Contradiction.class, history.applyFromPeer(snapshot(9, FORKED, 9)));
      assertEquals(AT_ONE, history.current());
    }

    @Test
    void entriesNoLongerKeptAreNotReturned() {
      ConfigurationHistory history = ConfigurationHistory.create();
      for (int position = 1; position <= ConfigurationHistory.MAX_KEPT_ENTRIES + 10; position++) {
        history.apply(malformed(position));
      }
      assertEquals(Optional.empty(), history.entriesAfter(9));
      assertEquals(
          ConfigurationHistory.MAX_KEPT_ENTRIES, history.entriesAfter(10).orElseThrow().size());
    }

    @Test
    void totalSizeOfKeptEntriesIsBounded() {
      ConfigurationHistory history = ConfigurationHistory.create();
      byte[] body = new byte[ConfigurationHistory.MAX_KEPT_BYTES / 4];
      for (int position = 1; position <= 10; position++) {
        history.apply(
            ConfigurationEntry.of(
                position, "patch", body, new ConfigurationEntry.Content.Malformed("zeros")));
      }
      assertEquals(Optional.empty(), history.entriesAfter(5));
      assertEquals(4, history.entriesAfter(6).orElseThrow().size());
    }

    @Test
    void versionAtAPositionBeforeAStartingSnapshotIsUnknown() {
      ConfigurationHistory history = historyOf(snapshot(3, AT_TWO, 2));
      assertEquals(Optional.empty(), history.versionAt(1));
      assertEquals(Optional.of(AT_TWO.version()), history.versionAt(2));
      assertEquals(Optional.empty(), history.versionAt(3));
    }

    @Test
    void contradictionIsDetectedByNumberAndDigest() {
      ConfigurationHistory history = historyOf(FIRST, SECOND);
      assertTrue(history.contradicts(FORKED.version()));
      assertTrue(!history.contradicts(AT_ONE.version()));
    }
  }

  /**
   * Guards against a result that depends on the order in which entries arrive. Ten processes get
   * the same entries from the platform and from peers, repeatedly and out of order.
   */
  @ParameterizedTest
  @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
  void anyInterleavingGivesTheSameVersionAndDigest(long seed) {
    Random random = new Random(seed);
    List<ConfigurationEntry> list = randomList(random, 60);
    ConfigurationHistory reference = historyOf(list.toArray(ConfigurationEntry[]::new));
    for (int process = 0; process < 10; process++) {
      ConfigurationHistory history = ConfigurationHistory.create();
      long highest = 0;
      while (history.lastPosition() < list.size()) {
        int from = random.nextInt(list.size());
        int to = Math.min(list.size(), from + 1 + random.nextInt(8));
        for (ConfigurationEntry entry : list.subList(from, to)) {
          boolean peer = random.nextBoolean();
          PatchOutcome outcome = peer ? history.applyFromPeer(entry) : history.apply(entry);
          assertTrue(
              !(outcome instanceof PatchOutcome.Contradiction),
              "unexpected contradiction: " + outcome);
          assertTrue(history.current().version().number() >= highest, "version decreased");
          highest = history.current().version().number();
        }
      }
      assertEquals(reference.current(), history.current());
    }
  }

  /**
   * Returns valid, outdated, invalid and malformed patches and correct snapshots in random order.
   */
  private static List<ConfigurationEntry> randomList(Random random, int length) {
    List<ConfigurationEntry> list = new ArrayList<>();
    ConfigurationHistory history = ConfigurationHistory.create();
    for (int position = 1; position <= length; position++) {
      long version = history.current().version().number();
      ConfigurationEntry entry =
          switch (random.nextInt(6)) {
            case 0 -> malformed(position);
            case 1 -> entry(position, setServer(Math.max(0, version - 1), "late", 7999));
            case 2 -> entry(position, removeServer(version, "engine-" + random.nextInt(5)));
            case 3 ->
                position > 1
                    ? snapshot(position, history.current(), position - 1)
                    : malformed(position);
            default -> {
              int server = random.nextInt(5);
              yield entry(position, setServer(version, "engine-" + server, 7000 + server));
            }
          };
      history.apply(entry);
      list.add(entry);
    }
    return list;
  }
}
