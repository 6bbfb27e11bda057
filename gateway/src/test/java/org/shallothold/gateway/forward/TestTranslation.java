package org.shallothold.gateway.forward;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.HttpResponse;
import java.util.Arrays;
import java.util.List;
import org.shallothold.core.hash.Hashing;
import org.shallothold.core.placement.PromptPart;
import org.shallothold.core.rate.ColdFigure;
import org.shallothold.core.rate.RateStatement;
import org.shallothold.gateway.forward.port.BackendRequestMetadata;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.RequestMetadata;
import org.shallothold.gateway.forward.port.ResponseMetadata;

/** A header translation with header names that only the tests use. */
final class TestTranslation implements HeaderTranslation {

  @Override
  public RequestMetadata readRequest(HttpRequest head) {
    HttpHeaders headers = head.headers();
    return new RequestMetadata(
        headers.get("X-Request"),
        headers.getInt("X-Deadline", 0),
        headers.get("X-Key"),
        headers.getInt("X-After", -1),
        promptParts(headers.get("X-Parts", "")),
        headers.getInt("X-Tokens", 0),
        headers.getInt("X-Max-Output", 0),
        headers.getInt("X-Output", 0));
  }

  /** Returns a part of 100 tokens for each of the comma-separated names. */
  private static List<PromptPart> promptParts(String names) {
    return Arrays.stream(names.split(","))
        .filter(name -> !name.isEmpty())
        .map(name -> new PromptPart(Hashing.of(name), 100))
        .toList();
  }

  @Override
  public HttpHeaders toBackendHeaders(HttpRequest head, BackendRequestMetadata facts) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.HOST, head.headers().get(HttpHeaderNames.HOST));
    headers.set("X-Request", head.headers().get("X-Request"));
    headers.set("X-Server", facts.serverId());
    headers.set("X-Deadline", facts.timeoutMillis());
    if (head.headers().contains("X-Parts")) {
      headers.set("X-Parts", head.headers().get("X-Parts"));
    }
    if (facts.customer() != null) {
      headers.set("X-Customer", facts.customer());
    }
    if (facts.lastEventId() >= 0) {
      headers.set("X-After", facts.lastEventId());
    }
    return headers;
  }

  @Override
  public ResponseMetadata readResponse(HttpResponse head) {
    HttpHeaders headers = head.headers();
    return new ResponseMetadata(
        isRepeated(headers, "X-Request") || isRepeated(headers, "X-Signed")
            ? null
            : headers.get("X-Request"),
        headers.contains("X-Signed"),
        headers.contains("X-Not-Run"),
        -1,
        -1,
        headers.getInt("X-Momentary", 0),
        headers.contains("X-Leaving"),
        headers.getInt("X-Closed-Millis", 0),
        headers.contains("X-Limit")
            ? RateStatement.parse(headers.get("X-Limit"))
            : RateStatement.unlimited(),
        ColdFigure.parse(headers.get("X-Cold")),
        -1);
  }

  private static boolean isRepeated(HttpHeaders headers, String name) {
    return headers.getAll(name).size() > 1;
  }

  @Override
  public int urgencyLevels() {
    return 10;
  }

  @Override
  public HttpHeaders toCallerHeaders(HttpResponse head) {
    HttpHeaders headers = new DefaultHttpHeaders();
    head.headers().forEach(field -> headers.add(field.getKey(), field.getValue()));
    headers.remove(HttpHeaderNames.TRANSFER_ENCODING);
    headers.remove(HttpHeaderNames.CONNECTION);
    return headers;
  }
}
