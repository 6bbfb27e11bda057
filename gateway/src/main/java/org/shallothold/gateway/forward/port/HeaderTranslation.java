package org.shallothold.gateway.forward.port;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;

/**
 * Translates between the HTTP header fields of a platform's callers and backend servers and the
 * values that the gateway works with. Called on the event loop; no method changes its arguments.
 */
public interface HeaderTranslation {

  /** Decodes a caller's request. Fields that are missing or malformed count as unspecified. */
  RequestMetadata readRequest(HttpRequest head);

  /**
   * Returns the header fields of the request to a backend server: the caller's fields without the
   * hop-by-hop fields and those that callers may not set, and the fields for {@code metadata}.
   */
  HttpHeaders toBackendHeaders(HttpRequest head, BackendRequestMetadata metadata);

  /** Returns the number of urgency levels that backend servers distinguish; at least 1. */
  int urgencyLevels();

  /**
   * Decodes a backend server's response. Fields that are missing or malformed count as unspecified.
   */
  ResponseMetadata readResponse(HttpResponse head);

  /**
   * Returns the header fields of the response to the caller: the backend server's fields without
   * the hop-by-hop fields.
   */
  HttpHeaders toCallerHeaders(HttpResponse head);
}
