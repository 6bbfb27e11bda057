package org.shallothold.gateway.forward.port;

import java.util.Locale;

/** Kinds of items that the platform publishes; each is read and watched on its own. */
public enum PublishedTopic {
  /** The configuration of routes, services and customers, and the evacuated failure domains. */
  CONFIGURATION,
  /** The list of backend servers, one item per server. */
  SERVERS;

  /** Returns the name of the topic in metrics. */
  public String label() {
    return name().toLowerCase(Locale.ROOT);
  }
}
