package org.shallothold.gateway.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * What happened to the latest requests, for the operators' "explain". Bounded in requests and in
 * events per request; owned by the thread of the requests.
 */
final class RequestJournal {

  private static final int KEPT_REQUESTS = 4_096;
  private static final int KEPT_EVENTS = 32;

  private final Map<Long, Entry> byNumber = new LinkedHashMap<>();
  private final Map<String, Long> numbers = new LinkedHashMap<>();

  private record Event(long offsetMillis, String what, String server, String detail) {}

  /** Holds names only: bodies of thousands of finished requests would fill the memory. */
  private static final class Entry {
    private final String requestId;
    private final String serviceClass;
    private final int tier;
    private final String customer;
    private final long arrivedMillis;
    private final long arrivedEpochMillis;
    private final List<Event> events = new ArrayList<>();
    private String outcome = "in_flight";

    private Entry(CallerRequest request, long arrivedMillis, long arrivedEpochMillis) {
      this.requestId = request.requestId();
      this.serviceClass = request.serviceClass().name();
      this.tier = request.serviceClass().tier();
      this.customer = request.customer();
      this.arrivedMillis = arrivedMillis;
      this.arrivedEpochMillis = arrivedEpochMillis;
    }
  }

  void arrived(CallerRequest request, long now, long epochMillis) {
    byNumber.put(request.number(), new Entry(request, now, epochMillis));
    numbers.put(request.requestId(), request.number());
    if (byNumber.size() > KEPT_REQUESTS) {
      byNumber.remove(byNumber.keySet().iterator().next());
      numbers.remove(numbers.keySet().iterator().next());
    }
  }

  void note(long number, long now, String what, String server, String detail) {
    Entry entry = byNumber.get(number);
    if (entry != null && entry.events.size() < KEPT_EVENTS) {
      entry.events.add(new Event(now - entry.arrivedMillis, what, server, detail));
    }
  }

  void ended(long number, long now, String outcome, String detail) {
    Entry entry = byNumber.get(number);
    if (entry != null) {
      entry.outcome = outcome;
      // The end is kept even if the events before it filled the entry.
      entry.events.add(new Event(now - entry.arrivedMillis, outcome, "", detail));
    }
  }

  /** Returns the document of a request, or empty if it is not kept. */
  Optional<ObjectNode> explain(String requestId) {
    return Optional.ofNullable(numbers.get(requestId))
        .flatMap(number -> Optional.ofNullable(byNumber.get(number)))
        .map(RequestJournal::toJson);
  }

  private static ObjectNode toJson(Entry entry) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("request_id", entry.requestId);
    node.put("class", entry.serviceClass);
    node.put("tier", entry.tier);
    node.put("customer", entry.customer);
    node.put("arrived", java.time.Instant.ofEpochMilli(entry.arrivedEpochMillis).toString());
    node.put("outcome", entry.outcome);
    ArrayNode events = node.putArray("events");
    for (Event event : entry.events) {
      ObjectNode item = events.addObject();
      item.put("after_ms", event.offsetMillis());
      item.put("event", event.what());
      if (!event.server().isEmpty()) {
        item.put("server", event.server());
      }
      if (!event.detail().isEmpty()) {
        item.put("detail", event.detail());
      }
    }
    return node;
  }
}
