package org.shallothold.command;

/** A process could not be reached or did not answer in time. */
public final class UnreachableException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that names the process. */
  public UnreachableException(String message) {
    super(message);
  }
}
