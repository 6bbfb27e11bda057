package org.shallothold.standin.options;

/** A command line that can't be used. The process then ends with code 2. */
public final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private UsageException(String message) {
    super(message);
  }

  /** Returns an exception with a message for the operator. */
  public static UsageException of(String message) {
    return new UsageException(message);
  }
}
