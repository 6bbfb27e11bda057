package org.shallothold.core.publish;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

/** A process's copy of the published items under outages, old news and restarts. */
class PublishedStateTest {

  private final PublishedState state = PublishedState.empty();

  private static PublishedItem item(String key, long revision) {
    return new PublishedItem(key, new byte[0], revision);
  }

  private List<String> keys() {
    return state.items().stream().map(PublishedItem::key).toList();
  }

  @Nested
  class OldNews {

    /** Guards against a peer that wakes and brings back a server that is gone. */
    @Test
    void doesNotBringBackARemovedItem() {
      state.put(item("a", 5));
      state.remove("a", 8, false, 0);
      assertFalse(state.put(item("a", 5)));
      assertEquals(List.of(), keys());
    }

    /** Guards against an older reading replacing a newer one. */
    @Test
    void asAWholeReadingIsIgnored() {
      state.replaceAll(List.of(item("a", 5), item("b", 6)), 10, false, 0);
      assertFalse(state.replaceAll(List.of(item("a", 5)), 9, false, 0));
      assertEquals(List.of("a", "b"), keys());
    }

    @Test
    void ofAnItemIsIgnored() {
      assertTrue(state.put(item("a", 5)));
      assertFalse(state.put(item("a", 4)));
    }

    /** Guards against a reading that began before an item was added dropping it. */
    @Test
    void doesNotRemoveAnItemThatIsNewer() {
      state.put(item("a", 12));
      state.replaceAll(List.of(), 10, false, 0);
      assertEquals(List.of("a"), keys());
    }
  }

  @Nested
  class AfterAnOutage {

    /** Guards against dropping live servers whose entries lapsed while the service was away. */
    @Test
    void missingItemsAreKeptUntilTheyHadTimeToReturn() {
      state.replaceAll(List.of(item("a", 5)), 10, false, 0);
      state.replaceAll(List.of(), 20, true, 1_000);
      assertEquals(List.of(), state.dropExpired(2_999));
      assertEquals(List.of("a"), keys());
    }

    /** Guards against keeping a server that never came back. */
    @Test
    void missingItemsAreDroppedAfterTheGracePeriod() {
      state.replaceAll(List.of(item("a", 5)), 10, false, 0);
      state.replaceAll(List.of(), 20, true, 1_000);
      assertEquals(List.of("a"), state.dropExpired(3_000));
      assertEquals(List.of(), keys());
    }

    @Test
    void itemsThatReturnStay() {
      state.replaceAll(List.of(item("a", 5)), 10, false, 0);
      state.remove("a", 12, true, 1_000);
      state.put(item("a", 15));
      assertEquals(List.of(), state.dropExpired(9_000));
      assertEquals(List.of("a"), keys());
    }
  }

  /** Guards against asking peers again and again though nothing changed. */
  @Test
  void latestChangeIsNotTheLatestReading() {
    state.replaceAll(List.of(item("a", 5)), 10, false, 0);
    state.completeUpTo(30);
    assertEquals(5, state.changedAt());
    assertEquals(30, state.asOf());
  }
}
