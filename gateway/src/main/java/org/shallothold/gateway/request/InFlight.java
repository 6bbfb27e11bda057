package org.shallothold.gateway.request;

import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.jspecify.annotations.Nullable;

/** The requests being served, and when each must be looked at next. Owned by their thread. */
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

  /** Looks at a request no later than the given time. */
  void schedule(ActiveRequest request, long dueMillis) {
    if (requests.containsKey(request.number())) {
      due.remove(request);
      request.dueMillis(dueMillis);
      due.add(request);
    }
  }

  /** Returns the next request that must be looked at by now, and takes it off the schedule. */
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
