package org.shallothold.core.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** Guards against lost, outdated or resurrected items in a process's copy of published items. */
class PublishedStateTest {

  private final PublishedState state = PublishedState.empty();

  private static PublishedItem item(String key, long revision) {
    return PublishedItem.of(key, new byte[0], revision);
  }

  private static PublishedPosition at(long revision) {
    return PublishedPosition.withoutEra(revision);
  }

  private List<String> keys() {
    return state.items().stream().map(PublishedItem::key).toList();
  }

  @Nested
  class OutdatedUpdate {

    /** Guards against an outdated peer update that restores a server that was removed. */
    @Test
    void doesNotRestoreARemovedItem() {
      state.put(item("a", 5));
      state.remove("a", at(8), false, 0);
      assertFalse(state.put(item("a", 5)));
      assertEquals(List.of(), keys());
    }

    /** Guards against an older listing that replaces a newer one. */
    @Test
    void asFullListingIsIgnored() {
      state.replaceAll(List.of(item("a", 5), item("b", 6)), at(10), false, 0);
      assertFalse(state.replaceAll(List.of(item("a", 5)), at(9), false, 0));
      assertEquals(List.of("a", "b"), keys());
    }

    @Test
    void ofOneItemIsIgnored() {
      assertTrue(state.put(item("a", 5)));
      assertFalse(state.put(item("a", 4)));
    }

    /** Guards against removing an item that was added after the listing was read. */
    @Test
    void doesNotRemoveANewerItem() {
      state.put(item("a", 12));
      state.replaceAll(List.of(), at(10), false, 0);
      assertEquals(List.of("a"), keys());
    }
  }

  @Nested
  class ChangesOfAPeer {

    private final PublishedState peer = PublishedState.empty();

    private void readBoth() {
      state.replaceAll(List.of(item("a", 5), item("b", 6)), at(10), false, 0);
      peer.replaceAll(List.of(item("a", 5), item("b", 6)), at(10), false, 0);
    }

    /** Guards against a copy that lacks changes because a peer sent only those that it missed. */
    @Test
    void makeTheCopyEqual() {
      readBoth();
      peer.put(item("a", 12));
      peer.put(item("c", 13));
      peer.remove("b", at(14), false, 0);
      peer.advance(at(14));
      assertTrue(state.apply(peer.changesAfter(at(10)), at(14)));
      assertEquals(peer.items(), state.items());
      assertEquals(peer.complete(), state.complete());
      assertEquals(peer.lastChange(), state.lastChange());
    }

    /** Guards against messages that grow with the number of items instead of the changes. */
    @Test
    void leaveOutWhatIsKnown() {
      readBoth();
      peer.put(item("c", 13));
      assertEquals(
          List.of("c"),
          peer.changesAfter(at(10)).items().stream().map(PublishedItem::key).toList());
      assertEquals(Map.of(), peer.changesAfter(at(10)).removals());
    }

    /** Guards against a removal that is missed since the peer saw it only in a later listing. */
    @Test
    void includeRemovalsThatAListingShowed() {
      readBoth();
      peer.replaceAll(List.of(item("a", 5)), at(20), false, 0);
      state.apply(peer.changesAfter(at(10)), at(20));
      assertEquals(List.of("a"), keys());
    }

    /** Guards against an older peer that removes or restores what is known to be newer. */
    @Test
    void areIgnoredIfOutdated() {
      readBoth();
      peer.remove("a", at(11), false, 0);
      peer.advance(at(11));
      state.put(item("a", 15));
      state.advance(at(15));
      assertFalse(state.apply(peer.changesAfter(at(10)), at(11)));
      assertEquals(List.of("a", "b"), keys());
    }
  }

  @Nested
  class AfterAnOutage {

    /**
     * Guards against removing live servers whose items lapsed while the service was unreachable.
     */
    @Test
    void missingItemsAreKeptDuringTheGracePeriod() {
      state.replaceAll(List.of(item("a", 5)), at(10), false, 0);
      state.replaceAll(List.of(), at(20), true, 1_000);
      assertEquals(List.of(), state.dropExpired(2_999));
      assertEquals(List.of("a"), keys());
    }

