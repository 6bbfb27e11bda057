package org.shallothold.gateway.request;

import java.util.List;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.order.OrderTicket;
import org.shallothold.core.retry.RetryBudget;
import org.shallothold.core.routing.PrefixAffinity;
import org.shallothold.core.routing.ServerSelector;
import org.shallothold.core.routing.ServerView;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.runtime.sync.WireVersions;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Completion;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ServiceCall;
import org.shallothold.wire.proto.Submit;
import org.shallothold.wire.proto.TicketInquiry;
import org.shallothold.wire.proto.TicketRequest;
import org.shallothold.wire.proto.TicketSeal;

/** Chooses servers for requests and submits attempts. Confined to the router thread. */
final class Dispatcher {

  /**
   * Sidecars report once a second. One that missed two reports may be paused, so other sidecars are
   * preferred until its connection is closed for silence.
   */
  private static final long SUSPECT_SILENCE_MILLIS = 2_500;

  /** Leaves room for the other fields of a submission below the 8 MiB frame limit. */
  private static final long MAX_SUBMIT_BYTES = 7 * 1024 * 1024;

  private static final int MAX_BYTES_PER_CHARACTER = 3;
  private static final int TOKEN_OVERHEAD_BYTES = 5;

  /**
   * Counted as the expected tokens of a call that generates none, so that servers can be compared
   * by outstanding work.
   */
  private static final long NON_GENERATING_CALL_TOKENS = 1;

  private final ServerTable servers;
  private final ServerSelector selector;
  private final PrefixAffinity prefixes;
  private final RetryBudget budget;
  private final RandomGenerator random;
  private final AttemptIdentity identity;
  private final Finisher finisher;
  private final RequestMetrics metrics;
  private final RequestJournal journal;
  private final LongSupplier clock;

  Dispatcher(
      ServerTable servers,
      ServerSelector selector,
      PrefixAffinity prefixes,
      RetryBudget budget,
      RandomGenerator random,
      AttemptIdentity identity,
      Finisher finisher,
      RequestMetrics metrics,
      RequestJournal journal,
      LongSupplier clock) {
    this.servers = servers;
    this.selector = selector;
    this.prefixes = prefixes;
    this.budget = budget;
    this.random = random;
    this.identity = identity;
    this.finisher = finisher;
    this.metrics = metrics;
    this.journal = journal;
    this.clock = clock;
  }

  /**
   * Submits a request to a server that it has not excluded yet. Fails the request if no server is
   * left.
   */
  void route(ActiveRequest request, String attemptReason) {
    Optional<ServerState> chosen = choose(request);
    while (chosen.isPresent()) {
      if (submit(request, chosen.get(), attemptReason)) {
        return;
      }
      chosen = choose(request);
    }
    ReasonCode reason = request.lastReason();
    finisher.fail(
        request,
        reason,
        reason == ReasonCode.NO_SERVER
            ? "no connected backend server accepts this request now"
            : "no backend server could serve this request: " + reason.code());
  }

  /**
   * Submits a repeatable request to another server after its attempt was lost or broke off, and
   * charges the retry budget. Fails the request if it refers to an order ticket, no longer fits
   * into one frame, or has no server or budget left.
   */
  void resubmit(ActiveRequest request, ReasonCode reason) {
    request.lastReason(reason);
    detachAndExclude(request);
    if (isRepeatable(request)
        && fitsOneFrame(request)
        && choose(request).isPresent()
        && budget.tryWithdraw(clock.getAsLong())) {
      route(request, reason.code());
    } else {
      finisher.fail(request, reason, "the attempt at a backend server was lost: " + reason.code());
    }
  }

  /**
   * Moves a stalled repeatable request to another server and charges the retry budget. Does nothing
   * unless another candidate reports an empty queue and the budget allows a retry.
   */
  void moveStalled(ActiveRequest request) {
    boolean hasServerWithoutQueue =
        candidates(request).stream()
            .anyMatch(state -> state != request.server() && state.waiting() == 0);
    if (isRepeatable(request)
        && hasServerWithoutQueue
        && fitsOneFrame(request)
        && budget.tryWithdraw(clock.getAsLong())) {
      finisher.cancel(request);
      request.lastReason(ReasonCode.BACKEND_FAILED);
      detachAndExclude(request);
      route(request, "stalled");
    }
  }

  /**
   * Detaches the request from its current server and excludes that server from further attempts.
   */
  void detachAndExclude(ActiveRequest request) {
    ServerState server = request.server();
    request.detach();
    if (server != null) {
      if (request.hasTokensFromAttempt()) {
        // The answer made progress since, so servers excluded earlier become eligible again.
        request.excluded().clear();
      }
      request.excluded().add(server.id());
      servers.closeIfUnused(server);
    }
  }

  /**
   * Returns whether the request and its tokens so far fit into one frame; a longer frame would be
   * cut off.
   */
  private static boolean fitsOneFrame(ActiveRequest request) {
    if (!(request.call() instanceof Call.Completion completion)) {
      return true;
    }
    long bytes = completion.body().size();
    for (String token : request.assembler().tokens()) {
      bytes += (long) token.length() * MAX_BYTES_PER_CHARACTER + TOKEN_OVERHEAD_BYTES;
    }
    return bytes <= MAX_SUBMIT_BYTES;
  }

  static boolean isRepeatable(ActiveRequest request) {
    return !request.call().namesTicket();
  }

  private Optional<ServerState> choose(ActiveRequest request) {
    long now = clock.getAsLong();
    List<ServerState> candidates = candidates(request);
    List<ServerState> responsive =
        candidates.stream()
            .filter(state -> state.silenceMillis(now) < SUSPECT_SILENCE_MILLIS)
            .toList();
    List<ServerView> views =
        (responsive.isEmpty() ? candidates : responsive)
            .stream().map(state -> state.view(isPrefixCached(request, state), now)).toList();
    return selector
        .select(views, random)
        .flatMap(view -> Optional.ofNullable(servers.current(view.serverId())));
  }

