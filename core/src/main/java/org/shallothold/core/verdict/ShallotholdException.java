package org.shallothold.core.verdict;

import java.util.Objects;

/**
 * A failure with a machine-readable reason. Unchecked, since most callers can only propagate it.
 */
public class ShallotholdException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ReasonCode reason;

  private ShallotholdException(ReasonCode reason, String message) {
    super(message);
    this.reason = Objects.requireNonNull(reason);
  }

  /** Returns an exception with a reason and a human-readable message. */
  public static ShallotholdException of(ReasonCode reason, String message) {
    return new ShallotholdException(reason, message);
  }

  /** Returns the reason. */
  public ReasonCode reason() {
    return reason;
  }
}
