package org.shallothold.sidecar.work;

import com.google.protobuf.ByteString;
import java.util.ArrayDeque;
import java.util.Comparator;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.LongSupplier;
import org.shallothold.core.order.OrderLedger;
import org.shallothold.core.queue.BackendScheduler;
import org.shallothold.core.queue.SchedulerAction;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;
import org.shallothold.sidecar.backend.Backend;
import org.shallothold.sidecar.backend.BackendFailure;
import org.shallothold.sidecar.backend.BackendListener;
import org.shallothold.sidecar.work.Job.Waiter;
import org.shallothold.sidecar.work.SidecarEvent.RunId;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.FinishKind;
import org.shallothold.wire.proto.Header;
import org.shallothold.wire.proto.ServiceAnswer;

/**
 * Carries out what the scheduler decides, and reports to it and to the gateways what the backend
 * server does. Owned by the sidecar's thread.
 */
final class WorkRunner {

  // A caller repeats an order a few times at most.
  private static final int MAX_WAITERS = 16;

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Backend backend;
  private final BackendScheduler scheduler;
  private final OrderLedger ledger;
  private final Jobs jobs;
  private final SidecarMetrics metrics;
  private final DecisionLog decisions;
  private final TokenIntervals intervals;
  private final Consumer<SidecarEvent> events;
  private final LongSupplier clock;
  private final Deque<SchedulerAction> pending = new ArrayDeque<>();

  WorkRunner(
      Backend backend,
      BackendScheduler scheduler,
      OrderLedger ledger,
      Jobs jobs,
      SidecarMetrics metrics,
      DecisionLog decisions,
      TokenIntervals intervals,
      Consumer<SidecarEvent> events,
      LongSupplier clock) {
    this.backend = backend;
    this.scheduler = scheduler;
    this.ledger = ledger;
    this.jobs = jobs;
    this.metrics = metrics;
    this.decisions = decisions;
    this.intervals = intervals;
    this.events = events;
    this.clock = clock;
  }

  /** Admits a job to the queue. */
  void submit(Job job, Waiter waiter) {
    jobs.add(job, waiter);
    waiter.connection().send(Envelopes.accepted(waiter.attempt()));
    note(job, "admitted", "");
    apply(scheduler.submit(job.work, now()));
  }

  /** Lets a later arrival of an order share the first one's answer. */
  void join(Job job, Waiter waiter) {
    if (job.waiters.size() >= MAX_WAITERS) {
      Verdict verdict = Verdict.mayHaveRun(ReasonCode.QUEUE_FULL);
      waiter
          .connection()
          .send(Envelopes.refused(waiter.attempt(), verdict, scheduler.lowestWaitingTier()));
      return;
    }
    jobs.join(job, waiter);
    waiter.connection().send(Envelopes.accepted(waiter.attempt()));
    if (job.isRunning()) {
      waiter.connection().send(Envelopes.started(waiter.attempt()));
    }
  }

  /** Refuses a waiting order whose ticket was sealed. */
  void refuseSealed(Job job) {
    note(job, "refused", ReasonCode.TICKET_SEALED.code());
    job.send(
        attempt ->
            Envelopes.refused(
                attempt, Verdict.notRun(ReasonCode.TICKET_SEALED), scheduler.lowestWaitingTier()));
    jobs.remove(job);
    apply(scheduler.cancel(job.work.id(), now()));
  }

  /** Carries out actions in order, with those that follow from them. */
  void apply(List<SchedulerAction> actions) {
    pending.addAll(actions);
    for (SchedulerAction next = pending.poll(); next != null; next = pending.poll()) {
      SchedulerAction action = next;
      jobs.find(action.request().id()).ifPresent(job -> apply(job, action));
    }
  }

  /** Takes an event of a run; one of a run that was given up is ignored. */
  void handle(SidecarEvent.BackendEvent event) {
    jobs.find(event.run().jobId())
        .filter(job -> job.isRunning() && job.runNumber == event.run().number())
        .ifPresent(job -> handle(job, event));
  }

