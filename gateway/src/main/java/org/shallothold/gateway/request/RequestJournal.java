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
 * Event history of the latest requests, for the operator command "explain". Bounded in requests and
 * in events per request. Confined to the router thread.
 */
final class RequestJournal {

  private static final int MAX_REQUESTS = 4_096;
  private static final int MAX_EVENTS_PER_REQUEST = 32;

  private final Map<Long, Entry> entriesByNumber = new LinkedHashMap<>();
  private final Map<String, Long> numbersByRequestId = new LinkedHashMap<>();

  private record Event(long offsetMillis, String name, String server, String detail) {}

  /** Holds no request or body, as thousands of kept bodies would exhaust the memory. */
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
    entriesByNumber.put(request.number(), new Entry(request, now, epochMillis));
    numbersByRequestId.put(request.requestId(), request.number());
    if (entriesByNumber.size() > MAX_REQUESTS) {
      entriesByNumber.remove(entriesByNumber.keySet().iterator().next());
      numbersByRequestId.remove(numbersByRequestId.keySet().iterator().next());
    }
  }

  void addEvent(long number, long now, String name, String server, String detail) {
    Entry entry = entriesByNumber.get(number);
    if (entry != null && entry.events.size() < MAX_EVENTS_PER_REQUEST) {
      entry.events.add(new Event(now - entry.arrivedMillis, name, server, detail));
    }
  }

  void ended(long number, long now, String outcome, String detail) {
    Entry entry = entriesByNumber.get(number);
    if (entry != null) {
      entry.outcome = outcome;
      // The final event is stored even if the entry is full.
      entry.events.add(new Event(now - entry.arrivedMillis, outcome, "", detail));
    }
  }

  /** Returns the history of a request as JSON; empty if the request is not kept. */
  Optional<ObjectNode> explain(String requestId) {
    return Optional.ofNullable(numbersByRequestId.get(requestId))
        .flatMap(number -> Optional.ofNullable(entriesByNumber.get(number)))
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
      item.put("event", event.name());
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
