package org.shallothold.core.memory;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.memory.MemoryBudget.Reservation;

/** How the memory of a process is shared between its buffers. */
class MemoryBudgetTest {

  private final MemoryBudget budget = MemoryBudget.of(100);
  private final List<String> shed = new ArrayList<>();

  private Reservation sheddable(String name) {
    return budget.reserveSheddable(() -> shed.add(name));
  }

  @Nested
  class Shedding {

    /** Guards against failing small responses because endless ones use the memory. */
    @Test
    void largestBufferMakesRoomForSmallOne() {
      assertTrue(sheddable("small").resize(10));
      assertTrue(sheddable("large").resize(90));
      assertTrue(sheddable("new").resize(20));
      assertEquals(List.of("large"), shed);
      assertEquals(30, budget.usedBytes());
    }

    @Test
    void buffersThatCannotBeGivenUpStay() {
      assertTrue(budget.reserve().resize(95));
      assertFalse(sheddable("response").resize(10));
      assertEquals(List.of(), shed);
      assertEquals(95, budget.usedBytes());
    }

    @Test
    void largestBufferDoesNotGrowAtTheCostOfSmallerOnes() {
      assertTrue(sheddable("small").resize(40));
      Reservation large = sheddable("large");
      assertTrue(large.resize(50));
      assertFalse(large.resize(70));
      assertEquals(50, large.bytes());
      assertEquals(List.of(), shed);
    }

    /** Guards against refusing a caller's request while responses use the memory. */
    @Test
    void requestBodyDisplacesResponses() {
      assertTrue(sheddable("response").resize(60));
      assertTrue(budget.reserve().resize(80));
      assertEquals(List.of("response"), shed);
    }

    /** Guards against dropping a response that is ready, and against buffering more beside it. */
    @Test
    void bufferThatExistsMayExceedLimit() {
      assertTrue(sheddable("response").resize(60));
      Reservation unwritten = budget.reserve();
      unwritten.occupy(120);
      assertEquals(List.of("response"), shed);
      assertEquals(120, budget.usedBytes());
      assertFalse(sheddable("new").resize(1));
    }

    @Test
    void closedReservationIsNotShed() {
      Reservation closed = sheddable("closed");
      assertTrue(closed.resize(60));
      closed.close();
      closed.close();
      assertEquals(0, budget.usedBytes());
      assertTrue(sheddable("new").resize(100));
      assertEquals(List.of(), shed);
    }

    @Test
    void shrinkingNeedsNoRoom() {
      Reservation response = sheddable("response");
      assertTrue(response.resize(100));
      assertTrue(response.resize(99));
      assertEquals(99, budget.usedBytes());
      assertEquals(100, budget.peakBytes());
    }
  }

  @Nested
  class Bound {

    /** Guards against exceeding the bound by any order of growing, shedding and closing. */
    @Test
    void useNeverExceedsLimit() {
      Random random = new Random(34);
      List<Reservation> reservations = new ArrayList<>();
      for (int step = 0; step < 20_000; step++) {
        if (reservations.isEmpty() || random.nextInt(4) == 0) {
          reservations.add(random.nextInt(5) == 0 ? budget.reserve() : sheddable("response"));
        }
        Reservation reservation = reservations.get(random.nextInt(reservations.size()));
        if (random.nextInt(5) == 0) {
          reservation.close();
          reservations.remove(reservation);
        } else {
          reservation.resize(reservation.bytes() + random.nextInt(12));
        }
        long sum = reservations.stream().mapToLong(Reservation::bytes).sum();
        assertEquals(sum, budget.usedBytes());
        assertTrue(budget.usedBytes() <= 100, "used " + budget.usedBytes());
      }
      assertTrue(budget.shedCount() > 100);
    }

    @Test
    void limitMustBePositive() {
      assertThrows(IllegalArgumentException.class, () -> MemoryBudget.of(0));
    }
  }
}
