package org.shallothold.gateway.forward.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;

/**
 * Checks that the length of a request is unambiguous, which prevents request smuggling: a request
 * whose end a proxy and a server see at different places can hide a second one.
 */
final class RequestFraming {

  private RequestFraming() {}

  /**
   * Returns whether a request has at most one Content-Length, no other Transfer-Encoding than
   * chunked, not both of them, and exactly one Host.
   */
  static boolean isUnambiguous(HttpRequest request) {
    HttpHeaders headers = request.headers();
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean unambiguousEncoding =
        encodings.isEmpty()
            || (encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst().strip()));
    return lengths.size() <= 1
        && (lengths.isEmpty() || encodings.isEmpty())
        && unambiguousEncoding
        && headers.getAll(HttpHeaderNames.HOST).size() == 1;
  }
}
