package org.shallothold.gateway.request;

import java.util.List;
import java.util.function.LongSupplier;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.limit.AdmissionGate;
import org.shallothold.core.stream.FrameOutcome;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.Finished;
import org.shallothold.wire.proto.Refused;
import org.shallothold.wire.proto.ServiceAnswer;
import org.shallothold.wire.proto.TicketGrant;
import org.shallothold.wire.proto.TicketState;
import org.shallothold.wire.proto.Tokens;
import org.shallothold.wire.proto.VerdictKind;

/**
 * Applies frames from sidecars to the requests in flight. Frames are ignored unless they arrive
 * over the connection of the attempt they refer to; an attempt id must also be of this incarnation.
 * Confined to the router thread.
 */
final class FrameHandler {

  private final InFlight inFlight;
  private final AdmissionGate gate;
  private final Dispatcher dispatcher;
  private final Finisher finisher;
  private final AttemptIdentity identity;
  private final RequestMetrics metrics;
  private final RequestJournal journal;
  private final LongSupplier clock;

  FrameHandler(
      InFlight inFlight,
      AdmissionGate gate,
      Dispatcher dispatcher,
      Finisher finisher,
      AttemptIdentity identity,
      RequestMetrics metrics,
      RequestJournal journal,
      LongSupplier clock) {
    this.inFlight = inFlight;
    this.gate = gate;
    this.dispatcher = dispatcher;
    this.finisher = finisher;
    this.identity = identity;
    this.metrics = metrics;
    this.journal = journal;
    this.clock = clock;
  }

  void received(PeerConnection connection, Envelope envelope) {
    switch (envelope.getMessageCase()) {
      case STARTED -> started(connection, envelope.getStarted().getAttempt());
      case TOKENS -> tokens(connection, envelope.getTokens());
      case FINISHED -> finished(connection, envelope.getFinished());
      case SERVICE_ANSWER -> serviceAnswer(connection, envelope.getServiceAnswer());
      case REFUSED -> refused(connection, envelope.getRefused());
      case TICKET_GRANT -> ticketGrant(connection, envelope.getTicketGrant());
      case TICKET_STATE -> ticketState(connection, envelope.getTicketState());
      default -> {}
    }
  }

  private void started(PeerConnection connection, Attempt attempt) {
    ActiveRequest request = findStarted(connection, attempt);
    if (request != null && request.isCurrent(attempt.getAttemptNumber())) {
      request.recordStart(clock.getAsLong());
      journal.addEvent(request.number(), clock.getAsLong(), "started", serverId(request), "");
      finishAbandonedIfDecided(request);
    }
  }

  private void tokens(PeerConnection connection, Tokens frame) {
    ActiveRequest request = findStarted(connection, frame.getAttempt());
    if (request == null) {
      return;
    }
    int attempt = frame.getAttempt().getAttemptNumber();
    if (!request.isCurrent(attempt)) {
      metrics.wasted(
          serviceClassName(request), RequestMetrics.WasteCause.RETRIED, frame.getTokensCount());
      return;
    }
    if (request.abandonReason() != null) {
      finishAbandonedIfDecided(request);
      return;
    }
    switch (request.assembler().accept(attempt, frame.getOffset(), frame.getTokensList())) {
      case FrameOutcome.Accepted(List<String> accepted) -> deliver(request, accepted);
      case FrameOutcome.Broken broken -> {
        finisher.cancel(request);
        dispatcher.resubmit(request, ReasonCode.BACKEND_FAILED);
      }
      default ->
          metrics.wasted(
              serviceClassName(request), RequestMetrics.WasteCause.RETRIED, frame.getTokensCount());
    }
  }

  private void deliver(ActiveRequest request, List<String> tokens) {
    long now = clock.getAsLong();
    if (tokens.isEmpty()) {
      return;
    }
    if (request.firstTokenMillis() < 0) {
      metrics.firstToken(serviceClassName(request), now - request.arrivedMillis());
      gate.answerStarted(request.number());
    } else {
      double interval = (now - request.lastTokenMillis()) / (double) tokens.size();
      metrics.tokenInterval(serviceClassName(request), interval);
    }
    request.recordTokens(tokens.size(), now);
    if (request.call() instanceof Call.Completion completion
        && completion.stream()
        && !request.responder().tokens(tokens)) {
      finisher.abandon(request, ReasonCode.CANCELLED);
    }
  }

