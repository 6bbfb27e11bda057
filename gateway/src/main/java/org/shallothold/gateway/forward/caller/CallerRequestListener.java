package org.shallothold.gateway.forward.caller;

/** Follows one request of a caller. Called on the event loop. */
public interface CallerRequestListener {

  /** The caller closed its connection before the answer's end. */
  void callerLeft();

  /** The caller can take more, or can't. */
  void writabilityChanged();
}
