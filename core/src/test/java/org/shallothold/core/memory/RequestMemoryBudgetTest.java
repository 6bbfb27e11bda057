package org.shallothold.core.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothold.core.memory.RequestMemoryBudget.Reservation;

/** Load: many callers whose requests occupy far more memory than their bytes. */
class RequestMemoryBudgetTest {

  private static final long KILOBYTE = 1_024;
  private static final long LARGE = RequestMemoryBudget.LARGE_BYTES + KILOBYTE;

  private final RequestMemoryBudget budget = RequestMemoryBudget.of(4 * LARGE);
  private final List<String> shed = new ArrayList<>();

  private Reservation holder(String name, String address, boolean mayHaveRun) {
    return budget.reserve(
        address,
        new RequestMemoryBudget.Holder() {
          @Override
          public boolean mayHaveRun() {
            return mayHaveRun;
          }

          @Override
          public void shed() {
            shed.add(name);
          }
        });
  }

  private Reservation holder(String name) {
    return holder(name, name, false);
  }

  /** Guards against refusing ordinary callers because large requests use all memory. */
  @Test
  void largeRequestsLeaveRoomForOrdinaryOnes() {
    for (int i = 0; i < 3; i++) {
      assertTrue(holder("large " + i, "a", true).resize(LARGE));
    }
    assertFalse(holder("large", "a", false).resize(LARGE));
    assertTrue(holder("ordinary").resize(LARGE - 2 * KILOBYTE));
    assertEquals(List.of(), shed);
    assertEquals(1, budget.refusedCount());
  }

  /** Guards against giving up a request that may have run while another one has not been sent. */
  @Test
  void requestsThatWereNotSentGoFirst() {
    assertTrue(holder("sent", "a", true).resize(LARGE + KILOBYTE));
    assertTrue(holder("waiting", "a", false).resize(LARGE));
    fillWithOrdinaryRequests(2 * LARGE - KILOBYTE);
    assertTrue(holder("new").resize(KILOBYTE));
    assertEquals(List.of("waiting"), shed);
    assertTrue(holder("newer").resize(LARGE - KILOBYTE));
    assertTrue(holder("newest").resize(2 * KILOBYTE));
    assertEquals(List.of("waiting", "sent"), shed);
  }

  private void fillWithOrdinaryRequests(long bytes) {
    for (long filled = 0; filled < bytes; filled += KILOBYTE) {
      assertTrue(holder("ordinary", "address " + filled, false).resize(KILOBYTE));
    }
  }

  /** Guards against one address that displaces all others with requests of usual size. */
  @Test
  void amongRequestsOfTheSameSizeTheAddressThatHoldsMostGoes() {
    for (long i = 0; i < 4 * LARGE / KILOBYTE; i++) {
      assertTrue(holder("of the many", "busy", false).resize(KILOBYTE));
    }
    assertTrue(holder("other", "calm", false).resize(KILOBYTE));
    assertEquals(List.of("of the many"), shed);
    assertFalse(holder("one more of the many", "busy", false).resize(KILOBYTE));
    assertEquals(List.of("of the many"), shed);
  }

  @Test
  void memoryReturnsWhenItsHolderIsDone() {
    Reservation only = holder("only");
    assertTrue(only.resize(3 * LARGE));
    assertTrue(only.resize(KILOBYTE));
    only.close();
    only.close();
    assertEquals(0, budget.usedBytes());
    assertEquals(3 * LARGE, budget.peakBytes());
    assertFalse(only.resize(4 * LARGE + 1));
  }
}
