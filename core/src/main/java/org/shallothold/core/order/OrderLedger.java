package org.shallothold.core.order;

import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Deque;
import java.util.Optional;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * Decides for each order whether it may run, so that each order runs at most once. Holds the state
 * of the tickets of one incarnation, in bounded memory. One instance per sidecar; owned by one
 * thread. See docs/decisions/0002-order-tickets.md.
 */
public final class OrderLedger {

  /**
   * Number of the latest tickets whose state is kept; older tickets are expired and can't be used.
   */
  public static final int RETAINED_TICKETS = 65_536;

  /** Total size of the answers stored for repeated arrivals, in bytes. */
  public static final int MAX_ANSWER_BYTES = 8 * 1024 * 1024;

  private final TicketKey key;
  private final int retainedTickets;
  private final long maxAnswerBytes;

  // Indexed by the serial number modulo the length; null means that the ticket is unused.
  private final @Nullable TicketState[] states;
  private final Deque<TicketState> statesWithAnswer = new ArrayDeque<>();
  private long storedAnswerBytes;
  private long lastSerial;

  private OrderLedger(TicketKey key, int retainedTickets, long maxAnswerBytes) {
    this.key = key;
    this.retainedTickets = retainedTickets;
    this.maxAnswerBytes = maxAnswerBytes;
    this.states = new TicketState[retainedTickets];
  }

  /** State of a ticket that was used or sealed. */
  private static final class TicketState {
    private TicketStatus status;
    private final byte @Nullable [] requestDigest;
    private byte @Nullable [] answer;
    // Whether the run of the order ended without an answer, so that none will come.
    private boolean answerLost;

    TicketState(TicketStatus status, byte @Nullable [] requestDigest) {
      this.status = status;
      this.requestDigest = requestDigest;
    }
  }

  /** Returns an empty ledger with the default limits. */
  public static OrderLedger create(TicketKey key) {
    return new OrderLedger(key, RETAINED_TICKETS, MAX_ANSWER_BYTES);
  }

  /**
   * Returns an empty ledger.
   *
   * @param key key that signs the tickets
   * @param retainedTickets number of the latest tickets whose state is kept
   * @param maxAnswerBytes total size of the stored answers, in bytes
   */
  public static OrderLedger create(TicketKey key, int retainedTickets, long maxAnswerBytes) {
    return new OrderLedger(key, retainedTickets, maxAnswerBytes);
  }

  /** Issues a ticket for a service; the oldest retained ticket expires if the ledger is full. */
  public OrderTicket issue(String service) {
    lastSerial++;
    TicketState expiredState = states[index(lastSerial)];
    if (expiredState != null) {
      statesWithAnswer.remove(expiredState);
      dropAnswer(expiredState);
      states[index(lastSerial)] = null;
    }
    return key.sign(service, lastSerial);
  }

  /** Returns the status of a ticket; {@code INVALID} if the text is not a ticket. */
  public TicketStatus status(String ticketText) {
    return OrderTicket.parse(ticketText).map(this::status).orElse(TicketStatus.INVALID);
  }

  /**
   * Decides about an order that arrived with a ticket. With {@link OrderDecision.Enqueue} the
   * ticket is used and its order waits.
   *
   * @param ticketText text of the ticket
   * @param service service that the order is for
   * @param requestDigest SHA-256 digest of the request content; the same ticket with another digest
   *     is refused
   */
  public OrderDecision decide(String ticketText, String service, byte[] requestDigest) {
    Optional<OrderTicket> ticket = OrderTicket.parse(ticketText);
    TicketStatus status = ticket.map(this::status).orElse(TicketStatus.INVALID);
    return switch (status) {
      // No process ever accepts such a ticket, so an order with it never runs.
      case INVALID -> notRun(ReasonCode.ORDER_TICKET_INVALID);
      case FORMER_INCARNATION -> mayHaveRun(ReasonCode.TICKET_OF_FORMER_INCARNATION);
      case EXPIRED -> mayHaveRun(ReasonCode.TICKET_EXPIRED);
      case SEALED -> notRun(ReasonCode.TICKET_SEALED);
      case UNUSED -> decideFirstArrival(ticket.orElseThrow(), service, requestDigest);
      case WAITING, HANDED_OVER, ANSWERED ->
          decideRepeatedArrival(ticket.orElseThrow().serial(), requestDigest);
    };
  }

