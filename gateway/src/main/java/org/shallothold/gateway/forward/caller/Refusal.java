package org.shallothold.gateway.forward.caller;

import io.netty.buffer.ByteBuf;
import io.netty.buffer.Unpooled;
import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.HttpHeaderNames;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpResponseStatus;
import java.nio.charset.StandardCharsets;
import java.util.Locale;
import org.shallothold.core.verdict.ReasonCode;
import org.shallothold.core.verdict.Verdict;

/**
 * An error response that the gateway itself creates, as opposed to one of a backend server. Carries
 * the reason code and the verdict as JSON, and the verdict in a header field.
 *
 * @param status HTTP status
 * @param headers header fields
 * @param body JSON document; to be released by the receiver
 */
public record Refusal(HttpResponseStatus status, HttpHeaders headers, ByteBuf body) {

  private static final String VERDICT_HEADER = "Shallothold-Verdict";

  /** Returns the response for a verdict. */
  public static Refusal of(HttpResponseStatus status, Verdict verdict) {
    HttpHeaders headers = new DefaultHttpHeaders();
    headers.set(HttpHeaderNames.CONTENT_TYPE, "application/json");
    headers.set(VERDICT_HEADER, verdict.wireName());
    if (verdict instanceof Verdict.NotRun notRun && notRun.retryAfterMillis() > 0) {
      headers.set(HttpHeaderNames.RETRY_AFTER, toSeconds(notRun.retryAfterMillis()));
    }
    ReasonCode reason = verdict.cause().orElse(ReasonCode.INTERNAL);
    String text =
        "{\"error\":{\"code\":\"%s\",\"verdict\":\"%s\"}}"
            .formatted(reason.code(), verdict.wireName());
    return new Refusal(status, headers, Unpooled.copiedBuffer(text, StandardCharsets.UTF_8));
  }

  private static String toSeconds(long millis) {
    return String.format(Locale.ROOT, "%.3f", millis / 1_000.0);
  }
}
