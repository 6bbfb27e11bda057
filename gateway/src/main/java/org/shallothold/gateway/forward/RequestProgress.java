package org.shallothold.gateway.forward;

/**
 * How far a request has got, shared between the request and its attempts. Owned by the event loop.
 */
final class RequestProgress {

  /** Attempts that were sent and not rejected, so that the request may have run. */
  int possibleRuns;

  /** Attempts that servers rejected without running the request. */
  int rejections;

  /** Whether the caller was sent the head of a stream, so that it can't be refused any more. */
  boolean streamStarted;

  /** Whether the caller was sent a part of the response's body. */
  boolean firstEventSeen;

  /** Id of the last event that the caller has; negative if there is none. */
  long lastEventId;

  /** Whether the caller closed its connection. */
  boolean callerDisconnected;
}
