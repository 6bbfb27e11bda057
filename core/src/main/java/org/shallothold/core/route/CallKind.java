package org.shallothold.core.route;

/** Whether a request may be sent again, and whether its answer is a stream. */
public enum CallKind {
  /** A single answer; the request is idempotent and may be sent again. */
  REPEATABLE(true, false),
  /** A single answer; the request must run at most once. */
  ONCE(false, false),
  /** A stream of events that can't be resumed; the request must run at most once. */
  STREAM_ONCE(false, true),
  /** A stream of events that another attempt can continue after the last received event. */
  STREAM_RESUMABLE(true, true);

  private final boolean repeatable;
  private final boolean streaming;

  CallKind(boolean repeatable, boolean streaming) {
    this.repeatable = repeatable;
    this.streaming = streaming;
  }

  /** Returns whether a request may run more than once without harm. */
  public boolean repeatable() {
    return repeatable;
  }

  /** Returns whether the answer is a stream of events. */
  public boolean streaming() {
    return streaming;
  }
}
