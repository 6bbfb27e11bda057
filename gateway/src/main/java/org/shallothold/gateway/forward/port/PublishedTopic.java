package org.shallothold.gateway.forward.port;

/** What the platform publishes. */
public enum PublishedTopic {
  /** The configuration of routes, services and customers. */
  CONFIGURATION,
  /** The backend servers. */
  SERVERS
}
