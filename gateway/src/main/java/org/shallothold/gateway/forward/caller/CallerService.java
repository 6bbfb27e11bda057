package org.shallothold.gateway.forward.caller;

import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.verdict.ReasonCode;

/** What a caller's connection needs from the gateway. Called on the event loop. */
public interface CallerService {

  /** Takes a request. The listener that is returned hears what becomes of the caller. */
  CallerRequestListener accept(CallerRequest request, CallerExchange exchange);

  /** Notes a request that was refused before it was read. */
  void rejected(ReasonCode reason);

  /** Returns what callers may send now. */
  CallerLimits limits();

  /** Returns whether connections are to be closed after their next answer. */
  boolean isLeaving();
}
