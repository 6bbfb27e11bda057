package org.shallothold.gateway.request;

import java.util.function.LongSupplier;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Abandons requests at their deadline and moves stalled requests to other servers. Confined to the
 * router thread.
 */
final class Watchdog {

  // Far above the latency targets, so that only a straggler or a frozen engine exceeds them.
  private static final int FIRST_TOKEN_STALL_FACTOR = 4;
  private static final long MIN_FIRST_TOKEN_STALL_MILLIS = 1_000;
  private static final int TOKEN_STALL_FACTOR = 20;
  private static final long MIN_TOKEN_STALL_MILLIS = 1_000;

  private final InFlight inFlight;
  private final Dispatcher dispatcher;
  private final Finisher finisher;
  private final LongSupplier clock;

  Watchdog(InFlight inFlight, Dispatcher dispatcher, Finisher finisher, LongSupplier clock) {
    this.inFlight = inFlight;
    this.dispatcher = dispatcher;
    this.finisher = finisher;
    this.clock = clock;
  }

  /** Returns the time of a new request's first check, in milliseconds. */
  static long firstCheckMillis(ActiveRequest request) {
    return nextCheckMillis(request);
  }

  /** Checks all requests that are due. */
  void tick() {
    long now = clock.getAsLong();
    for (var due = inFlight.pollDue(now); due.isPresent(); due = inFlight.pollDue(now)) {
      check(due.get(), now);
    }
  }

  private void check(ActiveRequest request, long now) {
    if (request.abandonReason() != null) {
      if (now >= request.verdictDeadlineMillis()) {
        finisher.finishAbandoned(request);
      } else {
        inFlight.schedule(request, request.verdictDeadlineMillis());
      }
      return;
    }
    if (now >= request.deadlineMillis()) {
      finisher.abandon(request, ReasonCode.DEADLINE);
      return;
    }
    if (now >= nextCheckMillis(request)) {
      dispatcher.moveStalled(request);
    }
    // A request that could not be moved is checked again after another stall timeout.
    long next = nextCheckMillis(request);
    inFlight.schedule(
        request,
        next > now ? next : Math.min(request.deadlineMillis(), now + stallTimeoutMillis(request)));
  }

  private static long nextCheckMillis(ActiveRequest request) {
    return request.call() instanceof Call.Completion || request.call().needsNewTicket()
        ? Math.min(request.deadlineMillis(), request.progressMillis() + stallTimeoutMillis(request))
        : request.deadlineMillis();
  }

  private static long stallTimeoutMillis(ActiveRequest request) {
    ServiceClass serviceClass = request.request().serviceClass();
    return request.hasTokensFromAttempt()
        ? Math.max(
            MIN_TOKEN_STALL_MILLIS, TOKEN_STALL_FACTOR * serviceClass.tokenIntervalTargetMillis())
        : Math.max(
            MIN_FIRST_TOKEN_STALL_MILLIS,
            FIRST_TOKEN_STALL_FACTOR * serviceClass.firstTokenTargetMillis());
  }
}
