package org.shallothold.sidecar.work;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** What happened to recent requests, for "explain". Bounded; owned by one thread. */
final class DecisionLog {

  private static final int MAX_REQUESTS = 2_048;
  private static final int MAX_EVENTS = 32;
  // Ids come from gateways, so their length is bounded here.
  private static final int MAX_ID_LENGTH = 64;

  private final Map<String, List<Event>> requests =
      new LinkedHashMap<>() {
        private static final long serialVersionUID = 1L;

        @Override
        protected boolean removeEldestEntry(Map.Entry<String, List<Event>> eldest) {
          return size() > MAX_REQUESTS;
        }
      };

  /**
   * One event.
   *
   * @param timeMillis milliseconds since the epoch
   * @param event what happened
   * @param detail more about it; may be empty
   */
  record Event(long timeMillis, String event, String detail) {}

  /** Adds an event; those of a request beyond a bound are dropped. */
  void add(String requestId, String event, String detail) {
    List<Event> events = requests.computeIfAbsent(key(requestId), id -> new ArrayList<>(4));
    if (events.size() < MAX_EVENTS) {
      events.add(new Event(System.currentTimeMillis(), event, detail));
    }
  }

  /** Returns the events of a request, oldest first; empty if it is not known. */
  List<Event> of(String requestId) {
    return List.copyOf(requests.getOrDefault(key(requestId), List.of()));
  }

  private static String key(String requestId) {
    return requestId.length() <= MAX_ID_LENGTH ? requestId : requestId.substring(0, MAX_ID_LENGTH);
  }
}
