package org.shallothold.sidecar.work;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.order.OrderDecision;
import org.shallothold.core.order.OrderLedger;
import org.shallothold.core.order.TicketKey;
import org.shallothold.core.order.TicketStatus;
import org.shallothold.core.queue.BackendScheduler;
import org.shallothold.core.queue.ScheduledRequest;
import org.shallothold.core.queue.SchedulerOptions;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.operator.OperatorEndpoint;
import org.shallothold.sidecar.backend.Backend;
import org.shallothold.sidecar.work.Job.Waiter;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.Attempt;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Leaving;
import org.shallothold.wire.proto.ServiceCall;
import org.shallothold.wire.proto.Submit;
import org.shallothold.wire.proto.TicketRequest;

/**
 * The state of a sidecar: takes every event and owns the queue, the orders and the drain. Made once
 * per process; all calls come from one thread, and none blocks.
 */
public final class SidecarController {

  // Keeps a deadline from a message from overflowing the clock.
  private static final long MAX_DEADLINE_MILLIS = 24 * 60 * 60 * 1_000;

  /**
   * Bodies held at once, in bytes. The heap of the process is 48 MB, so a queue of the largest
   * bodies would not fit.
   */
  private static final long MAX_BODY_BYTES = 16 * 1024 * 1024;

  private final ProcessIdentity identity;
  private final Options options;
  private final LongSupplier clock;
  private final AuditSink audit;
  private final Runnable onLeaving;
  private final Runnable onDone;

  private final BackendScheduler scheduler;
  private final OrderLedger ledger;
  private final Jobs jobs = new Jobs();
  private final Gateways gateways = new Gateways();
  private final HeldSubmissions held;
  private final DecisionLog decisions = new DecisionLog();
  private final TokenIntervals intervals = new TokenIntervals();
  private final Drain drain;
  private final SidecarMetrics metrics;
  private final WorkRunner runner;
  private final OrderDesk desk;
  private final Reports reports;

  private Configuration configuration = Configuration.EMPTY;
  private boolean fenced;
  private int engineRunning = -1;
  private long nextJobId = 1;

  /**
   * Settings of the state machine.
   *
   * @param scheduler settings of the queue
   * @param silenceMillis a backend server silent for so long in mid-answer is taken as lost
   * @param versionWaitMillis time allowed for a configuration version named in a submission
   * @param drainLimitMillis running work still running so long after leaving began is cut
   */
  public record Options(
      SchedulerOptions scheduler,
      long silenceMillis,
      long versionWaitMillis,
      long drainLimitMillis) {}

  /**
   * What the state machine needs from the process.
   *
   * @param events posts an event to the state machine's thread; called on other threads
   * @param clock milliseconds on a clock that never goes back
   * @param audit takes audit events
   * @param onLeaving called once when the server begins to leave
   * @param onDone called once the process may end
   */
  public record Surroundings(
      Consumer<SidecarEvent> events,
      LongSupplier clock,
      AuditSink audit,
      Runnable onLeaving,
      Runnable onDone) {}

  private SidecarController(
      ProcessIdentity identity,
      Options options,
      Backend backend,
      TicketKey ticketKey,
      Metrics metrics,
      Surroundings surroundings) {
    this.identity = identity;
    this.options = options;
    this.clock = surroundings.clock();
    this.audit = surroundings.audit();
    this.onLeaving = surroundings.onLeaving();
    this.onDone = surroundings.onDone();
    this.scheduler = BackendScheduler.create(options.scheduler());
    this.ledger = OrderLedger.create(ticketKey);
    this.held = new HeldSubmissions(options.versionWaitMillis());
    this.drain = new Drain(options.drainLimitMillis());
    this.metrics = new SidecarMetrics(metrics);
    this.runner =
        new WorkRunner(
            backend,
            scheduler,
            ledger,
            jobs,
            this.metrics,
            decisions,
            intervals,
            surroundings.events(),
            clock);
    this.desk = new OrderDesk(ledger, this.metrics);
    this.reports = new Reports(identity, scheduler, jobs, decisions, drain);
  }

  /** Returns the state machine of a sidecar that holds no configuration yet. */
  public static SidecarController create(
      ProcessIdentity identity,
      Options options,
      Backend backend,
      TicketKey ticketKey,
      Metrics metrics,
      Surroundings surroundings) {
    return new SidecarController(identity, options, backend, ticketKey, metrics, surroundings);
  }

  /** Takes the next event. */
  public void handle(SidecarEvent event) {
    switch (event) {
      case SidecarEvent.Connected(PeerConnection connection) -> gateways.add(connection);
      case SidecarEvent.Received(PeerConnection connection, Envelope envelope) ->
          received(connection, envelope);
      case SidecarEvent.Disconnected(PeerConnection connection) -> disconnected(connection);
      case SidecarEvent.ConfigurationChanged(Configuration newer) -> configure(newer);
      case SidecarEvent.LeavingLearnt(LeavingSource source) -> leave(source);
      case SidecarEvent.Fenced(long otherNumber) -> fence(otherNumber);
      case SidecarEvent.EngineLoad(int running) -> engineRunning = running;
      case SidecarEvent.Tick tick -> tick();
      case SidecarEvent.LoadReportDue due ->
          gateways.send(reports.load(intervals.takeMedianMicros(), engineRunning));
      case SidecarEvent.BackendEvent backendEvent -> runner.handle(backendEvent);
    }
  }