  /** Gives up a waiter's interest in a job, and the job if nobody else is interested. */
  void cancel(Job job, Waiter waiter, boolean tell) {
    jobs.leave(job, waiter);
    if (job.isOrder() && (job.isRunning() || !job.waiters.isEmpty())) {
      if (tell) {
        waiter
            .connection()
            .send(
                job.isRunning()
                    ? Envelopes.ended(
                        waiter.attempt(), FinishKind.FINISH_KIND_CANCELLED, 0, ReasonCode.CANCELLED)
                    : Envelopes.refused(
                        waiter.attempt(),
                        Verdict.mayHaveRun(ReasonCode.CANCELLED),
                        scheduler.lowestWaitingTier()));
      }
      return;
    }
    if (job.isOrder()) {
      ledger.seal(job.orderSerial);
    }
    if (tell) {
      waiter
          .connection()
          .send(
              job.startedBefore
                  ? Envelopes.ended(
                      waiter.attempt(),
                      FinishKind.FINISH_KIND_CANCELLED,
                      job.tokens.size(),
                      ReasonCode.CANCELLED)
                  : Envelopes.refused(
                      waiter.attempt(),
                      Verdict.notRun(ReasonCode.CANCELLED),
                      scheduler.lowestWaitingTier()));
    }
    drop(job);
  }

  /** Stops a job at the backend server or in the queue, and forgets it. */
  private void drop(Job job) {
    stopRun(job);
    metrics.tokensWasted.labelValues("cancelled").inc(job.generatedTokens());
    if (job.startedBefore) {
      metrics.ended.labelValues(job.work.serviceClass(), "cancelled").inc();
    }
    note(job, "cancelled", "");
    jobs.remove(job);
    apply(scheduler.cancel(job.work.id(), now()));
  }

  /** Ends a running job as broken: the backend server is lost, or the sidecar must end. */
  void breakOff(Job job, ReasonCode reason, String detail) {
    stopRun(job);
    note(job, "broken", detail);
    metrics.ended.labelValues(job.work.serviceClass(), "broken").inc();
    if (job.isOrder()) {
      ledger.recordAnswerLost(job.orderSerial);
      metrics.orders.labelValues("lost").inc();
      job.send(
          attempt ->
              Envelopes.refused(
                  attempt, Verdict.mayHaveRun(reason), scheduler.lowestWaitingTier()));
    } else {
      job.send(
          attempt ->
              Envelopes.ended(attempt, FinishKind.FINISH_KIND_BROKEN, job.tokens.size(), reason));
    }
    jobs.remove(job);
    apply(scheduler.cancel(job.work.id(), now()));
  }

  private void apply(Job job, SchedulerAction action) {
    switch (action) {
      case SchedulerAction.Start start -> start(job);
      case SchedulerAction.Preempt preempt -> {
        stopRun(job);
        metrics.preemptions.labelValues(job.work.serviceClass()).inc();
        note(job, "preempted", job.tokens.size() + " tokens kept");
      }
      case SchedulerAction.Refuse refuse -> refuse(job, refuse);
    }
  }

  private void start(Job job) {
    if (job.isOrder() && !ledger.handOver(job.orderSerial)) {
      refuseSealed(job);
      return;
    }
    if (!job.startedBefore) {
      job.startedBefore = true;
      job.send(Envelopes::started);
      metrics
          .waitSeconds
          .labelValues(job.work.serviceClass())
          .observe((now() - job.admittedMillis) / MILLIS_PER_SECOND);
    }
    job.runNumber++;
    job.lastActivityMillis = now();
    job.lastTokenNanos = 0;
    note(job, "started", job.tokens.isEmpty() ? "" : "after " + job.tokens.size() + " tokens");
    BackendListener listener = new RunEvents(new RunId(job.work.id(), job.runNumber), events);
    job.run =
        job.submit.hasCompletion()
            ? backend.complete(
                job.submit.getCompletion().getBody().toByteArray(),
                job.work.tier(),
                List.copyOf(job.tokens),
                listener)
            : backend.call(job.submit.getServiceCall(), listener);
  }

