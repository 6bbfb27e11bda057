package org.shallothold.core.route;

/** What may be done again for a request without harm, and how its answer arrives. */
public enum CallKind {
  /** One answer; running it again does no harm. */
  REPEATABLE(true, false),
  /** One answer; it may run at most once. */
  ONCE(false, false),
  /** A stream of events that can't be resumed, so it may run at most once. */
  STREAM_ONCE(false, true),
  /** A stream of events that another run can continue after the last event received. */
  STREAM_RESUMABLE(true, true);

  private final boolean repeatable;
  private final boolean streaming;

  CallKind(boolean repeatable, boolean streaming) {
    this.repeatable = repeatable;
    this.streaming = streaming;
  }

  /** Returns whether a second run does no harm. */
  public boolean repeatable() {
    return repeatable;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return streaming;
  }
}
