package org.shallothold.core.verdict;

import java.util.Optional;

/**
 * Whether a request ran, by the available evidence. A verdict is {@link NotRun} only with evidence
 * that the backend server never received the request and never will; without such evidence it is
 * {@link MayHaveRun}.
 */
public sealed interface Verdict {

  /** The request ran and its whole answer was delivered. */
  record Completed() implements Verdict {}

  /**
   * The request was not run and can't be started any more.
   *
   * @param reason why the request was not run
   * @param retryAfterMillis wait before a retry, in milliseconds; 0 if there is no estimate
   */
  record NotRun(ReasonCode reason, long retryAfterMillis) implements Verdict {}

  /**
   * There is no evidence that the request was not run.
   *
   * @param reason why the request has no complete answer
   */
  record MayHaveRun(ReasonCode reason) implements Verdict {}

  /** Returns the verdict for a request whose answer was delivered. */
  static Verdict completed() {
    return new Completed();
  }

  /** Returns the verdict "not run" without an estimate for a retry. */
  static Verdict notRun(ReasonCode reason) {
    return new NotRun(reason, 0);
  }

  /** Returns the verdict "not run" with a wait before a retry, in milliseconds. */
  static Verdict notRun(ReasonCode reason, long retryAfterMillis) {
    return new NotRun(reason, retryAfterMillis);
  }

  /** Returns the verdict for a request of which it is unknown whether it ran. */
  static Verdict mayHaveRun(ReasonCode reason) {
    return new MayHaveRun(reason);
  }

  /**
   * Combines the verdicts of two attempts at one request. The request was completed if either
   * attempt was, and was not run only if neither attempt was.
   */
  default Verdict combine(Verdict other) {
    return switch (this) {
      case Completed completed -> completed;
      case MayHaveRun mayHaveRun -> other instanceof Completed ? other : mayHaveRun;
      case NotRun notRun -> other;
    };
  }

  /** Returns the reason why the request was not completed; empty if it was. */
  default Optional<ReasonCode> cause() {
    return switch (this) {
      case Completed completed -> Optional.empty();
      case NotRun notRun -> Optional.of(notRun.reason());
      case MayHaveRun mayHaveRun -> Optional.of(mayHaveRun.reason());
    };
  }

  /** Returns the name of the verdict in HTTP answers. */
  default String wireName() {
    return switch (this) {
      case Completed completed -> "completed";
      case NotRun notRun -> "not_run";
      case MayHaveRun mayHaveRun -> "may_have_run";
    };
  }
}
