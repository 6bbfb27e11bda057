package org.shallothold.gateway.request;

import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.limit.AdmissionGate;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Cancel;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ServiceAnswer;

/**
 * Ends requests: answers the caller, releases the request's resources and records the outcome.
 * Confined to the router thread.
 */
final class Finisher {

  private static final long DEFAULT_RETRY_AFTER_MILLIS = 1_000;

  private final InFlight inFlight;
  private final AdmissionGate gate;
  private final ServerTable servers;
  private final AttemptIdentity identity;
  private final RequestMetrics metrics;
  private final RequestJournal journal;
  private final long verdictWaitMillis;
  private final LongSupplier clock;

  Finisher(
      InFlight inFlight,
      AdmissionGate gate,
      ServerTable servers,
      AttemptIdentity identity,
      RequestMetrics metrics,
      RequestJournal journal,
      long verdictWaitMillis,
      LongSupplier clock) {
    this.inFlight = inFlight;
    this.gate = gate;
    this.servers = servers;
    this.identity = identity;
    this.metrics = metrics;
    this.journal = journal;
    this.verdictWaitMillis = verdictWaitMillis;
    this.clock = clock;
  }

  /** Ends a completion whose whole answer arrived. */
  void completed(ActiveRequest request, String finishReason) {
    int tokens = request.assembler().tokens().size();
    metrics.completed(request, tokens, clock.getAsLong());
    end(request, "completed", tokens + " tokens");
    request.responder().completed(request.assembler().tokens(), finishReason);
  }

  /** Ends a call of a plain service with the service's answer. */
  void answered(ActiveRequest request, ServiceAnswer answer) {
    metrics.completed(request, 0, clock.getAsLong());
    end(request, "completed", "status " + answer.getStatus());
    request.responder().answered(answer);
  }

  /**
   * Answers a request for a new ticket. An order that came without a ticket fails instead, and the
   * failure carries the ticket.
   */
  void ticket(ActiveRequest request, String ticket) {
    if (request.call() instanceof Call.NewTicket) {
      metrics.completed(request, 0, clock.getAsLong());
      end(request, "completed", "ticket issued");
      request.responder().ticket(ticket);
    } else {
      fail(
          request,
          new Failure(
              ReasonCode.ORDER_TICKET_REQUIRED,
              Verdict.notRun(ReasonCode.ORDER_TICKET_REQUIRED),
              "this call is an order; repeat it with the ticket as Idempotency-Key",
              ticket));
    }
  }

  /** Answers a ticket lookup with the ticket's state. */
  void ticketState(ActiveRequest request, Call.TicketLookup lookup, String state) {
    metrics.completed(request, 0, clock.getAsLong());
    end(request, "completed", "ticket " + state);
    request.responder().ticketState(lookup.ticket(), state);
  }

  /** Fails a request with a reason and the verdict that follows from its attempts. */
  void fail(ActiveRequest request, ReasonCode reason, String message) {
    Verdict verdict = request.tracker().verdict(reason);
    if (verdict instanceof Verdict.NotRun notRun && notRun.retryAfterMillis() == 0) {
      verdict = Verdict.notRun(reason, defaultRetryAfter(reason));
    }
    fail(request, Failure.of(reason, verdict, message));
  }

  /**
   * Abandons a request: cancels its attempt and fails it. If the sidecar can still prove that the
   * request was not run, the failure waits for that verdict up to the configured time. Does nothing
   * if the request is already abandoned.
   */
  void abandon(ActiveRequest request, ReasonCode reason) {
    if (request.abandonReason() != null) {
      return;
    }
    boolean cancelSent = cancel(request);
    gate.release(request.number());
    if (cancelSent && request.tracker().isDecisive(request.attempt())) {
      long until = clock.getAsLong() + verdictWaitMillis;
      request.abandon(reason, until);
      journal.addEvent(
          request.number(), clock.getAsLong(), "given_up", serverId(request), reason.code());
      inFlight.schedule(request, until);
    } else {
      request.abandon(reason, 0);
      finishAbandoned(request);
    }
  }

  /** Fails an abandoned request with the verdict that its attempts allow by now. */
  void finishAbandoned(ActiveRequest request) {
    ReasonCode reason = request.abandonReason();
    fail(request, reason == null ? ReasonCode.INTERNAL : reason, message(reason));
  }

  /** Cancels and ends a request whose caller disconnected; no answer is sent. */
  void callerDisconnected(ActiveRequest request) {
    cancel(request);
    metrics.callerDisconnected(request);
    recordWaste(request, RequestMetrics.WasteCause.ABANDONED);
    end(request, "abandoned", "the caller closed its connection");
  }

  /**
   * Sends a cancel frame for the current attempt.
   *
   * @return whether the frame was sent, so that an answer from the sidecar can be expected
   */
  boolean cancel(ActiveRequest request) {
    ServerState server = request.server();
    PeerConnection connection = server == null ? null : server.connection();
    boolean cancellable =
        request.call() instanceof Call.Completion || request.call() instanceof Call.Service;
    return cancellable
        && connection != null
        && connection.send(
            Envelope.newBuilder()
                .setCancel(Cancel.newBuilder().setAttempt(identity.of(request, request.attempt())))
                .build());
  }

  private void fail(ActiveRequest request, Failure failure) {
    boolean cancelled =
        failure.reason() == ReasonCode.DEADLINE
            || failure.reason() == ReasonCode.DISPLACED
            || failure.reason() == ReasonCode.CANCELLED;
    recordWaste(
        request,
        cancelled ? RequestMetrics.WasteCause.CANCELLED : RequestMetrics.WasteCause.BROKEN);
    metrics.failed(request, failure);
    end(request, failure.verdict().wireName(), failure.reason().code());
    request.responder().failed(failure);
  }

  private void recordWaste(ActiveRequest request, RequestMetrics.WasteCause cause) {
    metrics.wasted(
        request.request().serviceClass().name(), cause, request.assembler().tokens().size());
  }

  private void end(ActiveRequest request, String outcome, String detail) {
    ServerState server = request.server();
    inFlight.remove(request);
    gate.release(request.number());
    request.detach();
    if (server != null) {
      servers.closeIfUnused(server);
    }
    journal.ended(request.number(), clock.getAsLong(), outcome, detail);
    metrics.inFlight(inFlight.size());
  }

  private static String serverId(ActiveRequest request) {
    ServerState server = request.server();
    return server == null ? "" : server.id();
  }

  private static long defaultRetryAfter(ReasonCode reason) {
    return switch (reason) {
      case QUEUE_FULL,
          SERVER_RATE_LIMIT,
          DISPLACED,
          DEADLINE,
          NO_SERVER,
          SERVER_LEAVING,
          CONFIGURATION_BEHIND,
          NOT_CONFIGURED,
          CONNECTION_LOST,
          BACKEND_FAILED,
          FENCED ->
          DEFAULT_RETRY_AFTER_MILLIS;
      default -> 0;
    };
  }

  private static String message(@Nullable ReasonCode reason) {
    return switch (reason) {
      case DEADLINE -> "the deadline passed before the answer was complete";
      case DISPLACED -> "the gateway is full and admitted a request of a higher tier instead";
      case CANCELLED -> "the caller reads its answer too slowly";
      case null, default -> "the request was abandoned";
    };
  }
}