  private void refuse(Job job, SchedulerAction.Refuse refuse) {
    metrics.refused.labelValues(job.work.serviceClass(), refuse.reason().code()).inc();
    note(job, "refused", refuse.reason().code());
    if (job.isOrder()) {
      ledger.seal(job.orderSerial);
      metrics.orders.labelValues("refused").inc();
    }
    if (refuse.ranBefore()) {
      job.send(
          attempt ->
              Envelopes.ended(
                  attempt, FinishKind.FINISH_KIND_BROKEN, job.tokens.size(), refuse.reason()));
    } else {
      Verdict verdict = Verdict.notRun(refuse.reason(), refuse.retryAfterMillis());
      int lowest = scheduler.lowestWaitingTier();
      job.send(attempt -> Envelopes.refused(attempt, verdict, lowest));
    }
    jobs.remove(job);
  }

  private void handle(Job job, SidecarEvent.BackendEvent event) {
    job.lastActivityMillis = now();
    switch (event) {
      case SidecarEvent.TokensArrived(RunId run, List<String> tokens) -> tokens(job, tokens);
      case SidecarEvent.AnswerFinished(RunId run, String finishReason) -> {
        int count = job.tokens.size();
        job.send(attempt -> Envelopes.complete(attempt, count, finishReason));
        finish(job, "complete");
      }
      case SidecarEvent.ServiceAnswered(
              RunId run,
              int status,
              List<Header> headers,
              ByteString body) -> {
        ServiceAnswer answer =
            ServiceAnswer.newBuilder()
                .setStatus(status)
                .addAllHeaders(headers)
                .setBody(body)
                .build();
        if (job.isOrder()) {
          ledger.recordAnswer(job.orderSerial, answer.toByteArray());
          metrics.orders.labelValues("answered").inc();
        }
        job.send(attempt -> Envelopes.serviceAnswer(attempt, answer));
        finish(job, "answered");
      }
      case SidecarEvent.RunFailed(RunId run, BackendFailure failure) ->
          breakOff(job, failure.reason(), failure.detail());
    }
  }

  private void tokens(Job job, List<String> tokens) {
    int offset = job.tokens.size();
    job.tokens.addAll(tokens);
    job.send(attempt -> Envelopes.tokens(attempt, offset, tokens));
    scheduler.updateProgress(job.work.id(), job.tokens.size());
    metrics.tokensForwarded.labelValues(job.work.serviceClass()).inc(tokens.size());
    long nanos = System.nanoTime();
    if (job.lastTokenNanos != 0) {
      intervals.add(nanos - job.lastTokenNanos, tokens.size());
    }
    job.lastTokenNanos = nanos;
  }

  private void finish(Job job, String outcome) {
    job.run = null;
    metrics.ended.labelValues(job.work.serviceClass(), outcome).inc();
    note(job, outcome, job.tokens.size() + " tokens");
    jobs.remove(job);
    apply(scheduler.finish(job.work.id(), now()));
  }

  private static void stopRun(Job job) {
    Optional.ofNullable(job.run).ifPresent(run -> run.cancel());
    job.run = null;
  }

  private void note(Job job, String event, String detail) {
    decisions.add(job.submit.getRequestId(), event, detail);
  }

  private long now() {
    return clock.getAsLong();
  }

  /** Posts what happens to one run. */
  private record RunEvents(RunId run, Consumer<SidecarEvent> events) implements BackendListener {

    @Override
    public void tokens(List<String> tokens) {
      events.accept(new SidecarEvent.TokensArrived(run, tokens));
    }

    @Override
    public void finished(String finishReason) {
      events.accept(new SidecarEvent.AnswerFinished(run, finishReason));
    }

    @Override
    public void answered(int status, List<Header> headers, ByteString body) {
      events.accept(new SidecarEvent.ServiceAnswered(run, status, headers, body));
    }

    @Override
    public void failed(BackendFailure failure) {
      events.accept(new SidecarEvent.RunFailed(run, failure));
    }
  }

  /**
   * Cancels the waiters of a connection that closed. Jobs that wait are cancelled first: each
   * cancelled run frees a slot, in which one of them would start although nobody waits for it.
   */
  void disconnected(PeerConnection connection) {
    jobs.of(connection).stream()
        .sorted(Comparator.comparing(Job::isRunning))
        .forEach(
            job ->
                job.waiters.stream()
                    .filter(waiter -> waiter.connection().equals(connection))
                    .toList()
                    .forEach(waiter -> cancel(job, waiter, false)));
  }
}
