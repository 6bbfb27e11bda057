package org.shallothold.wire.connection;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

class ReadCreditTest {

  private static final double SHARE = 0.01;
  private static final long REGAIN_HALF_NANOS = (long) (ReadCredit.MAX_NANOS / 2 / SHARE);

  private final ReadCredit credit = ReadCredit.initial(0);

  @Nested
  class Spending {

    @Test
    void partLeavesTheRest() {
      credit.spend(ReadCredit.INITIAL_NANOS / 4);
      assertEquals(ReadCredit.INITIAL_NANOS * 3 / 4, credit.available(0, SHARE));
      assertFalse(credit.isExhausted());
    }

    @Test
    void allExhaustsIt() {
      credit.spend(ReadCredit.INITIAL_NANOS);
      assertTrue(credit.isExhausted());
      assertEquals(0, credit.available(0, SHARE));
    }
  }

  @Nested
  class Regaining {

    /** Guards against a connection that is handled at once at each of its reads. */
    @Test
    void littleIsNotAvailableYet() {
      credit.spend(ReadCredit.INITIAL_NANOS);
      assertEquals(0, credit.available(REGAIN_HALF_NANOS - 1_000, SHARE));
    }

    @Test
    void halfIsAvailable() {
      credit.spend(ReadCredit.INITIAL_NANOS);
      assertEquals(ReadCredit.MAX_NANOS / 2, credit.available(REGAIN_HALF_NANOS, SHARE));
      assertFalse(credit.isExhausted());
    }

    @Test
    void neverExceedsTheFullCredit() {
      assertEquals(ReadCredit.MAX_NANOS, credit.available(Long.MAX_VALUE / 2, SHARE));
    }

    /** Guards against a long wait after one pause of the process. */
    @Test
    void oneLongUseIsRegainedInTheTimeOfTwiceTheFullCredit() {
      credit.spend(1_000 * ReadCredit.MAX_NANOS);
      assertEquals(ReadCredit.MAX_NANOS / 2, credit.available(3 * REGAIN_HALF_NANOS, SHARE));
    }
  }
}
