package org.shallothold.core.verdict;

import java.util.Optional;

/**
 * Whether a request ran, as far as there is evidence. {@link NotRun} is said only on evidence that
 * the backend server never got the request and never will; without it the verdict is {@link
 * MayHaveRun}.
 */
public sealed interface Verdict {

  /** The request ran and its whole answer was delivered. */
  record Completed() implements Verdict {}

  /**
   * The request was not run and can't be started any more.
   *
   * @param reason why
   * @param retryAfterMillis when to come back, in milliseconds; 0 if there is no estimate
   */
  record NotRun(ReasonCode reason, long retryAfterMillis) implements Verdict {}

  /** Nothing proves that the request was not run. */
  record MayHaveRun(ReasonCode reason) implements Verdict {}

  /** Returns the verdict of a delivered answer. */
  static Verdict completed() {
    return new Completed();
  }

  /** Returns a refusal without an estimate of when to come back. */
  static Verdict notRun(ReasonCode reason) {
    return new NotRun(reason, 0);
  }

  /** Returns a refusal with an estimate of when to come back, in milliseconds. */
  static Verdict notRun(ReasonCode reason, long retryAfterMillis) {
    return new NotRun(reason, retryAfterMillis);
  }

  /** Returns the verdict for a request whose fate is unknown. */
  static Verdict mayHaveRun(ReasonCode reason) {
    return new MayHaveRun(reason);
  }

  /**
   * Joins the verdicts of two attempts at one request: the request was not run only if neither
   * attempt was.
   */
  default Verdict and(Verdict other) {
    return switch (this) {
      case Completed completed -> completed;
      case MayHaveRun mayHaveRun -> other instanceof Completed ? other : mayHaveRun;
      case NotRun notRun -> other;
    };
  }

  /** Returns why the request has no answer of its own; empty if it was completed. */
  default Optional<ReasonCode> cause() {
    return switch (this) {
      case Completed completed -> Optional.empty();
      case NotRun notRun -> Optional.of(notRun.reason());
      case MayHaveRun mayHaveRun -> Optional.of(mayHaveRun.reason());
    };
  }

  /** Returns the verdict as it stands in HTTP answers. */
  default String wireName() {
    return switch (this) {
      case Completed completed -> "completed";
      case NotRun notRun -> "not_run";
      case MayHaveRun mayHaveRun -> "may_have_run";
    };
  }
}
