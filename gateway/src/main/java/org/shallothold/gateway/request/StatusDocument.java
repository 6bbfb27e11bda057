package org.shallothold.gateway.request;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/** Builds the JSON document for the operator command "status". */
final class StatusDocument {

  private StatusDocument() {}

  static ObjectNode of(ServerTable servers, InFlight inFlight, double retriesLeft, long now) {
    ObjectNode node = JsonNodeFactory.instance.objectNode();
    node.put("retries_left", Math.floor(retriesLeft));
    ObjectNode byClass = node.putObject("in_flight_by_class");
    inFlight
        .all()
        .forEach(
            request -> {
              String name = request.request().serviceClass().name();
              byClass.put(name, byClass.path(name).asInt() + 1);
            });
    ArrayNode list = node.putArray("servers");
    servers.states().forEach(state -> add(list.addObject(), state, now));
    return node;
  }

  private static void add(ObjectNode node, ServerState state, long now) {
    node.put("server", state.id());
    node.put("address", state.key().address());
    node.put("connected", state.isConnected());
    node.put("leaving", state.isLeaving());
    node.put("draining", state.server().draining());
    node.put("requests_here", state.requests().size());
    node.put("running", state.report().getRunning());
    node.put("waiting", state.waiting());
    node.put("token_interval_us", (long) state.intervalMicros(now));
    node.put("silent_ms", state.isConnected() ? state.silenceMillis(now) : -1);
  }
}