    /** Guards against keeping a server that was never published again. */
    @Test
    void missingItemsAreRemovedAfterTheGracePeriod() {
      state.replaceAll(List.of(item("a", 5)), at(10), false, 0);
      state.replaceAll(List.of(), at(20), true, 1_000);
      assertEquals(List.of("a"), state.dropExpired(3_000));
      assertEquals(List.of(), keys());
    }

    @Test
    void itemsPublishedAgainAreKept() {
      state.replaceAll(List.of(item("a", 5)), at(10), false, 0);
      state.remove("a", at(12), true, 1_000);
      state.put(item("a", 15));
      assertEquals(List.of(), state.dropExpired(9_000));
      assertEquals(List.of("a"), keys());
    }
  }

  /** Guards against comparing what a restored platform lists with the revisions of before. */
  @Nested
  class AfterARestore {

    private static final long RESTORED_MILLIS = 1_000;

    private final PublishedState versioned =
        PublishedState.of(new RestoreRules(2_000, 4_000, AfterARestore::version));

    private static long version(PublishedItem item) {
      return item.key().equals("configuration") ? item.value()[0] : RestoreRules.NO_VERSION;
    }

    private static PublishedItem item(String key, int value, long era, long revision) {
      return new PublishedItem(key, new byte[] {(byte) value}, PublishedPosition.of(era, revision));
    }

    private void list(long era, long revision, PublishedItem... items) {
      versioned.replaceAll(
          List.of(items), PublishedPosition.of(era, revision), false, RESTORED_MILLIS);
    }

    private List<String> held() {
      return versioned.items().stream().map(item -> item.key() + item.value()[0]).toList();
    }

    private List<String> listing() {
      return versioned.listing().stream().map(item -> item.key() + item.value()[0]).toList();
    }

    @Test
    void aWriteWithARevisionOfBeforeIsTaken() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.put(item("a", 2, 1, 30));
      list(2, 12, item("a", 3, 2, 12));
      assertEquals(List.of("a3"), held());
      assertTrue(versioned.put(item("a", 4, 2, 13)));
    }

    @Test
    void anItemThatThePlatformLostIsKeptForItsOwnerToPublishAgain() {
      list(1, 10);
      versioned.put(item("a", 1, 1, 11));
      list(2, 10);
      assertEquals(List.of("a1"), held());
      assertEquals(List.of(), listing());
      assertEquals(List.of(), versioned.dropExpired(RESTORED_MILLIS + 1_999));
      assertEquals(List.of("a"), versioned.dropExpired(RESTORED_MILLIS + 2_000));
      assertEquals(List.of(), held());
    }

