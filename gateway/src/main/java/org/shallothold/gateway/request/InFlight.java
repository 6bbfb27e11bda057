package org.shallothold.gateway.request;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The requests in flight, ordered by their next check. Confined to the router thread. */
final class InFlight {

  private final Map<Long, ActiveRequest> requests = new HashMap<>();
  private final TreeSet<ActiveRequest> due =
      new TreeSet<>(
          Comparator.<ActiveRequest>comparingLong(request -> request.dueMillis())
              .thenComparingLong(ActiveRequest::number));

  void add(ActiveRequest request, long dueMillis) {
    requests.put(request.number(), request);
    request.dueMillis(dueMillis);
    due.add(request);
  }

  void remove(ActiveRequest request) {
    requests.remove(request.number());
    due.remove(request);
  }

  /** Sets the time of a request's next check; does nothing if the request is not in flight. */
  void schedule(ActiveRequest request, long dueMillis) {
    if (requests.containsKey(request.number())) {
      due.remove(request);
      request.dueMillis(dueMillis);
      due.add(request);
    }
  }

  /** Removes the next due request from the schedule and returns it; empty if none is due. */
  Optional<ActiveRequest> pollDue(long now) {
    if (due.isEmpty() || due.first().dueMillis() > now) {
      return Optional.empty();
    }
    return Optional.ofNullable(due.pollFirst());
  }

  @Nullable ActiveRequest get(long number) {
    return requests.get(number);
  }

  Collection<ActiveRequest> all() {
    return requests.values();
  }

  int size() {
    return requests.size();
  }
}