  private List<ServerState> candidates(ActiveRequest request) {
    String serviceClass = request.request().serviceClass().name();
    return switch (request.call()) {
      case Call.Completion completion ->
          availableServers(request, serviceClass)
              .filter(state -> state.server().models().contains(completion.model()))
              .toList();
      case Call.Service service when service.namesTicket() ->
          serverOfTicket(request, service.ticket());
      case Call.Service service -> serversOffering(request, serviceClass, service.service());
      case Call.NewTicket newTicket -> serversOffering(request, serviceClass, newTicket.service());
      case Call.TicketLookup lookup -> serverOfTicket(request, lookup.ticket());
    };
  }

  private java.util.stream.Stream<ServerState> availableServers(
      ActiveRequest request, String serviceClass) {
    return servers.serversOfClass(serviceClass).stream()
        .filter(state -> state.acceptsWork() && !request.excluded().contains(state.id()));
  }

  private List<ServerState> serversOffering(
      ActiveRequest request, String serviceClass, String service) {
    return availableServers(request, serviceClass)
        .filter(
            state ->
                state.server().kind() == BackendServer.Kind.SERVICE
                    && state.server().service().equals(service))
        .toList();
  }

  /**
   * Returns the connected server that issued the ticket, even if it is leaving, because no other
   * server can handle the ticket.
   */
  private List<ServerState> serverOfTicket(ActiveRequest request, String ticket) {
    return OrderTicket.parse(ticket)
        .flatMap(parsed -> Optional.ofNullable(servers.current(parsed.serverId())))
        .filter(state -> state.isConnected() && !request.excluded().contains(state.id()))
        .map(List::of)
        .orElse(List.of());
  }

  private boolean isPrefixCached(ActiveRequest request, ServerState state) {
    return request.call() instanceof Call.Completion completion
        && prefixes.isLastServer(completion.prefixHash(), state.id());
  }

  private boolean submit(ActiveRequest request, ServerState server, String attemptReason) {
    PeerConnection connection = server.connection();
    if (connection == null) {
      request.excluded().add(server.id());
      return false;
    }
    long now = clock.getAsLong();
    int attempt = request.beginAttempt(server, connection, expectedTokens(request), now);
    metrics.attempted(request.request().serviceClass().name(), attemptReason);
    journal.addEvent(request.number(), now, "submitted", server.id(), attemptReason);
    if (connection.send(envelope(request, attempt, now))) {
      if (request.call() instanceof Call.Completion completion) {
        prefixes.recordServer(completion.prefixHash(), server.id());
      }
      return true;
    }
    request.tracker().neverSent(attempt);
    request.lastReason(ReasonCode.CONNECTION_LOST);
    detachAndExclude(request);
    return false;
  }

  private static long expectedTokens(ActiveRequest request) {
    return request.call() instanceof Call.Completion completion
        ? completion.expectedTokens()
        : NON_GENERATING_CALL_TOKENS;
  }

  private Envelope envelope(ActiveRequest request, int attempt, long now) {
    Envelope.Builder envelope = Envelope.newBuilder();
    long callNumber = AttemptIdentity.callNumber(request, attempt);
    return switch (request.call()) {
      case Call.Completion completion ->
          envelope
              .setSubmit(
                  submission(request, attempt, now)
                      .setCompletion(
                          Completion.newBuilder()
                              .setModel(completion.model())
                              .setBody(completion.body())
                              .addAllResumeTokens(request.assembler().tokens())))
              .build();
      case Call.Service service when service.needsNewTicket() ->
          envelope.setTicketRequest(ticketRequest(callNumber, service.service())).build();
      case Call.Service service ->
          envelope
              .setSubmit(submission(request, attempt, now).setServiceCall(serviceCall(service)))
              .build();
      case Call.NewTicket newTicket ->
          envelope.setTicketRequest(ticketRequest(callNumber, newTicket.service())).build();
      case Call.TicketLookup(String ticket, boolean seal) ->
          seal
              ? envelope
                  .setTicketSeal(
                      TicketSeal.newBuilder().setCallNumber(callNumber).setTicket(ticket))
                  .build()
              : envelope
                  .setTicketInquiry(
                      TicketInquiry.newBuilder().setCallNumber(callNumber).setTicket(ticket))
                  .build();
    };
  }

  private Submit.Builder submission(ActiveRequest request, int attempt, long now) {
    return Submit.newBuilder()
        .setAttempt(identity.of(request, attempt))
        .setRequestId(request.request().requestId())
        .setVersion(WireVersions.toWire(servers.configuration().version()))
        .setServiceClass(request.request().serviceClass().name())
        .setCustomer(request.request().customer())
        .setDeadlineMillis(Math.max(1, request.deadlineMillis() - now));
  }

  private static TicketRequest ticketRequest(long callNumber, String service) {
    return TicketRequest.newBuilder().setCallNumber(callNumber).setService(service).build();
  }

  private static ServiceCall serviceCall(Call.Service service) {
    return ServiceCall.newBuilder()
        .setService(service.service())
        .setMethod(service.method())
        .setPath(service.path())
        .addAllHeaders(service.headers())
        .setBody(service.body())
        .setOrderTicket(service.order() ? service.ticket() : "")
        .build();
  }

  /** Returns the balance of the retry budget, in retries. */
  double retriesLeft() {
    return budget.balance();
  }

  /** Credits the retry budget for an arrived request. */
  void requestArrived() {
    budget.requestArrived();
  }
}
