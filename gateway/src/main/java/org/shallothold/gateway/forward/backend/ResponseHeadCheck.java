package org.shallothold.gateway.forward.backend;

import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Map;
import java.util.Optional;
import java.util.regex.Pattern;

/**
 * Finds response heads that can't be believed. A server may send the beginning of an additional
 * response after the next request was written; the head of the real response is then read as the
 * rest of a line of the additional one, so that its status line appears within another field.
 */
final class ResponseHeadCheck {

  private static final String STATUS_LINE_START = "HTTP/";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] [0-9]{3}\\b");

  private ResponseHeadCheck() {}

  /** Returns why the head can't be used; empty if it can. */
  static Optional<String> problem(HttpResponse head) {
    if (head.decoderResult().isFailure()) {
      return Optional.of("the server sent a malformed response");
    }
    if (!isHttp1(head.protocolVersion())) {
      return Optional.of("the server responded with " + head.protocolVersion());
    }
    if (head.status().codeClass() == HttpStatusClass.UNKNOWN) {
      return Optional.of("the server responded with status " + head.status().code());
    }
    if (head.status().code() == HttpResponseStatus.SWITCHING_PROTOCOLS.code()) {
      return Optional.of("the server switched protocols unasked");
    }
    return containsTwoResponses(head)
        ? Optional.of("the response contains the status line of another one")
        : Optional.empty();
  }

  /** Returns whether a status line stands within the head. */
  static boolean containsTwoResponses(HttpResponse head) {
    return containsStatusLine(head.status().reasonPhrase())
        || head.headers().entries().stream()
            .map(Map.Entry::getValue)
            .anyMatch(ResponseHeadCheck::containsStatusLine);
  }

  private static boolean isHttp1(HttpVersion version) {
    return version.equals(HttpVersion.HTTP_1_1) || version.equals(HttpVersion.HTTP_1_0);
  }

  private static boolean containsStatusLine(String text) {
    // Most fields are short and don't contain the prefix.
    return text.contains(STATUS_LINE_START) && STATUS_LINE.matcher(text).find();
  }
}
