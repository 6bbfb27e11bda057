package org.shallothold.core.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Computes when each service class has waited for the floor interval, the starvation bound of the
 * queue. The wait runs from the later of the class's last start and the arrival of its oldest
 * request. A request that was refused or cancelled without a start does not reset the wait;
 * otherwise a class whose deadlines are shorter than the interval would never start. Owned by the
 * scheduler's thread.
 */
final class FloorTracker {

  private static final int PRUNE_THRESHOLD_CLASSES = 256;

  private final long intervalMillis;
  private final Map<String, ClassState> states = new HashMap<>();

  FloorTracker(long intervalMillis) {
    this.intervalMillis = intervalMillis;
  }

  private static final class ClassState {
    private long waitingSinceMillis;
    private long lastStartMillis;
    private boolean hasEndedWithoutStart;
    private long endedWithoutStartMillis;
  }

  /** Records the arrival of a request whose class had no waiting request. */
  void firstRequestArrived(String serviceClass, long nowMillis) {
    ClassState state = states.get(serviceClass);
    if (state == null) {
      prune(nowMillis);
      state = new ClassState();
      states.put(serviceClass, state);
      state.waitingSinceMillis = nowMillis;
    } else if (!state.hasEndedWithoutStart
        || nowMillis - state.endedWithoutStartMillis > intervalMillis) {
      state.hasEndedWithoutStart = false;
      state.waitingSinceMillis = nowMillis;
    }
  }

  /** Records that a request of the class started. */
  void started(String serviceClass, long nowMillis) {
    ClassState state = states.computeIfAbsent(serviceClass, name -> new ClassState());
    state.waitingSinceMillis = nowMillis;
    state.lastStartMillis = nowMillis;
    state.hasEndedWithoutStart = false;
  }

  /**
   * Records that a request of the class was preempted and waits again. The wait then runs from the
   * class's last start at the latest.
   */
  void preempted(String serviceClass) {
    ClassState state = states.get(serviceClass);
    if (state != null) {
      state.waitingSinceMillis = Math.min(state.waitingSinceMillis, state.lastStartMillis);
    }
  }

  /** Records that a request of the class was refused, displaced or cancelled instead of started. */
  void endedWithoutStart(String serviceClass, long nowMillis) {
    ClassState state = states.get(serviceClass);
    if (state != null) {
      state.hasEndedWithoutStart = true;
      state.endedWithoutStartMillis = nowMillis;
    }
  }

  /**
   * Returns the time from which the oldest waiting request of a class gets the next free slot, in
   * milliseconds on the scheduler's clock; {@link Long#MIN_VALUE}, due at once, for a class whose
   * state was pruned.
   */
  long dueMillis(String serviceClass) {
    ClassState state = states.get(serviceClass);
    return state == null ? Long.MIN_VALUE : state.waitingSinceMillis + intervalMillis;
  }

  private void prune(long nowMillis) {
    if (states.size() > PRUNE_THRESHOLD_CLASSES) {
      states.values().removeIf(state -> nowMillis - state.waitingSinceMillis > 10 * intervalMillis);
    }
  }
}
