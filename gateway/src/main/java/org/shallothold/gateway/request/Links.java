package org.shallothold.gateway.request;

/** Opens and closes connections to sidecars. Called on the router thread. */
public interface Links {

  /** Connects to the sidecar and reconnects after each loss until {@link #close}. */
  void open(LinkKey key);

  /** Closes the connection and stops reconnecting. */
  void close(LinkKey key);
}
