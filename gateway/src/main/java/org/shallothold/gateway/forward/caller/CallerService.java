package org.shallothold.gateway.forward.caller;

import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.wire.connection.ReadScheduler;

/** Processes the requests of callers. Called on the event loop. */
public interface CallerService {

  /**
   * Accepts a request. The response may be sent within this call or later.
   *
   * @param exchange sends the response
   * @return receives events of the caller until the response is complete
   */
  CallerRequestListener accept(CallerRequest request, CallerExchange exchange);

  /** Records a request that was rejected before it was received in full. */
  void requestRejected(ReasonCode reason);

  /** Returns the limits in force for requests and connections of callers. */
  CallerLimits limits();

  /** Returns the memory that buffers of responses share. */
  MemoryBudget memory();

  /** Returns the memory that callers' requests share. */
  RequestMemoryBudget requestMemory();

  /** Returns the scheduler of the reads from callers' connections. */
  ReadScheduler readScheduler();

  /** Returns whether connections are to be closed after their next response. */
  boolean isLeaving();
}
