package org.shallothold.core.order;

import org.shallothold.core.verdict.Verdict;

/** Decision of {@link OrderLedger} about an order that arrived with a ticket. */
public sealed interface OrderDecision {

  /** First arrival under the ticket: the order has to be queued. The ticket is waiting now. */
  record Enqueue(long serial) implements OrderDecision {}

  /** The same order waits or runs already; this arrival gets its answer too. */
  record Join(long serial) implements OrderDecision {}

  /**
   * The same order was answered before; this arrival gets the stored answer.
   *
   * @param answer the stored answer; must not be modified
   */
  @SuppressWarnings("ArrayRecordComponent") // Never compared; copying answers would cost memory.
  record Replay(byte[] answer) implements OrderDecision {}

  /** This arrival is refused and runs nothing. */
  record Refuse(Verdict verdict) implements OrderDecision {}
}
