package org.shallothold.gateway.headers;

/** Thrown while a head or trailers are read for which there is no memory left. */
public final class RequestMemoryException extends RuntimeException {

  private RequestMemoryException() {
    super("the memory for requests is used up");
  }

  /** Returns the exception. */
  public static RequestMemoryException create() {
    return new RequestMemoryException();
  }
}