  private void finished(PeerConnection connection, Finished frame) {
    ActiveRequest request = findStarted(connection, frame.getAttempt());
    if (request == null) {
      return;
    }
    int attempt = frame.getAttempt().getAttemptNumber();
    if (!request.isCurrent(attempt)) {
      return;
    }
    if (request.abandonReason() != null) {
      finisher.finishAbandoned(request);
      return;
    }
    boolean complete =
        frame.getKind() == FinishKind.FINISH_KIND_COMPLETE
            && request.call() instanceof Call.Completion
            && request.assembler().finish(attempt, frame.getTokenCount())
                instanceof FrameOutcome.Complete;
    if (complete) {
      finisher.completed(request, frame.getFinishReason());
    } else {
      journal.addEvent(
          request.number(), clock.getAsLong(), "broken", serverId(request), frame.getReasonCode());
      dispatcher.resubmit(request, ReasonCode.BACKEND_FAILED);
    }
  }

  private void serviceAnswer(PeerConnection connection, ServiceAnswer answer) {
    ActiveRequest request = find(connection, answer.getAttempt());
    if (request != null
        && request.call() instanceof Call.Service
        && request.isCurrent(answer.getAttempt().getAttemptNumber())) {
      finisher.answered(request, answer);
    }
  }

  private void refused(PeerConnection connection, Refused frame) {
    ActiveRequest request = find(connection, frame.getAttempt());
    if (request == null) {
      return;
    }
    int attempt = frame.getAttempt().getAttemptNumber();
    ReasonCode reason = ReasonCode.fromCode(frame.getReasonCode());
    boolean notRun = frame.getVerdict() == VerdictKind.VERDICT_KIND_NOT_RUN;
    request
        .tracker()
        .refused(
            attempt,
            notRun
                ? Verdict.notRun(reason, frame.getRetryAfterMillis())
                : Verdict.mayHaveRun(reason));
    if (!request.isCurrent(attempt)) {
      return;
    }
    journal.addEvent(
        request.number(), clock.getAsLong(), "refused", serverId(request), reason.code());
    if (request.abandonReason() != null) {
      finisher.finishAbandoned(request);
    } else if (!notRun) {
      dispatcher.resubmit(request, reason);
    } else {
      tryOtherServers(request, reason);
    }
  }

  /**
   * Submits a refused request to the next server at once, without charging the retry budget, since
   * no work was done. A request that refers to a ticket fails, as no other server can handle it.
   */
  private void tryOtherServers(ActiveRequest request, ReasonCode reason) {
    request.lastReason(reason);
    dispatcher.detachAndExclude(request);
    if (request.call().namesTicket()) {
      finisher.fail(request, reason, "the order's backend server refused it: " + reason.code());
    } else {
      dispatcher.route(request, reason.code());
    }
  }

  private void ticketGrant(PeerConnection connection, TicketGrant grant) {
    ActiveRequest request = findCall(connection, grant.getCallNumber());
    if (request == null) {
      return;
    }
    if (grant.getTicket().isEmpty()) {
      int attempt = AttemptIdentity.attemptOfCall(grant.getCallNumber());
      ReasonCode reason = ReasonCode.fromCode(grant.getReasonCode());
      request.tracker().refused(attempt, Verdict.notRun(reason));
      tryOtherServers(request, reason);
    } else {
      finisher.ticket(request, grant.getTicket());
    }
  }

  private void ticketState(PeerConnection connection, TicketState state) {
    ActiveRequest request = findCall(connection, state.getCallNumber());
    if (request != null && request.call() instanceof Call.TicketLookup lookup) {
      finisher.ticketState(request, lookup, state.getState());
    }
  }

  /** Fails an abandoned request once no frame can prove any more that it was not run. */
  private void finishAbandonedIfDecided(ActiveRequest request) {
    if (request.abandonReason() != null && !request.tracker().isDecisive(request.attempt())) {
      finisher.finishAbandoned(request);
    }
  }

  /**
   * Returns the request of a frame that shows that the attempt may have run, and records that for
   * the verdict; null if the frame is to be ignored.
   */
  private @Nullable ActiveRequest findStarted(PeerConnection connection, Attempt attempt) {
    ActiveRequest request = find(connection, attempt);
    if (request != null) {
      request.tracker().started(attempt.getAttemptNumber());
    }
    return request;
  }

  private @Nullable ActiveRequest find(PeerConnection connection, Attempt attempt) {
    ActiveRequest request = inFlight.get(attempt.getRequestNumber());
    return request != null
            && identity.isOurs(attempt)
            && request.isAttemptOn(attempt.getAttemptNumber(), connection)
        ? request
        : null;
  }

  private @Nullable ActiveRequest findCall(PeerConnection connection, long callNumber) {
    ActiveRequest request = inFlight.get(AttemptIdentity.requestOfCall(callNumber));
    int attempt = AttemptIdentity.attemptOfCall(callNumber);
    return request != null && request.isAttemptOn(attempt, connection) && request.isCurrent(attempt)
        ? request
        : null;
  }

  private static String serviceClassName(ActiveRequest request) {
    return request.request().serviceClass().name();
  }

  private static String serverId(ActiveRequest request) {
    ServerState server = request.server();
    return server == null ? "" : server.id();
  }
}
