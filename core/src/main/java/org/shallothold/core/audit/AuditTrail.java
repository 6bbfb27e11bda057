package org.shallothold.core.audit;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;

/** The latest audit events, bounded in number. May be shared between threads. */
public final class AuditTrail {

  private final int capacity;
  private final Deque<AuditEvent> events = new ArrayDeque<>();

  private AuditTrail(int capacity) {
    this.capacity = capacity;
  }

  /** Returns an empty trail that keeps the given number of events. */
  public static AuditTrail ofCapacity(int capacity) {
    return new AuditTrail(capacity);
  }

  /** Adds an event; the oldest one goes if the trail is full. */
  public synchronized void add(AuditEvent event) {
    if (events.size() == capacity) {
      events.removeFirst();
    }
    events.addLast(event);
  }

  /** Returns the kept events, oldest first. */
  public synchronized List<AuditEvent> events() {
    return List.copyOf(events);
  }
}