  /** Returns the work at the moment. */
  public OperatorEndpoint.Load load() {
    return new OperatorEndpoint.Load(
        scheduler.runningCount(), Arrays.stream(scheduler.waitingByTier()).sum());
  }

  /** Returns further facts for operators. */
  public ObjectNode details() {
    return reports.details(fenced, gateways.count());
  }

  /** Returns what happened to a request; empty if nothing is known. */
  public Optional<ObjectNode> explain(String requestId) {
    return reports.explain(requestId);
  }

  private void received(PeerConnection connection, Envelope envelope) {
    switch (envelope.getMessageCase()) {
      case SUBMIT -> submit(connection, envelope.getSubmit());
      case CANCEL -> cancel(connection, envelope.getCancel().getAttempt());
      case TICKET_REQUEST -> {
        TicketRequest request = envelope.getTicketRequest();
        desk.grant(connection, request, ticketRefusal(request.getService()));
      }
      case TICKET_INQUIRY ->
          desk.inquire(
              connection,
              envelope.getTicketInquiry().getCallNumber(),
              envelope.getTicketInquiry().getTicket());
      case TICKET_SEAL ->
          desk.seal(
                  connection,
                  envelope.getTicketSeal().getCallNumber(),
                  envelope.getTicketSeal().getTicket())
              .flatMap(jobs::findOrder)
              .ifPresent(runner::refuseSealed);
      case LEAVING_NOTICE -> {
        if (envelope.getLeavingNotice().getServerId().equals(identity.serverId())) {
          leave(LeavingSource.PEER);
        }
      }
      default -> {}
    }
  }

  private void submit(PeerConnection connection, Submit submit) {
    if (!jobs.isNew(submit.getAttempt())) {
      return;
    }
    if (submit.getVersion().getNumber() <= configuration.version().number()) {
      decide(connection, submit);
    } else if (!held.add(connection, submit, now())) {
      refuse(connection, submit, ReasonCode.CONFIGURATION_BEHIND);
    }
  }

  /** Decides about a submission made under a version that this sidecar holds. */
  private void decide(PeerConnection connection, Submit submit) {
    String ticket = submit.getServiceCall().getOrderTicket();
    // A ticket that was used already is answered whatever the configuration says now, since its
    // order may have run.
    boolean fresh = ticket.isEmpty() || ledger.status(ticket) == TicketStatus.UNUSED;
    Optional<ReasonCode> refusal =
        fresh
            ? unavailable()
                .or(() -> outOfMemory(submit))
                .or(() -> Admission.refusal(configuration, identity.serverId(), submit))
            : Optional.empty();
    if (refusal.isPresent()) {
      refuse(connection, submit, refusal.get());
    } else if (ticket.isEmpty()) {
      admit(connection, submit, 0);
    } else {
      order(connection, submit);
    }
  }

  private void order(PeerConnection connection, Submit submit) {
    ServiceCall call = submit.getServiceCall();
    Attempt attempt = submit.getAttempt();
    OrderDecision decision =
        ledger.decide(call.getOrderTicket(), call.getService(), OrderDesk.digest(call));
    switch (decision) {
      case OrderDecision.Enqueue(long serial) -> admit(connection, submit, serial);
      case OrderDecision.Join(long serial) ->
          jobs.findOrder(serial)
              .ifPresentOrElse(
                  job -> runner.join(job, new Waiter(connection, attempt)),
                  () -> send(connection, attempt, Verdict.mayHaveRun(ReasonCode.TICKET_EXPIRED)));
      case OrderDecision.Replay(byte[] answer) -> {
        metrics.orders.labelValues("replayed").inc();
        connection.send(Envelopes.serviceAnswer(attempt, OrderDesk.answer(answer)));
      }
      case OrderDecision.Refuse(Verdict verdict) -> {
        metrics.orders.labelValues("refused").inc();
        send(connection, attempt, verdict);
      }
    }
  }

  private void admit(PeerConnection connection, Submit submit, long orderSerial) {
    int tier = configuration.serviceClass(submit.getServiceClass()).orElseThrow().tier();
    ScheduledRequest work =
        new ScheduledRequest(
            nextJobId++,
            submit.getServiceClass(),
            tier,
            submit.getCustomer(),
            now() + Math.min(submit.getDeadlineMillis(), MAX_DEADLINE_MILLIS),
            orderSerial == 0);
    runner.submit(
        new Job(work, submit, orderSerial, now()), new Waiter(connection, submit.getAttempt()));
  }

