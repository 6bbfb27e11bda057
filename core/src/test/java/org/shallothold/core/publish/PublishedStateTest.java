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
    return new PublishedItem(key, new byte[0], revision);
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
      state.remove("a", 8, false, 0);
      assertFalse(state.put(item("a", 5)));
      assertEquals(List.of(), keys());
    }

    /** Guards against an older listing that replaces a newer one. */
    @Test
    void asFullListingIsIgnored() {
      state.replaceAll(List.of(item("a", 5), item("b", 6)), 10, false, 0);
      assertFalse(state.replaceAll(List.of(item("a", 5)), 9, false, 0));
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
      state.replaceAll(List.of(), 10, false, 0);
      assertEquals(List.of("a"), keys());
    }
  }

  @Nested
  class ChangesOfAPeer {

    private final PublishedState peer = PublishedState.empty();

    private void readBoth() {
      state.replaceAll(List.of(item("a", 5), item("b", 6)), 10, false, 0);
      peer.replaceAll(List.of(item("a", 5), item("b", 6)), 10, false, 0);
    }

    /** Guards against a copy that lacks changes because a peer sent only those that it missed. */
    @Test
    void makeTheCopyEqual() {
      readBoth();
      peer.put(item("a", 12));
      peer.put(item("c", 13));
      peer.remove("b", 14, false, 0);
      peer.advanceCompleteRevision(14);
      assertTrue(state.apply(peer.changesAfter(10), 14));
      assertEquals(peer.items(), state.items());
      assertEquals(peer.completeRevision(), state.completeRevision());
      assertEquals(peer.lastChangeRevision(), state.lastChangeRevision());
    }

    /** Guards against messages that grow with the number of items instead of the changes. */
    @Test
    void leaveOutWhatIsKnown() {
      readBoth();
      peer.put(item("c", 13));
      assertEquals(
          List.of("c"), peer.changesAfter(10).items().stream().map(PublishedItem::key).toList());
      assertEquals(Map.of(), peer.changesAfter(10).removedRevisions());
    }

    /** Guards against a removal that is missed since the peer saw it only in a later listing. */
    @Test
    void includeRemovalsThatAListingShowed() {
      readBoth();
      peer.replaceAll(List.of(item("a", 5)), 20, false, 0);
      state.apply(peer.changesAfter(10), 20);
      assertEquals(List.of("a"), keys());
    }

    /** Guards against an older peer that removes or restores what is known to be newer. */
    @Test
    void areIgnoredIfOutdated() {
      readBoth();
      peer.remove("a", 11, false, 0);
      peer.advanceCompleteRevision(11);
      state.put(item("a", 15));
      state.advanceCompleteRevision(15);
      assertFalse(state.apply(peer.changesAfter(10), 11));
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
      state.replaceAll(List.of(item("a", 5)), 10, false, 0);
      state.replaceAll(List.of(), 20, true, 1_000);
      assertEquals(List.of(), state.dropExpired(2_999));
      assertEquals(List.of("a"), keys());
    }

    /** Guards against keeping a server that was never published again. */
    @Test
    void missingItemsAreRemovedAfterTheGracePeriod() {
      state.replaceAll(List.of(item("a", 5)), 10, false, 0);
      state.replaceAll(List.of(), 20, true, 1_000);
      assertEquals(List.of("a"), state.dropExpired(3_000));
      assertEquals(List.of(), keys());
    }

    @Test
    void itemsPublishedAgainAreKept() {
      state.replaceAll(List.of(item("a", 5)), 10, false, 0);
      state.remove("a", 12, true, 1_000);
      state.put(item("a", 15));
      assertEquals(List.of(), state.dropExpired(9_000));
      assertEquals(List.of("a"), keys());
    }
  }

  /** Guards against repeated requests to peers while nothing has changed. */
  @Test
  void lastChangeRevisionStaysWhenNothingChanges() {
    state.replaceAll(List.of(item("a", 5)), 10, false, 0);
    state.advanceCompleteRevision(30);
    assertEquals(5, state.lastChangeRevision());
    assertEquals(30, state.completeRevision());
  }
}
