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
      TicketKey.of("server-1", INCARNATION, new byte[TicketKey.LENGTH_BYTES]);
  private static final OrderTicket TICKET = KEY.sign("orders", 42);

  /** Guards against a text form that loses a field. */
  @Test
  void textFormKeepsAllFields() {
    assertEquals(Optional.of(TICKET), OrderTicket.parse(TICKET.text()));
    assertTrue(KEY.verifies(TICKET));
  }

  /** Guards against an exception for input that a caller controls. */
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
  void otherTextsAreNotParsed(String text) {
    assertEquals(Optional.empty(), OrderTicket.parse(text));
  }

  /** Guards against a modified ticket that verifies, and against exceptions for any text. */
  @Test
  void modifiedTicketsDoNotVerify() {
    Random random = new Random(7);
    String text = TICKET.text();
    for (int run = 0; run < 5_000; run++) {
      StringBuilder modified = new StringBuilder(text);
      for (int change = random.nextInt(3); change >= 0; change--) {
        modified.setCharAt(random.nextInt(text.length()), (char) (32 + random.nextInt(100)));
      }
      if (!modified.toString().equals(text)) {
        assertFalse(
            OrderTicket.parse(modified.toString()).map(KEY::verifies).orElse(false),
            modified.toString());
      }
    }
  }

  /** Guards against a key that accepts the tickets of another incarnation. */
  @Test
  void anotherKeyDoesNotVerify() {
    byte[] secret = new byte[TicketKey.LENGTH_BYTES];
    secret[0] = 1;
    assertFalse(TicketKey.of("server-1", INCARNATION, secret).verifies(TICKET));
  }
}
