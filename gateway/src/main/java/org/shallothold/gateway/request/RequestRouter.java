package org.shallothold.gateway.request;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.lang.System.Logger;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongSupplier;
import java.util.random.RandomGenerator;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.limit.Admission;
import org.shallothold.core.limit.AdmissionGate;
import org.shallothold.core.limit.CustomerLimiter;
import org.shallothold.core.membership.MembershipView;
import org.shallothold.core.retry.RetryBudget;
import org.shallothold.core.routing.PrefixAffinity;
import org.shallothold.core.routing.ServerSelector;
import org.shallothold.core.routing.SubsetSelector;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Hello;

/**
 * Processes the events of requests, sidecars, configuration and time one at a time. One instance
 * per gateway. All methods must be called on one thread, the router thread, which owns all state in
 * this package that is not documented as thread-safe.
 */
public final class RequestRouter {

  private static final Logger LOGGER = System.getLogger(RequestRouter.class.getName());

  /** With the default of 4,096 places, all bodies together take less than 64 MiB. */
  private static final int BODY_BYTES_PER_PLACE = 16 * 1024;

  private static final int MAX_PREFIXES = 16_384;

  private final LongSupplier clock;
  private final RequestMetrics metrics;
  private final CustomerLimiter limiter = CustomerLimiter.create();
  private final RequestJournal journal = new RequestJournal();
  private final InFlight inFlight = new InFlight();
  private final AdmissionGate gate;
  private final ServerTable servers;
  private final Finisher finisher;
  private final Dispatcher dispatcher;
  private final FrameHandler frames;
  private final Watchdog watchdog;

  private RequestRouter(
      ProcessIdentity identity,
      RouterOptions options,
      Links links,
      RequestMetrics metrics,
      LongSupplier clock,
      RandomGenerator random) {
    this.clock = clock;
    this.metrics = metrics;
    AttemptIdentity attempts = new AttemptIdentity(identity.incarnation());
    gate = AdmissionGate.ofCapacity(options.maxInFlight());
    servers = new ServerTable(links, SubsetSelector.of(identity.processId(), options.subsetSize()));
    finisher =
        new Finisher(
            inFlight,
            gate,
            servers,
            attempts,
            metrics,
            journal,
            options.verdictWaitMillis(),
            clock);
    dispatcher =
        new Dispatcher(
            servers,
            ServerSelector.of(options.policy()),
            PrefixAffinity.ofCapacity(MAX_PREFIXES),
            RetryBudget.of(
                options.budgetPercent(), options.budgetFloorPerSecond(), clock.getAsLong()),
            random,
            attempts,
            finisher,
            metrics,
            journal,
            clock);
    frames =
        new FrameHandler(inFlight, gate, dispatcher, finisher, attempts, metrics, journal, clock);
    watchdog = new Watchdog(inFlight, dispatcher, finisher, clock);
  }

  /**
   * Returns a router without configuration, which refuses requests for lack of servers.
   *
   * @param clock monotonic clock in milliseconds
   */
  public static RequestRouter create(
      ProcessIdentity identity,
      RouterOptions options,
      Links links,
      RequestMetrics metrics,
      LongSupplier clock,
      RandomGenerator random) {
    return new RequestRouter(identity, options, links, metrics, clock, random);
  }

  /** Processes one event. */
  public void accept(GatewayEvent event) {
    switch (event) {
      case GatewayEvent.Arrived(CallerRequest request, Responder responder) ->
          arrived(request, responder);
      case GatewayEvent.CallerDisconnected(long number) -> callerDisconnected(number);
      case GatewayEvent.PeerConnected(LinkKey link, PeerConnection connection, Hello hello) ->
          connected(link, connection, hello);
      case GatewayEvent.PeerMessage(LinkKey link, PeerConnection connection, Envelope envelope) ->
          peerMessage(link, connection, envelope);
      case GatewayEvent.PeerDisconnected(LinkKey link, PeerConnection connection) ->
          disconnected(link, connection);
      case GatewayEvent.ConfigurationChanged(Configuration configuration) ->
          configurationChanged(configuration);
      case GatewayEvent.MembersChanged(MembershipView members) -> membersChanged(members);
      case GatewayEvent.OperatorMessage message -> {}
      case GatewayEvent.Tick tick -> watchdog.tick();
    }
  }

  /** Returns the number of requests in flight. */
  public int inFlight() {
    return inFlight.size();
  }

  /** Returns the state of servers and requests for the operator command "status". */
  public ObjectNode status() {
    return StatusDocument.of(servers, inFlight, dispatcher.retriesLeft(), clock.getAsLong());
  }

  /**
   * Returns the history of a request for the operator command "explain"; empty if it is not kept.
   */
  public Optional<ObjectNode> explain(String requestId) {
    return journal.explain(requestId);
  }

