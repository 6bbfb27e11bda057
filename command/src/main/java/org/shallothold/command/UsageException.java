package org.shallothold.command;

/** The command line asks for something that can't be done; the message is for the operator. */
public final class UsageException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  /** Creates an exception with a message that names the option or argument. */
  public UsageException(String message) {
    super(message);
  }
}
