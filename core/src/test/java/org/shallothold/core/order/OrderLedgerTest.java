package org.shallothold.core.order;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * Runs scripts against a ledger. Steps: {@code issue}, {@code arrive N BODY [SERVICE]}, {@code hand
 * N} (the order is passed to the service), {@code answer N TEXT}, {@code lost N} (the run ends
 * without an answer), {@code seal N}, {@code deny N} (a refusal before the arrival), {@code status
 * N}, {@code restart}. N is the number of an issued ticket, from 1; {@code N!} is the ticket with
 * another authentication code. The first column of each row names the failure that the row guards
 * against.
 */
class OrderLedgerTest {

  private static final int RETAINED_TICKETS = 4;
  private static final int MAX_ANSWER_BYTES = 10;

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          an order that arrives again while it waits or runs is run twice | issue; arrive 1 a; arrive 1 a; hand 1; arrive 1 a | enqueue, join, true, join
          a later arrival runs the order again | issue; arrive 1 a; hand 1; answer 1 done; arrive 1 a; arrive 1 a | enqueue, true, replay done, replay done
          a reused ticket runs another body | issue; arrive 1 a; arrive 1 b; hand 1; arrive 1 b; answer 1 x; arrive 1 b | enqueue, not_run ticket_reused, true, not_run ticket_reused, not_run ticket_reused
          an order starts after its cancel | issue; arrive 1 a; seal 1; hand 1; arrive 1 a | enqueue, sealed, false, not_run ticket_sealed
          a cancelled order that was handed over counts as not run | issue; arrive 1 a; hand 1; seal 1; answer 1 x; arrive 1 a | enqueue, true, handed_over, replay x
          an answered ticket is sealed | issue; arrive 1 a; hand 1; answer 1 x; seal 1; status 1 | enqueue, true, answered, answered
          a sealed ticket runs | issue; seal 1; arrive 1 a; seal 1; status 1 | sealed, not_run ticket_sealed, sealed, sealed
          an order is handed over twice | issue; arrive 1 a; hand 1; hand 1 | enqueue, true, false
          a paused gateway submits after the refusal | issue; deny 1; arrive 1 a | not_run deadline, not_run ticket_sealed
          a refusal while another arrival waits counts as not run | issue; arrive 1 a; deny 1; hand 1; deny 1 | enqueue, may_have_run deadline, true, may_have_run deadline
          an order whose connection broke runs again | issue; arrive 1 a; hand 1; lost 1; arrive 1 a; seal 1; status 1 | enqueue, true, may_have_run backend_failed, handed_over, handed_over
          a restarted sidecar runs a former ticket | issue; restart; arrive 1 a; status 1; seal 1; deny 1 | may_have_run ticket_of_former_incarnation, former_incarnation, former_incarnation, may_have_run ticket_of_former_incarnation
          a restarted sidecar refuses new tickets | issue; restart; issue; arrive 2 a | enqueue
          an expired ticket runs again | issue; arrive 1 a; hand 1; answer 1 x; issue; issue; issue; issue; arrive 1 a; seal 1; status 1 | enqueue, true, may_have_run ticket_expired, expired, expired
          an expired ticket that waits is handed over | issue; arrive 1 a; issue; issue; issue; issue; hand 1; seal 1 | enqueue, false, expired
          a new ticket gets the state of the expired one | issue; seal 1; issue; issue; issue; issue; arrive 5 a | sealed, enqueue
          stored answers exceed their limit | issue; issue; arrive 1 a; hand 1; answer 1 sixsix; arrive 2 a; hand 2; answer 2 sixsix; arrive 1 a; arrive 2 a; status 1 | enqueue, true, enqueue, true, may_have_run ticket_expired, replay sixsix, answered
          an answer above the limit is stored | issue; arrive 1 a; hand 1; answer 1 elevenbytes; arrive 1 a | enqueue, true, may_have_run ticket_expired
          the answer of an expired ticket still counts towards the limit | issue; arrive 1 a; hand 1; answer 1 eightxxx; issue; issue; issue; issue; arrive 5 a; hand 5; answer 5 eightxxx; arrive 5 a | enqueue, true, enqueue, true, replay eightxxx
          a forged ticket runs | issue; arrive 1! a; status 1!; seal 1!; arrive 1 a | not_run order_ticket_invalid, invalid, invalid, enqueue
          a ticket of another service runs | issue; arrive 1 a other; arrive 1 a | not_run order_ticket_invalid, not_run ticket_sealed
          """)
  void decidesSoThatAnOrderRunsAtMostOnce(String guardsAgainst, String script, String expected) {
    assertEquals(expected, new Run().run(script), guardsAgainst);
  }

  private static final class Run {

    private final List<OrderTicket> tickets = new ArrayList<>();
    private int incarnation;
    private OrderLedger ledger = ledger();

    String run(String script) {
      List<String> trace = new ArrayList<>();
      for (String step : script.split(";", -1)) {
        String outcome = step(List.of(step.strip().split(" ", -1)));
        if (!outcome.isEmpty()) {
          trace.add(outcome);
        }
      }
      return String.join(", ", trace);
    }

    private OrderLedger ledger() {
      incarnation++;
      byte[] secret = new byte[TicketKey.LENGTH_BYTES];
      secret[0] = (byte) incarnation;
      TicketKey key = TicketKey.of("server", String.format("%032x", incarnation), secret);
      return OrderLedger.create(key, RETAINED_TICKETS, MAX_ANSWER_BYTES);
    }

    private String step(List<String> words) {
      switch (words.getFirst()) {
        case "issue" -> tickets.add(ledger.issue("service"));
        case "restart" -> ledger = ledger();
        case "arrive" -> {
          String service = words.size() > 3 ? words.get(3) : "service";
          return text(ledger.decide(ticket(words), service, lowerCaseBytes(words.get(2))));
        }
        case "hand" -> {
          return String.valueOf(ledger.handOver(serial(words)));
        }
        case "answer" -> ledger.recordAnswer(serial(words), lowerCaseBytes(words.get(2)));
        case "lost" -> ledger.recordAnswerLost(serial(words));
        case "seal" -> {
          return ledger.seal(ticket(words)).code();
        }
        case "deny" -> {
          return text(ledger.refuseArrival(ticket(words), ReasonCode.DEADLINE));
        }
        case "status" -> {
          return ledger.status(ticket(words)).code();
        }
        default -> throw new IllegalArgumentException("unknown step: " + words);
      }
      return "";
    }

    private long serial(List<String> words) {
      return tickets.get(Integer.parseInt(words.get(1)) - 1).serial();
    }

    private String ticket(List<String> words) {
      String name = words.get(1);
      String text = tickets.get(Integer.parseInt(name.replace("!", "")) - 1).text();
      char last = text.charAt(text.length() - 2);
      return name.endsWith("!")
          ? text.substring(0, text.length() - 2) + (last == 'A' ? 'B' : 'A') + "A"
          : text;
    }

    private static String text(OrderDecision decision) {
      return switch (decision) {
        case OrderDecision.Enqueue enqueue -> "enqueue";
        case OrderDecision.Join join -> "join";
        case OrderDecision.Replay(byte[] answer) ->
            "replay " + new String(answer, StandardCharsets.UTF_8);
        case OrderDecision.Refuse(Verdict verdict) -> text(verdict);
      };
    }

    private static String text(Verdict verdict) {
      return switch (verdict) {
        case Verdict.NotRun(ReasonCode reason, long retryAfterMillis) -> "not_run " + reason.code();
        case Verdict.MayHaveRun(ReasonCode reason) -> "may_have_run " + reason.code();
        case Verdict.Completed completed -> "completed";
      };
    }

    private static byte[] lowerCaseBytes(String text) {
      return text.toLowerCase(Locale.ROOT).getBytes(StandardCharsets.UTF_8);
    }
  }
}