  /**
   * Records that a waiting order is being passed to the service.
   *
   * @return false if the order must not be passed on, since its ticket was sealed or has expired
   */
  public boolean handOver(long serial) {
    TicketState state = findState(serial);
    if (state == null || state.status != TicketStatus.WAITING) {
      return false;
    }
    state.status = TicketStatus.HANDED_OVER;
    return true;
  }

  /**
   * Stores the answer to an order that was handed over. The oldest answers are dropped if the
   * stored answers exceed the limit.
   */
  public void recordAnswer(long serial, byte[] answer) {
    TicketState state = findState(serial);
    if (state == null || state.status != TicketStatus.HANDED_OVER) {
      return;
    }
    state.status = TicketStatus.ANSWERED;
    state.answer = answer;
    statesWithAnswer.addLast(state);
    storedAnswerBytes += answer.length;
    while (storedAnswerBytes > maxAnswerBytes) {
      dropAnswer(statesWithAnswer.removeFirst());
    }
  }

  /** Records that an order was handed over and its run ended without an answer. */
  public void recordAnswerLost(long serial) {
    TicketState state = findState(serial);
    if (state != null && state.status == TicketStatus.HANDED_OVER) {
      state.answerLost = true;
    }
  }

  /**
   * Seals a ticket that is unused or waiting, so that its order never runs; does nothing to others.
   *
   * @return the status afterwards; only {@code SEALED} and {@code INVALID} mean that the order did
   *     not run and never will
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
   * Returns the verdict for an arrival that is refused before {@link #decide}, and seals its ticket
   * if the ticket is unused. A ticket that another arrival uses is not changed; the verdict is then
   * "may have run", since the order can still run.
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

  /** Seals the ticket with a serial number if it is unused or waiting; does nothing otherwise. */
  public void seal(long serial) {
    if (serial <= 0 || serial > lastSerial || isExpired(serial)) {
      return;
    }
    TicketState state = states[index(serial)];
    if (state == null) {
      states[index(serial)] = new TicketState(TicketStatus.SEALED, null);
    } else if (state.status == TicketStatus.WAITING) {
      state.status = TicketStatus.SEALED;
    }
  }

  private OrderDecision decideFirstArrival(
      OrderTicket ticket, String service, byte[] requestDigest) {
    if (!ticket.service().equals(service)) {
      seal(ticket.serial());
      return notRun(ReasonCode.ORDER_TICKET_INVALID);
    }
    states[index(ticket.serial())] = new TicketState(TicketStatus.WAITING, requestDigest.clone());
    return new OrderDecision.Enqueue(ticket.serial());
  }

  private OrderDecision decideRepeatedArrival(long serial, byte[] requestDigest) {
    TicketState state = findState(serial);
    if (state == null) {
      return mayHaveRun(ReasonCode.TICKET_EXPIRED);
    }
    if (!Arrays.equals(state.requestDigest, requestDigest)) {
      return notRun(ReasonCode.TICKET_REUSED);
    }
    byte[] answer = state.answer;
    if (answer != null) {
      return new OrderDecision.Replay(answer);
    }
    if (state.status == TicketStatus.ANSWERED) {
      return mayHaveRun(ReasonCode.TICKET_EXPIRED);
    }
    return state.answerLost
        ? mayHaveRun(ReasonCode.BACKEND_FAILED)
        : new OrderDecision.Join(serial);
  }

  private TicketStatus status(OrderTicket ticket) {
    if (!key.matchesIssuer(ticket)) {
      return TicketStatus.FORMER_INCARNATION;
    }
    if (!key.verifies(ticket) || ticket.serial() > lastSerial) {
      return TicketStatus.INVALID;
    }
    if (isExpired(ticket.serial())) {
      return TicketStatus.EXPIRED;
    }
    TicketState state = states[index(ticket.serial())];
    return state == null ? TicketStatus.UNUSED : state.status;
  }

  private @Nullable TicketState findState(long serial) {
    return serial <= 0 || serial > lastSerial || isExpired(serial) ? null : states[index(serial)];
  }

  private boolean isExpired(long serial) {
    return serial <= lastSerial - retainedTickets;
  }

  private int index(long serial) {
    return (int) (serial % retainedTickets);
  }

  private void dropAnswer(TicketState state) {
    byte[] answer = state.answer;
    if (answer != null) {
      storedAnswerBytes -= answer.length;
      state.answer = null;
    }
  }

  private static OrderDecision notRun(ReasonCode reason) {
    return new OrderDecision.Refuse(Verdict.notRun(reason));
  }

  private static OrderDecision mayHaveRun(ReasonCode reason) {
    return new OrderDecision.Refuse(Verdict.mayHaveRun(reason));
  }
}
