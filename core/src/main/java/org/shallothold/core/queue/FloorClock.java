package org.shallothold.core.queue;

import java.util.HashMap;
import java.util.Map;

/**
 * Tells which classes have waited for the floor interval. The wait runs from the later of the
 * class's last start and the arrival of its oldest request; a request that was refused or cancelled
 * without a start does not reset it, since otherwise a class whose deadlines are shorter than the
 * interval would never start. Owned by the scheduler's thread.
 */
final class FloorClock {

  private static final int PRUNE_ABOVE = 256;

  private final long intervalMillis;
  private final Map<String, ClassState> states = new HashMap<>();

  FloorClock(long intervalMillis) {
    this.intervalMillis = intervalMillis;
  }

  private static final class ClassState {
    private long sinceMillis;
    private long startedMillis;
    private boolean missed;
    private long missedMillis;
  }

  /** Notes the arrival of a request of a class that has none waiting. */
  void firstArrived(String serviceClass, long nowMillis) {
    ClassState state = states.get(serviceClass);
    if (state == null) {
      prune(nowMillis);
      state = new ClassState();
      states.put(serviceClass, state);
      state.sinceMillis = nowMillis;
    } else if (!state.missed || nowMillis - state.missedMillis > intervalMillis) {
      state.missed = false;
      state.sinceMillis = nowMillis;
    }
  }

  /** Notes that a request of the class started. */
  void started(String serviceClass, long nowMillis) {
    ClassState state = states.computeIfAbsent(serviceClass, name -> new ClassState());
    state.sinceMillis = nowMillis;
    state.startedMillis = nowMillis;
    state.missed = false;
  }

  /** Notes that a started request of the class was preempted and waits again. */
  void preempted(String serviceClass) {
    ClassState state = states.get(serviceClass);
    if (state != null) {
      state.sinceMillis = Math.min(state.sinceMillis, state.startedMillis);
    }
  }

  /** Notes that a request of the class left without a start. */
  void missed(String serviceClass, long nowMillis) {
    ClassState state = states.get(serviceClass);
    if (state != null) {
      state.missed = true;
      state.missedMillis = nowMillis;
    }
  }

  /**
   * Returns when the oldest waiting request of a class gets the next free slot, in milliseconds; a
   * class whose state was pruned is due at once.
   */
  long dueMillis(String serviceClass) {
    ClassState state = states.get(serviceClass);
    return state == null ? Long.MIN_VALUE : state.sinceMillis + intervalMillis;
  }

  private void prune(long nowMillis) {
    if (states.size() > PRUNE_ABOVE) {
      states.values().removeIf(state -> nowMillis - state.sinceMillis > 10 * intervalMillis);
    }
  }
}
