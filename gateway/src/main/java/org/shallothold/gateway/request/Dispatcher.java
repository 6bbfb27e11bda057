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

/** Chooses servers for requests and submits attempts. Owned by the thread of the requests. */
final class Dispatcher {

  /**
   * A sidecar reports once a second; one that missed two reports may be paused, so others are
   * preferred until its connection closes for silence.
   */
  private static final long SUSPECT_SILENCE_MILLIS = 2_500;

  /** Leaves room for a submission's other fields below the connection's bound of 8 MiB. */
  private static final long MAX_SUBMIT_BYTES = 7 * 1024 * 1024;

  private static final int MOST_BYTES_PER_CHARACTER = 3;
  private static final int TOKEN_OVERHEAD_BYTES = 5;

  /** Expected tokens of a call that generates none, for comparing servers by outstanding work. */
  private static final long CALL_WEIGHT = 1;

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

  /** Submits a request to a server that has not refused it yet, or ends the request. */
  void route(ActiveRequest request, String why) {
    Optional<ServerState> chosen = choose(request);
    while (chosen.isPresent()) {
      if (submit(request, chosen.get(), why)) {
        return;
      }
      chosen = choose(request);
    }
    ReasonCode reason = request.lastReason();
    finisher.fail(
        request,
        reason,
        reason == ReasonCode.NO_SERVER
            ? "no backend server within reach takes this request now"
            : "no backend server could serve this request: " + reason.code());
  }

  /**
   * Submits a repeatable request elsewhere after its attempt was lost or broke off, on the retry
   * budget; an order, or a request without budget or server left, ends.
   */
  void resubmit(ActiveRequest request, ReasonCode reason) {
    request.lastReason(reason);
    leave(request);
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
   * Moves a repeatable request that makes no progress to a server that has no queue, on the retry
   * budget; does nothing if there is no such server or no budget.
   */
  void moveAway(ActiveRequest request) {
    boolean better =
        candidates(request).stream()
            .anyMatch(state -> state != request.server() && state.waiting() == 0);
    if (isRepeatable(request)
        && better
        && fitsOneFrame(request)
        && budget.tryWithdraw(clock.getAsLong())) {
      finisher.cancel(request);
      request.lastReason(ReasonCode.BACKEND_FAILED);
      leave(request);
      route(request, "stalled");
    }
  }

  /** Ends the current attempt on this side and rules its server out for the request. */
  void leave(ActiveRequest request) {
    ServerState server = request.server();
    request.detach();
    if (server != null) {
      if (request.hasTokensHere()) {
        // The answer went on since, so a server that failed earlier is worth another try.
        request.excluded().clear();
      }
      request.excluded().add(server.id());
      servers.closeIfDone(server);
    }
  }

  /**
   * Returns whether a request and its tokens so far can be sent; a longer frame would be cut off.
   */
  private static boolean fitsOneFrame(ActiveRequest request) {
    if (!(request.call() instanceof Call.Completion completion)) {
      return true;
    }
    long bytes = completion.body().size();
    for (String token : request.assembler().tokens()) {
      bytes += (long) token.length() * MOST_BYTES_PER_CHARACTER + TOKEN_OVERHEAD_BYTES;
    }
    return bytes <= MAX_SUBMIT_BYTES;
  }

  static boolean isRepeatable(ActiveRequest request) {
    return !request.call().namesTicket();
  }

  private Optional<ServerState> choose(ActiveRequest request) {
    long now = clock.getAsLong();
    List<ServerState> candidates = candidates(request);
    List<ServerState> heard =
        candidates.stream()
            .filter(state -> state.silenceMillis(now) < SUSPECT_SILENCE_MILLIS)
            .toList();
    List<ServerView> views =
        (heard.isEmpty() ? candidates : heard)
            .stream().map(state -> state.view(isPrefixCached(request, state), now)).toList();
    return selector
        .select(views, random)
        .flatMap(view -> Optional.ofNullable(servers.current(view.serverId())));
  }

  private List<ServerState> candidates(ActiveRequest request) {
    String serviceClass = request.request().serviceClass().name();
    return switch (request.call()) {
      case Call.Completion completion ->
          open(request, serviceClass)
              .filter(state -> state.server().models().contains(completion.model()))
              .toList();
      case Call.Service service when service.namesTicket() -> named(request, service.ticket());
      case Call.Service service -> offering(request, serviceClass, service.service());
      case Call.NewTicket wish -> offering(request, serviceClass, wish.service());
      case Call.TicketLookup lookup -> named(request, lookup.ticket());
    };
  }

  private java.util.stream.Stream<ServerState> open(ActiveRequest request, String serviceClass) {
    return servers.ofClass(serviceClass).stream()
        .filter(state -> state.takesWork() && !request.excluded().contains(state.id()));
  }

  private List<ServerState> offering(ActiveRequest request, String serviceClass, String service) {
    return open(request, serviceClass)
        .filter(
            state ->
                state.server().kind() == BackendServer.Kind.SERVICE
                    && state.server().service().equals(service))
        .toList();
  }

  /** The server that a ticket names, leaving or not: no other one may be asked. */
  private List<ServerState> named(ActiveRequest request, String ticket) {
    return OrderTicket.parse(ticket)
        .flatMap(named -> Optional.ofNullable(servers.current(named.serverId())))
        .filter(state -> state.isConnected() && !request.excluded().contains(state.id()))
        .map(List::of)
        .orElse(List.of());
  }

  private boolean isPrefixCached(ActiveRequest request, ServerState state) {
    return request.call() instanceof Call.Completion completion
        && prefixes.isLastServer(completion.prefixHash(), state.id());
  }

  private boolean submit(ActiveRequest request, ServerState server, String why) {
    PeerConnection connection = server.connection();
    if (connection == null) {
      request.excluded().add(server.id());
      return false;
    }
    long now = clock.getAsLong();
    int attempt = request.begin(server, connection, expectedTokens(request), now);
    metrics.attempted(request.request().serviceClass().name(), why);
    journal.note(request.number(), now, "submitted", server.id(), why);
    if (connection.send(envelope(request, attempt, now))) {
      if (request.call() instanceof Call.Completion completion) {
        prefixes.recordServer(completion.prefixHash(), server.id());
      }
      return true;
    }
    request.tracker().neverSent(attempt);
    request.lastReason(ReasonCode.CONNECTION_LOST);
    leave(request);
    return false;
  }

  private static long expectedTokens(ActiveRequest request) {
    return request.call() instanceof Call.Completion completion
        ? completion.expectedTokens()
        : CALL_WEIGHT;
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
      case Call.Service service when service.isTicketWish() ->
          envelope.setTicketRequest(ticketRequest(callNumber, service.service())).build();
      case Call.Service service ->
          envelope
              .setSubmit(submission(request, attempt, now).setServiceCall(serviceCall(service)))
              .build();
      case Call.NewTicket wish ->
          envelope.setTicketRequest(ticketRequest(callNumber, wish.service())).build();
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

  /** Returns the retries left in the budget. */
  double retriesLeft() {
    return budget.balance();
  }

  /** Notes an arrival for the budget. */
  void requestArrived() {
    budget.requestArrived();
  }
}
