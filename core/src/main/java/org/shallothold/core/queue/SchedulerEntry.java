package org.shallothold.core.queue;

/**
 * A request that waits or runs, with its progress and its preemptions. Mutable; owned by the
 * scheduler's thread.
 */
final class SchedulerEntry {

  final ScheduledRequest request;

  /** Position in the order of arrivals; a preemption does not change it. */
  final long sequence;

  /** Number of answer tokens received so far. */
  int answerTokens;

  int preemptions;
  boolean startedByFloor;
  long startedMillis;

  /** Slot time of the runs that have ended, in milliseconds. */
  long servedMillis;

  /** Slot time charged to the customer in advance at the latest start, in milliseconds. */
  double chargedMillis;

  SchedulerEntry(ScheduledRequest request, long sequence) {
    this.request = request;
    this.sequence = sequence;
  }

  /**
   * Returns whether the request may be preempted now. A request that was started by the floor, or
   * that reached the maximum number of preemptions, keeps its slot for the protected run, so that
   * it makes progress at each start.
   */
  boolean canBePreempted(SchedulerOptions options, long nowMillis) {
    boolean isProtected = startedByFloor || preemptions >= options.maxPreemptions();
    return request.repeatable()
        && (!isProtected || nowMillis - startedMillis >= options.protectedRunMillis());
  }
}
