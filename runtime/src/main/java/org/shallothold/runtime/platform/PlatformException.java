package org.shallothold.runtime.platform;

import org.jspecify.annotations.Nullable;

/** The platform could not be read. */
public final class PlatformException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private PlatformException(String message, @Nullable Throwable cause) {
    super(message, cause);
  }

  /** Returns an exception with the cause, or null if the platform itself gave an error. */
  public static PlatformException of(String message, @Nullable Throwable cause) {
    return new PlatformException(message, cause);
  }
}
