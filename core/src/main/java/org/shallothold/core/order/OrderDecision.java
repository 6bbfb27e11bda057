package org.shallothold.core.order;

import org.shallothold.core.verdict.Verdict;

/** What to do with an order that arrived under a ticket. */
public sealed interface OrderDecision {

  /** The first arrival: put it in the queue; its ticket is waiting now. */
  record Enqueue(long serial) implements OrderDecision {}

  /** The same order waits or runs already: give this arrival its answer too. */
  record Join(long serial) implements OrderDecision {}

  /**
   * The same order was answered.
   *
   * @param answer the answer as it was kept; not to be changed
   */
  @SuppressWarnings("ArrayRecordComponent") // Compared by nobody, and copying answers costs memory.
  record Replay(byte[] answer) implements OrderDecision {}

  /** Nothing of this arrival is run. */
  record Refuse(Verdict verdict) implements OrderDecision {}
}
