package org.shallothold.core.publish;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import org.junit.jupiter.api.Test;

/** Which missing items are waited for after an outage. */
class PlatformContactTest {

  private final PlatformContact contact = PlatformContact.create();

  @Test
  void itemsMissingInTheFirstAnswersMayHaveLapsed() {
    contact.answered(0);
    contact.failed();
    assertTrue(contact.answered(5_000));
    assertTrue(contact.mayHaveLapsed(5_000));
    assertTrue(contact.mayHaveLapsed(5_400));
  }

  /** Guards against new work for a server that left a second after contact was regained. */
  @Test
  void laterRemovalsAreMeant() {
    contact.answered(0);
    contact.failed();
    contact.answered(5_000);
    assertFalse(contact.mayHaveLapsed(6_000));
  }

  @Test
  void firstReadingIsNoReturn() {
    assertTrue(contact.answered(0));
    assertFalse(contact.mayHaveLapsed(0));
  }
}