  /** Refuses a submission before its admission. */
  private void refuse(PeerConnection connection, Submit submit, ReasonCode reason) {
    String ticket = submit.getServiceCall().getOrderTicket();
    String known =
        configuration.classes().containsKey(submit.getServiceClass())
            ? submit.getServiceClass()
            : "unknown";
    metrics.refused.labelValues(known, reason.code()).inc();
    decisions.add(submit.getRequestId(), "refused", reason.code());
    send(
        connection,
        submit.getAttempt(),
        ticket.isEmpty() ? Verdict.notRun(reason) : ledger.refuseArrival(ticket, reason));
  }

  private void send(PeerConnection connection, Attempt attempt, Verdict verdict) {
    connection.send(Envelopes.refused(attempt, verdict, scheduler.lowestWaitingTier()));
  }

  private Optional<ReasonCode> outOfMemory(Submit submit) {
    return jobs.bodyBytes() + Job.bodyBytes(submit) > MAX_BODY_BYTES
        ? Optional.of(ReasonCode.QUEUE_FULL)
        : Optional.empty();
  }

  private Optional<ReasonCode> unavailable() {
    if (drain.isLeaving()) {
      return Optional.of(ReasonCode.SERVER_LEAVING);
    }
    return fenced ? Optional.of(ReasonCode.FENCED) : Optional.empty();
  }

  private Optional<ReasonCode> ticketRefusal(String service) {
    return unavailable()
        .or(
            () ->
                configuration
                        .server(identity.serverId())
                        .filter(server -> server.kind() == BackendServer.Kind.SERVICE)
                        .filter(server -> server.service().equals(service))
                        .isPresent()
                    ? Optional.empty()
                    : Optional.of(ReasonCode.UNKNOWN_SERVICE));
  }

  private void cancel(PeerConnection connection, Attempt attempt) {
    held.take(attempt).ifPresent(item -> refuse(connection, item.submit(), ReasonCode.CANCELLED));
    jobs.find(attempt)
        .ifPresent(
            job ->
                job.waiters.stream()
                    .filter(waiter -> waiter.attempt().equals(attempt))
                    .findFirst()
                    .ifPresent(waiter -> runner.cancel(job, waiter, true)));
    // A Submit of this attempt that is still on the way on an older connection is not to start.
    jobs.isNew(attempt);
  }

  private void disconnected(PeerConnection connection) {
    gateways.remove(connection);
    held.takeOf(connection)
        .forEach(item -> refuse(connection, item.submit(), ReasonCode.CONNECTION_LOST));
    runner.disconnected(connection);
  }

  private void configure(Configuration newer) {
    if (newer.version().number() <= configuration.version().number()) {
      return;
    }
    configuration = newer;
    newer
        .server(identity.serverId())
        .ifPresent(
            server -> {
              runner.apply(scheduler.setLimits(server.maxRunning(), server.maxWaiting(), now()));
              if (server.draining()) {
                leave(LeavingSource.CONFIGURATION);
              }
            });
    held.takeUpTo(newer.version().number())
        .forEach(item -> decide(item.connection(), item.submit()));
  }

  private void leave(LeavingSource source) {
    if (!drain.start(source, now())) {
      return;
    }
    metrics.leaving.set(1);
    audit.record("server_leaving", Map.of("source", source.code(), "server", identity.serverId()));
    onLeaving.run();
    gateways.send(
        Envelope.newBuilder()
            .setLeaving(
                Leaving.newBuilder().setServerId(identity.serverId()).setSource(source.code()))
            .build());
    runner.apply(scheduler.refuseWaiting(ReasonCode.SERVER_LEAVING, now()));
  }

  private void fence(long otherNumber) {
    if (fenced) {
      return;
    }
    fenced = true;
    metrics.fenced.set(1);
    audit.record(
        "fenced",
        Map.of(
            "server", identity.serverId(), "highest_fencing_number", Long.toString(otherNumber)));
    runner.apply(scheduler.refuseWaiting(ReasonCode.FENCED, now()));
  }

  private void tick() {
    held.takeExpired(now())
        .forEach(item -> refuse(item.connection(), item.submit(), ReasonCode.CONFIGURATION_BEHIND));
    jobs.all().stream()
        .filter(Job::isRunning)
        .filter(job -> now() - job.lastActivityMillis >= options.silenceMillis())
        .toList()
        .forEach(
            job -> runner.breakOff(job, ReasonCode.BACKEND_FAILED, "the backend server is silent"));
    gateways.closeStalled(now());
    runner.apply(scheduler.tick(now()));
    metrics.observe(scheduler, gateways.count());
    if (drain.isOverLimit(now())) {
      List.copyOf(jobs.all())
          .forEach(
              job -> runner.breakOff(job, ReasonCode.SERVER_LEAVING, "the drain limit passed"));
    }
    if (drain.isDone(scheduler.runningCount(), now())) {
      onDone.run();
    }
  }

  private long now() {
    return clock.getAsLong();
  }
}
