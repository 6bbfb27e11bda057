package org.shallothold.experiment.caller;

/** What a caller got. */
public enum Outcome {
  /** The complete and right answer. */
  COMPLETE,
  /** Text that is not the answer to the request; never acceptable. */
  WRONG,
  /** A refusal that says that the request was not run. */
  NOT_RUN,
  /** A refusal or an end of the stream that says that the request may have run. */
  MAY_HAVE_RUN,
  /** The connection broke, so the caller knows that it has no complete answer. */
  BROKEN,
  /** The caller gave up and closed the connection. */
  GIVEN_UP,
  /** An error without a verdict; never acceptable. */
  NO_VERDICT
}
