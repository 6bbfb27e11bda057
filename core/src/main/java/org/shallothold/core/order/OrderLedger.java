package org.shallothold.core.order;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * Decides for each order whether it may run, so that each runs at most once. Holds the tickets of
 * one incarnation, in bounded memory. Made once per sidecar; owned by one thread. See
 * docs/decisions/0002-order-tickets.md.
 */
public final class OrderLedger {

  /** Serial numbers held; older ones count as used. */
  public static final int KEPT_SERIALS = 65_536;

  /** Answers kept for later arrivals, in bytes together. */
  public static final int KEPT_ANSWER_BYTES = 8 * 1024 * 1024;

  private final TicketKey key;
  private final int keptSerials;
  private final long keptAnswerBytes;

  // Indexed by serial modulo the length; null stands for an unused ticket.
  private final @Nullable Use[] uses;
  private final Deque<Use> answered = new ArrayDeque<>();
  private long answerBytes;
  private long lastSerial;

  private OrderLedger(TicketKey key, int keptSerials, long keptAnswerBytes) {
    this.key = key;
    this.keptSerials = keptSerials;
    this.keptAnswerBytes = keptAnswerBytes;
    this.uses = new Use[keptSerials];
  }

  /** The fate of a ticket that was used or sealed. */
  private static final class Use {
    private TicketStatus status;
    private final byte @Nullable [] requestDigest;
    private byte @Nullable [] answer;
    // Set if the service was lost before it answered, so that no answer will come.
    private boolean lost;

    Use(TicketStatus status, byte @Nullable [] requestDigest) {
      this.status = status;
      this.requestDigest = requestDigest;
    }
  }

  /** Returns an empty ledger. */
  public static OrderLedger create(TicketKey key) {
    return new OrderLedger(key, KEPT_SERIALS, KEPT_ANSWER_BYTES);
  }

  /** Returns an empty ledger with other bounds. */
  public static OrderLedger create(TicketKey key, int keptSerials, long keptAnswerBytes) {
    return new OrderLedger(key, keptSerials, keptAnswerBytes);
  }

  /** Issues a ticket; the oldest one held expires if the memory is full. */
  public OrderTicket issue(String service) {
    lastSerial++;
    Use expired = uses[index(lastSerial)];
    if (expired != null) {
      answered.remove(expired);
      dropAnswer(expired);
      uses[index(lastSerial)] = null;
    }
    return key.sign(service, lastSerial);
  }

  /** Returns what is known of a ticket; a text that is no ticket is {@code INVALID}. */
  public TicketStatus status(String ticketText) {
    return OrderTicket.parse(ticketText).map(this::status).orElse(TicketStatus.INVALID);
  }

  /**
   * Decides about an order that arrived under a ticket. The decision to enqueue takes the ticket.
   *
   * @param service service that the order is for
   * @param requestDigest SHA-256 of what is asked for
   */
  public OrderDecision arrive(String ticketText, String service, byte[] requestDigest) {
    Optional<OrderTicket> parsed = OrderTicket.parse(ticketText);
    TicketStatus status = parsed.map(this::status).orElse(TicketStatus.INVALID);
    return switch (status) {
      // No process can ever accept such a ticket, so an order under it never runs.
      case INVALID -> notRun(ReasonCode.ORDER_TICKET_INVALID);
      case FORMER_INCARNATION -> mayHaveRun(ReasonCode.TICKET_OF_FORMER_INCARNATION);
      case EXPIRED -> mayHaveRun(ReasonCode.TICKET_EXPIRED);
      case SEALED -> notRun(ReasonCode.TICKET_SEALED);
      case UNUSED -> firstArrival(parsed.orElseThrow(), service, requestDigest);
      case WAITING, HANDED_OVER, ANSWERED ->
          laterArrival(parsed.orElseThrow().serial(), requestDigest);
    };
  }

  /**
   * Notes that a waiting order is being passed to the service.
   *
   * @return false if it must not be, as its ticket was sealed or has expired meanwhile
   */
  public boolean handOver(long serial) {
    Use use = use(serial);
    if (use == null || use.status != TicketStatus.WAITING) {
      return false;
    }
    use.status = TicketStatus.HANDED_OVER;
    return true;
  }

  /** Keeps the answer to an order that was handed over, as long as memory allows. */
  public void answered(long serial, byte[] answer) {
    Use use = use(serial);
    if (use == null || use.status != TicketStatus.HANDED_OVER) {
      return;
    }
    use.status = TicketStatus.ANSWERED;
    use.answer = answer;
    answered.addLast(use);
    answerBytes += answer.length;
    while (answerBytes > keptAnswerBytes) {
      dropAnswer(answered.removeFirst());
    }
  }

