package org.shallothold.core.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** A bounded buffer of the latest audit events. Thread-safe. */
public final class AuditTrail {

  private final int capacity;
  private final Deque<AuditEvent> events = new ArrayDeque<>();

  private AuditTrail(int capacity) {
    this.capacity = capacity;
  }

  /** Returns an empty trail that keeps at most the given number of events. */
  public static AuditTrail ofCapacity(int capacity) {
    return new AuditTrail(capacity);
  }

  /** Adds an event; removes the oldest one if the trail is full. */
  public synchronized void add(AuditEvent event) {
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
  }

  /** Returns a copy of the events, oldest first. */
  public synchronized List<AuditEvent> events() {
    return List.copyOf(events);
  }
}
