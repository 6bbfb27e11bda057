package org.shallothold.core.queue;

/** A request and its history in one scheduler. Owned by the scheduler. */
final class Entry {

  final Work work;

  /** Number of the arrival; kept over a preemption. */
  final long sequence;

  /** Tokens of the answer so far. */
  int progress;

  int preemptions;
  boolean startedByFloor;
  long startedMillis;

  /** Time in a slot before the current start. */
  long servedMillis;

  /** What the customer was charged at the current start. */
  double charged;

  Entry(Work work, long sequence) {
    this.work = work;
    this.sequence = sequence;
  }

  /**
   * Returns whether the request may give up its slot. One that was started by the floor or was
   * preempted often keeps the slot for a while, so that it comes nearer to its end each time.
   */
  boolean canBePreempted(SchedulerOptions options, long nowMillis) {
    boolean isProtected = startedByFloor || preemptions >= options.maxPreemptions();
    return work.repeatable()
        && (!isProtected || nowMillis - startedMillis >= options.protectedRunMillis());
  }
}
