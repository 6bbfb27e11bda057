package org.shallothold.sidecar.backend;

/** A run in progress at the backend server. May be shared between threads. */
public interface BackendRun {

  /** Closes the connection, which makes an engine stop the work; events may still follow. */
  void cancel();
}
