package org.shallothold.gateway.request;

/** Opens and closes connections to sidecars; called on the thread that owns the requests. */
public interface Links {

  /** Connects, and connects again after each loss until {@link #close}. */
  void open(LinkKey key);

  /** Closes the connection and stops connecting. */
  void close(LinkKey key);
}