  /** Notes that the service was lost before it answered an order that was handed over. */
  public void lost(long serial) {
    Use use = use(serial);
    if (use != null && use.status == TicketStatus.HANDED_OVER) {
      use.lost = true;
    }
  }

  /**
   * Makes sure that no order under a ticket ever runs, if that is still possible.
   *
   * @return the status afterwards; only {@code SEALED} and {@code INVALID} mean that nothing ran
   */
  public TicketStatus seal(String ticketText) {
    return OrderTicket.parse(ticketText)
        .map(
            ticket -> {
              TicketStatus status = status(ticket);
              if (status == TicketStatus.UNUSED || status == TicketStatus.WAITING) {
                seal(ticket.serial());
                return TicketStatus.SEALED;
              }
              return status;
            })
        .orElse(TicketStatus.INVALID);
  }

  /**
   * Returns the verdict of an arrival that is refused before {@link #arrive}, and seals its ticket
   * if it is unused. A ticket that another arrival uses is left alone, and then this refusal says
   * nothing about whether the order runs.
   */
  public Verdict refuseArrival(String ticketText, ReasonCode reason) {
    return switch (status(ticketText)) {
      case UNUSED -> {
        seal(ticketText);
        yield Verdict.notRun(reason);
      }
      case SEALED, INVALID -> Verdict.notRun(reason);
      case FORMER_INCARNATION -> Verdict.mayHaveRun(ReasonCode.TICKET_OF_FORMER_INCARNATION);
      case WAITING, HANDED_OVER, ANSWERED, EXPIRED -> Verdict.mayHaveRun(reason);
    };
  }

  /** Seals a ticket that is unused or waiting; does nothing to others. */
  public void seal(long serial) {
    if (serial <= 0 || serial > lastSerial || isExpired(serial)) {
      return;
    }
    Use use = uses[index(serial)];
    if (use == null) {
      uses[index(serial)] = new Use(TicketStatus.SEALED, null);
    } else if (use.status == TicketStatus.WAITING) {
      use.status = TicketStatus.SEALED;
    }
  }

  private OrderDecision firstArrival(OrderTicket ticket, String service, byte[] requestDigest) {
    if (!ticket.service().equals(service)) {
      seal(ticket.serial());
      return notRun(ReasonCode.ORDER_TICKET_INVALID);
    }
    uses[index(ticket.serial())] = new Use(TicketStatus.WAITING, requestDigest.clone());
    return new OrderDecision.Enqueue(ticket.serial());
  }

  private OrderDecision laterArrival(long serial, byte[] requestDigest) {
    Use use = use(serial);
    if (use == null) {
      return mayHaveRun(ReasonCode.TICKET_EXPIRED);
    }
    if (!Arrays.equals(use.requestDigest, requestDigest)) {
      return notRun(ReasonCode.TICKET_REUSED);
    }
    byte[] answer = use.answer;
    if (answer != null) {
      return new OrderDecision.Replay(answer);
    }
    if (use.status == TicketStatus.ANSWERED) {
      return mayHaveRun(ReasonCode.TICKET_EXPIRED);
    }
    return use.lost ? mayHaveRun(ReasonCode.BACKEND_FAILED) : new OrderDecision.Join(serial);
  }

  private TicketStatus status(OrderTicket ticket) {
    if (!key.names(ticket)) {
      return TicketStatus.FORMER_INCARNATION;
    }
    if (!key.verifies(ticket) || ticket.serial() > lastSerial) {
      return TicketStatus.INVALID;
    }
    if (isExpired(ticket.serial())) {
      return TicketStatus.EXPIRED;
    }
    Use use = uses[index(ticket.serial())];
    return use == null ? TicketStatus.UNUSED : use.status;
  }

  private @Nullable Use use(long serial) {
    return serial <= 0 || serial > lastSerial || isExpired(serial) ? null : uses[index(serial)];
  }

  private boolean isExpired(long serial) {
    return serial <= lastSerial - keptSerials;
  }

  private int index(long serial) {
    return (int) (serial % keptSerials);
  }

  private void dropAnswer(Use use) {
    byte[] answer = use.answer;
    if (answer != null) {
      answerBytes -= answer.length;
      use.answer = null;
    }
  }

  private static OrderDecision notRun(ReasonCode reason) {
    return new OrderDecision.Refuse(Verdict.notRun(reason));
  }

  private static OrderDecision mayHaveRun(ReasonCode reason) {
    return new OrderDecision.Refuse(Verdict.mayHaveRun(reason));
  }
}
