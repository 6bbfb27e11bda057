package org.shallothold.gateway.forward.caller;

import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaderValues;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import java.util.List;

/** Checks that a request's length can be read in one way only, so that none hides in another. */
final class RequestFraming {

  private RequestFraming() {}

  static boolean isSound(HttpRequest request) {
    HttpHeaders headers = request.headers();
    List<String> lengths = headers.getAll(HttpHeaderNames.CONTENT_LENGTH);
    List<String> encodings = headers.getAll(HttpHeaderNames.TRANSFER_ENCODING);
    boolean soundEncoding =
        encodings.isEmpty()
            || (encodings.size() == 1
                && HttpHeaderValues.CHUNKED.contentEqualsIgnoreCase(encodings.getFirst().strip()));
    return lengths.size() <= 1
        && (lengths.isEmpty() || encodings.isEmpty())
        && soundEncoding
        && headers.getAll(HttpHeaderNames.HOST).size() == 1;
  }
}