  private void arrived(CallerRequest request, Responder responder) {
    long now = clock.getAsLong();
    // Ticket lookups are exempt from the customer's limit: they cost the sidecar nothing, and a
    // caller that is unsure about an order must be able to look it up.
    long waitMillis =
        request.call() instanceof Call.TicketLookup
            ? 0
            : limiter.tryAcquire(request.customer(), now);
    if (waitMillis > 0) {
      refuse(request, responder, ReasonCode.CUSTOMER_LIMIT, waitMillis);
      return;
    }
    String serviceClass = request.serviceClass().name();
    Admission admission =
        gate.admit(
            request.number(),
            serviceClass,
            request.serviceClass().tier(),
            1 + request.call().bodyBytes() / BODY_BYTES_PER_PLACE,
            !request.call().namesTicket());
    if (admission instanceof Admission.Refused) {
      refuse(request, responder, ReasonCode.QUEUE_FULL, 1_000);
      return;
    }
    ActiveRequest active = new ActiveRequest(request, responder, now);
    inFlight.add(active, Watchdog.firstCheckMillis(active));
    metrics.inFlight(inFlight.size());
    journal.arrived(request, now, System.currentTimeMillis());
    if (admission instanceof Admission.Displacing(List<Long> numbers)) {
      numbers.stream()
          .flatMap(number -> Optional.ofNullable(inFlight.get(number)).stream())
          .forEach(displaced -> finisher.abandon(displaced, ReasonCode.DISPLACED));
    }
    dispatcher.requestArrived();
    try {
      dispatcher.route(active, "first");
    } catch (RuntimeException e) {
      LOGGER.log(Logger.Level.ERROR, "routing request " + request.requestId() + " failed", e);
      finisher.fail(active, ReasonCode.INTERNAL, "internal error");
    }
  }

  private void refuse(
      CallerRequest request, Responder responder, ReasonCode reason, long retryAfterMillis) {
    // The ticket may be in use through another gateway, so "not run" can't be claimed here.
    Verdict verdict =
        request.call().namesTicket()
            ? Verdict.mayHaveRun(reason)
            : Verdict.notRun(reason, retryAfterMillis);
    String message =
        reason == ReasonCode.CUSTOMER_LIMIT
            ? "the customer exceeded its request rate limit"
            : "the gateway is at its limit of requests in flight";
    Failure failure = Failure.of(reason, verdict, message);
    metrics.refused(request.serviceClass().name(), failure);
    responder.failed(failure);
  }

  private void callerDisconnected(long number) {
    ActiveRequest request = inFlight.get(number);
    if (request != null) {
      finisher.callerDisconnected(request);
    }
  }

  private void connected(LinkKey link, PeerConnection connection, Hello hello) {
    ServerState state = servers.state(link);
    PeerConnection former = state == null ? null : state.connection();
    if (former != null && former != connection) {
      disconnected(link, former);
    }
    servers.connected(link, connection, hello, clock.getAsLong());
    countConnected();
  }

  private void countConnected() {
    metrics.connectedServers(servers.states().stream().filter(ServerState::isConnected).count());
  }

  private void peerMessage(LinkKey link, PeerConnection connection, Envelope envelope) {
    ServerState state = servers.state(link);
    if (state == null || state.connection() != connection) {
      return;
    }
    long now = clock.getAsLong();
    state.recordFrame(now);
    switch (envelope.getMessageCase()) {
      case LOAD_REPORT -> state.report(envelope.getLoadReport(), now);
      case LEAVING -> state.leaving(true);
      default -> frames.received(connection, envelope);
    }
  }

  private void disconnected(LinkKey link, PeerConnection connection) {
    ServerState state = servers.state(link);
    if (state == null || state.connection() != connection) {
      return;
    }
    state.disconnected();
    countConnected();
    for (ActiveRequest request : List.copyOf(state.requests().values())) {
      journal.addEvent(request.number(), clock.getAsLong(), "connection_lost", state.id(), "");
      if (request.abandonReason() != null) {
        finisher.finishAbandoned(request);
      } else {
        dispatcher.resubmit(request, ReasonCode.CONNECTION_LOST);
      }
    }
  }

  private void configurationChanged(Configuration configuration) {
    // The configuration read at startup may be queued behind a newer one.
    if (configuration.version().compareTo(servers.configuration().version()) < 0) {
      return;
    }
    Map<String, Double> limits = new HashMap<>();
    configuration
        .customers()
        .values()
        .forEach(customer -> limits.put(customer.name(), customer.requestsPerSecond()));
    limiter.setLimits(limits, clock.getAsLong());
    servers.configurationChanged(configuration);
  }

  private void membersChanged(MembershipView members) {
    limiter.setGatewayCount(members.liveGatewayCount(), clock.getAsLong());
    servers.membersChanged(members);
  }
}
