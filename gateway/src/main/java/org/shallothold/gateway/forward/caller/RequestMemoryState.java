package org.shallothold.gateway.forward.caller;

/** What happens to the requests that occupy memory, for metrics. */
public enum RequestMemoryState {
  /** They are being received, or wait behind another one on their connection. */
  RECEIVING,
  /** They wait for a server. */
  WAITING,
  /** A server may have run them. */
  SENT;

  static RequestMemoryState of(CallerConnection connection) {
    if (connection.mayHaveRun()) {
      return SENT;
    }
    return connection.isAnswering() ? WAITING : RECEIVING;
  }
}
