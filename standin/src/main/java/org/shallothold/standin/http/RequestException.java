package org.shallothold.standin.http;

/** Ends the handling of a request with an error status. The code goes into the answer. */
public final class RequestException extends RuntimeException {

  private static final long serialVersionUID = 1L;

  private final int status;
  private final String code;

  private RequestException(int status, String code, String message) {
    super(message);
    this.status = status;
    this.code = code;
  }

  /** Returns an exception that is answered with the given HTTP status. */
  public static RequestException of(int status, String code, String message) {
    return new RequestException(status, code, message);
  }

  /** Returns an exception for a request that can't be understood (400). */
  public static RequestException badRequest(String message) {
    return new RequestException(400, "bad_request", message);
  }

  /** Returns an exception for a path or method that doesn't exist (404). */
  public static RequestException notFound(Exchange exchange) {
    return new RequestException(
        404, "not_found", "no such path: " + exchange.method() + " " + exchange.path());
  }

  /** Returns the HTTP status. */
  public int status() {
    return status;
  }

  /** Returns the error code. */
  public String code() {
    return code;
  }
}
