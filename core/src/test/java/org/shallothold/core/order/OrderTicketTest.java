package org.shallothold.core.order;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Optional;
import java.util.Random;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class OrderTicketTest {

  private static final String INCARNATION = "0123456789abcdef0123456789abcdef";
  private static final TicketKey KEY =
      TicketKey.of("server-1", INCARNATION, new byte[TicketKey.BYTES]);
  private static final OrderTicket TICKET = KEY.sign("orders", 42);

  /** Guards against a text form that loses a field. */
  @Test
  void textFormKeepsAllFields() {
    assertEquals(Optional.of(TICKET), OrderTicket.parse(TICKET.text()));
    assertTrue(KEY.verifies(TICKET));
  }

  /** Guards against an exception on input that a caller chose. */
  @ParameterizedTest
  @ValueSource(
      strings = {
        "",
        "~",
        "~~~~",
        "a~b~c~d~e",
        "orders~server-1~0123456789abcdef0123456789abcdef~0~AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
        "orders~server-1~0123456789abcdef0123456789abcdef~99999999999999999999~AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
        "orders~server-1~0123456789ABCDEF0123456789abcdef~1~AAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAAA",
        "orders~server-1~0123456789abcdef0123456789abcdef~1~short"
      })
  void otherTextsAreNoTickets(String text) {
    assertEquals(Optional.empty(), OrderTicket.parse(text));
  }

  /** Guards against a changed ticket that passes, and against exceptions on any text. */
  @Test
  void changedTicketsDontVerify() {
    Random random = new Random(7);
    String text = TICKET.text();
    for (int run = 0; run < 5_000; run++) {
      StringBuilder changed = new StringBuilder(text);
      for (int change = random.nextInt(3); change >= 0; change--) {
        changed.setCharAt(random.nextInt(text.length()), (char) (32 + random.nextInt(100)));
      }
      if (!changed.toString().equals(text)) {
        assertFalse(
            OrderTicket.parse(changed.toString()).map(KEY::verifies).orElse(false),
            changed.toString());
      }
    }
  }

  /** Guards against a key that accepts another incarnation's tickets. */
  @Test
  void anotherKeyDoesNotVerify() {
    byte[] random = new byte[TicketKey.BYTES];
    random[0] = 1;
    assertFalse(TicketKey.of("server-1", INCARNATION, random).verifies(TICKET));
  }
}