    @Test
    void anItemThatWasRemovedStaysRemovedUntilItsOwnerWouldHaveLapsed() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.remove("a", PublishedPosition.of(1, 11), false, 0);
      list(2, 10, item("a", 1, 2, 5));
      assertEquals(List.of(), held());
      assertEquals(List.of("a1"), listing());
      assertFalse(versioned.put(item("a", 1, 2, 5)));
      assertEquals(List.of("a"), versioned.dropExpired(RESTORED_MILLIS + 4_000));
      assertEquals(List.of("a1"), held());
    }

    @Test
    void anEarlierWriteDoesNotReplaceALaterOne() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.put(item("a", 2, 1, 11));
      list(2, 10, item("a", 1, 2, 5));
      assertEquals(List.of("a2"), held());
      assertTrue(versioned.put(item("a", 3, 2, 11)));
      assertEquals(List.of("a3"), held());
    }

    @Test
    void aRemovalOfAnEarlierWriteRemovesTheItem() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.put(item("a", 2, 1, 11));
      list(2, 10, item("a", 1, 2, 5));
      versioned.remove("a", PublishedPosition.of(2, 11), false, 0);
      assertEquals(List.of(), held());
      assertEquals(List.of(), listing());
    }

    /** Guards against a server that is used since a copy of before an earlier restore lists it. */
    @Test
    void aSecondRestoreBringsNoRemovedItemBack() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.remove("a", PublishedPosition.of(1, 11), false, 0);
      list(2, 10, item("a", 1, 2, 5));
      versioned.remove("a", PublishedPosition.of(2, 11), false, 0);
      list(3, 9, item("a", 1, 3, 5));
      assertEquals(List.of(), held());
    }

    /** Guards against a server that has left and is used since a peer told of the restore first. */
    @Test
    void anEarlierWriteIsTheSameWhetherAPeerOrThePlatformLists() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.remove("a", PublishedPosition.of(1, 11), false, 0);
      list(2, 10, item("a", 1, 1, 5));
      list(2, 10, item("a", 1, 2, 5));
      assertEquals(List.of(), held());
    }

    /** Guards against taking an earlier write that the platform does not list any more. */
    @Test
    void anEarlierWriteThatALaterListingLacksIsForgotten() {
      list(1, 10, item("a", 1, 1, 5));
      versioned.remove("a", PublishedPosition.of(1, 11), false, 0);
      list(2, 10, item("a", 1, 2, 5));
      list(2, 12);
      assertEquals(List.of(), versioned.dropExpired(RESTORED_MILLIS + 4_000));
      assertEquals(List.of(), held());
    }

    /** Guards against a server that has left and of which a peer had told the last state only. */
    @Test
    void anEarlierWriteThatWasNeverSeenIsNotTakenForNew() {
      list(1, 10);
      versioned.apply(
          new PublishedChanges(List.of(item("a", 2, 1, 15)), Map.of()),
          PublishedPosition.of(1, 16));
      versioned.remove("a", PublishedPosition.of(1, 17), false, 0);
      list(2, 13, item("a", 1, 2, 12));
      assertEquals(List.of(), held());
    }

    @Test
    void theHighestVersionCountsInWhateverOrderTheyArePublished() {
      list(1, 10, item("configuration", 7, 1, 10));
      list(2, 8, item("configuration", 5, 2, 8));
      assertEquals(List.of("configuration7"), held());
      versioned.put(item("configuration", 9, 2, 9));
      versioned.put(item("configuration", 7, 2, 10));
      assertEquals(List.of("configuration9"), held());
      assertEquals(List.of("configuration9"), listing());
    }

    @Test
    void aVersionThatThePlatformLostIsKept() {
      list(1, 10, item("configuration", 7, 1, 10));
      list(2, 8);
      assertEquals(List.of(), versioned.dropExpired(Long.MAX_VALUE - 1));
      assertEquals(List.of("configuration7"), listing());
    }

    @Test
    void anOlderEraIsIgnoredButForAHigherVersion() {
      list(2, 10, item("a", 1, 2, 5), item("configuration", 5, 2, 6));
      list(1, 90, item("configuration", 7, 1, 80), item("b", 1, 1, 70));
      assertEquals(List.of("a1", "configuration7"), held());
      assertEquals(PublishedPosition.of(2, 10), versioned.complete());
    }

    /** Guards against taking the changes of another era for those that are missing. */
    @Test
    void changesOfAnotherEraAreNotApplied() {
      list(1, 10, item("a", 1, 1, 5));
      PublishedChanges changes =
          new PublishedChanges(
              List.of(item("b", 1, 2, 7)), Map.of("a", PublishedPosition.of(2, 6)));
      assertFalse(versioned.apply(changes, PublishedPosition.of(2, 8)));
      assertEquals(List.of("a1"), held());
    }

    /** Guards against a server that left before this copy began and that the platform shows. */
    @Test
    void anItemOfBeforeTheFirstListingIsNotTakenForNew() {
      list(1, 20, item("b", 1, 1, 3));
      list(2, 12, item("a", 1, 2, 8), item("b", 1, 2, 3));
      assertEquals(List.of("b1"), held());
    }
  }

  /** Guards against repeated requests to peers while nothing has changed. */
  @Test
  void lastChangeStaysWhenNothingChanges() {
    state.replaceAll(List.of(item("a", 5)), at(10), false, 0);
    state.advance(at(30));
    assertEquals(at(5), state.lastChange());
    assertEquals(at(30), state.complete());
  }
}
