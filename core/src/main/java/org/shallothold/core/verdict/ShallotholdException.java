package org.shallothold.core.verdict;

import java.util.Objects;

/** A failure with a machine-readable code; unchecked, since most callers can only pass it on. */
public class ShallotholdException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final ReasonCode reason;

  private ShallotholdException(ReasonCode reason, String message) {
    super(message);
    this.reason = Objects.requireNonNull(reason);
  }

  /** Returns an exception with a code and a message for a person. */
  public static ShallotholdException of(ReasonCode reason, String message) {
    return new ShallotholdException(reason, message);
  }

  /** Returns the code. */
  public ReasonCode reason() {
    return reason;
  }
}
