package org.shallothold.gateway.request;

import java.util.function.LongSupplier;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Ends requests at their deadline and moves requests that make no progress. Owned by the thread of
 * the requests.
 */
final class Watchdog {

  // Bounds far above the targets, so that only a straggler or a frozen engine reaches them.
  private static final int FIRST_TOKEN_FACTOR = 4;
  private static final long FIRST_TOKEN_LEAST_MILLIS = 1_000;
  private static final int TOKEN_INTERVAL_FACTOR = 20;
  private static final long TOKEN_INTERVAL_LEAST_MILLIS = 1_000;

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

  /** Returns when a request must be looked at first. */
  static long firstDue(ActiveRequest request) {
    return nextDue(request);
  }

  /** Looks at all requests that are due. */
  void tick() {
    long now = clock.getAsLong();
    for (var due = inFlight.pollDue(now); due.isPresent(); due = inFlight.pollDue(now)) {
      check(due.get(), now);
    }
  }

  private void check(ActiveRequest request, long now) {
    if (request.givenUp() != null) {
      if (now >= request.concludeMillis()) {
        finisher.conclude(request);
      } else {
        inFlight.schedule(request, request.concludeMillis());
      }
      return;
    }
    if (now >= request.deadlineMillis()) {
      finisher.giveUp(request, ReasonCode.DEADLINE);
      return;
    }
    if (now >= nextDue(request)) {
      dispatcher.moveAway(request);
    }
    // A request that could not be moved is looked at again after another such bound.
    long next = nextDue(request);
    inFlight.schedule(
        request,
        next > now ? next : Math.min(request.deadlineMillis(), now + stallMillis(request)));
  }

  private static long nextDue(ActiveRequest request) {
    return request.call() instanceof Call.Completion || request.call().isTicketWish()
        ? Math.min(request.deadlineMillis(), request.progressMillis() + stallMillis(request))
        : request.deadlineMillis();
  }

  private static long stallMillis(ActiveRequest request) {
    ServiceClass item = request.request().serviceClass();
    return request.hasTokensHere()
        ? Math.max(
            TOKEN_INTERVAL_LEAST_MILLIS, TOKEN_INTERVAL_FACTOR * item.tokenIntervalTargetMillis())
        : Math.max(FIRST_TOKEN_LEAST_MILLIS, FIRST_TOKEN_FACTOR * item.firstTokenTargetMillis());
  }
}
