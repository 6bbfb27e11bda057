package org.shallothold.gateway.forward.caller;

/** Receives events of a caller until its response is complete. Called on the event loop. */
public interface CallerRequestListener {

  /** Called when the caller's connection closed before the response was complete. */
  void callerDisconnected();

  /** Called when {@link CallerExchange#isWritable} changed. */
  void writabilityChanged();

  /** Returns the memory that was decoded from the head and is kept beside it, in bytes. */
  long decodedBytes();

  /** Returns whether a server may have run the request. */
  boolean mayHaveRun();

  /** Called to end the request because the memory that it occupies is needed for others. */
  void memoryNeeded();
}
