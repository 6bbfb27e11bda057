package org.shallothold.gateway.http;

import org.shallothold.gateway.request.GatewayEvent;

/** Takes events for the thread that owns the requests; may be called from any thread. */
public interface RequestSink {

  /** Takes an event; returns false if there is no room, and then nothing was taken. */
  boolean offer(GatewayEvent event);

  /** Takes an event, waiting for room. */
  void put(GatewayEvent event);
}
