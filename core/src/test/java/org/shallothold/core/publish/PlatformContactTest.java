package org.shallothold.core.publish;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Guards against wrong decisions on whether a missing item may have lapsed during an outage. */
class PlatformContactTest {

  private final PlatformContact contact = PlatformContact.create();

  @Test
  void itemsMissingShortlyAfterAnOutageMayHaveLapsed() {
    contact.recordAnswer(0);
    contact.recordFailure();
    assertTrue(contact.recordAnswer(5_000));
    assertTrue(contact.mayHaveLapsed(5_000));
    assertTrue(contact.mayHaveLapsed(5_400));
  }

  /** Guards against sending work to a server that left one second after contact was regained. */
  @Test
  void laterRemovalsAreIntentional() {
    contact.recordAnswer(0);
    contact.recordFailure();
    contact.recordAnswer(5_000);
    assertFalse(contact.mayHaveLapsed(6_000));
  }

  @Test
  void firstAnswerDoesNotFollowAnOutage() {
    assertTrue(contact.recordAnswer(0));
    assertFalse(contact.mayHaveLapsed(0));
  }
}
