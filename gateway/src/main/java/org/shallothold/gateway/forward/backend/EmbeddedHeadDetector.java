package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.DefaultHttpResponse;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpResponseStatus;
import io.netty.handler.codec.http.HttpVersion;
import java.util.Optional;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.jspecify.annotations.Nullable;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.ResponseMetadata;

/**
 * Finds the head of another response within the body of a response, which may arrive in any pieces.
 * A status line alone is no proof, since a body may be a text about HTTP; the head must also have a
 * field by which this platform's servers name a request, sign, or state that it was not run. Not
 * thread-safe.
 */
final class EmbeddedHeadDetector {

  private static final String START = "HTTP/1.";
  private static final Pattern STATUS_LINE = Pattern.compile("HTTP/1\\.[01] ([0-9]{3})\\b");
  private static final Pattern FIELD = Pattern.compile("([!#$%&'*+.^_`|~0-9A-Za-z-]+):(.*)");
  // The end of a body that stands within a status line, after its code.
  private static final Pattern CUT_STATUS_LINE =
      Pattern.compile("HTTP/1\\.[01] [0-9]{3}( [A-Za-z ]*)?\r?");
  // Longer lines and heads are none that servers send.
  private static final int MAX_LINE_LENGTH = 4 * 1024;
  private static final int MAX_HEAD_LENGTH = 32 * 1024;

  // The fields may hold any bytes and are only read.
  private static final HttpHeadersFactory UNCHECKED_FIELDS =
      DefaultHttpHeadersFactory.headersFactory().withValidation(false);

  private final HeaderTranslation translation;
  private final StringBuilder line = new StringBuilder();
  private int matchedStart;
  private boolean collecting;
  private @Nullable HttpResponseStatus status;
  private int headLength;
  private boolean statusLineSeen;

  EmbeddedHeadDetector(HeaderTranslation translation) {
    this.translation = translation;
  }

  /** Prepares for another body. */
  void reset() {
    statusLineSeen = false;
    stopCollecting();
  }

  /** Returns whether the body contains a status line, with or without a proof. */
  boolean isStatusLineSeen() {
    return statusLineSeen;
  }

  /** Returns whether the last byte examined stands within what looks like a head. */
  boolean isWithinHead() {
    return collecting && (status != null || CUT_STATUS_LINE.matcher(line).matches());
  }

  /**
   * Examines the next part of the body, whose indexes stay unchanged.
   *
   * @return what the embedded head states; empty if none is proven so far
   */
  Optional<ResponseMetadata> examine(ByteBuf part) {
    int end = part.writerIndex();
    int index = part.readerIndex();
    while (index < end) {
      if (!collecting && matchedStart == 0) {
        index = part.indexOf(index, end, (byte) START.charAt(0));
        if (index < 0) {
          return Optional.empty();
        }
      }
      char next = (char) (part.getByte(index) & 0xff);
      index++;
      if (!collecting) {
        matchStart(next);
      } else if (next == '\n') {
        Optional<ResponseMetadata> proof = lineEnded();
        if (proof.isPresent()) {
          return proof;
        }
      } else if (line.length() < MAX_LINE_LENGTH) {
        line.append(next);
      } else {
        stopCollecting();
      }
    }
    return Optional.empty();
  }

  private void matchStart(char next) {
    if (next != START.charAt(matchedStart)) {
      matchedStart = next == START.charAt(0) ? 1 : 0;
      return;
    }
    matchedStart++;
    if (matchedStart == START.length()) {
      collecting = true;
      line.append(START);
    }
  }

  private Optional<ResponseMetadata> lineEnded() {
    String text = line.toString().stripTrailing();
    line.setLength(0);
    headLength += text.length();
    Matcher statusLine = STATUS_LINE.matcher(text);
    if (statusLine.find()) {
      statusLineSeen = true;
      status = HttpResponseStatus.valueOf(Integer.parseInt(statusLine.group(1)));
      return Optional.empty();
    }
    HttpResponseStatus current = status;
    Matcher field = FIELD.matcher(text);
    if (current == null || !field.matches() || headLength > MAX_HEAD_LENGTH) {
      stopCollecting();
      return Optional.empty();
    }
    // One field is enough for a proof, so that none has to be kept.
    HttpResponse head = new DefaultHttpResponse(HttpVersion.HTTP_1_1, current, UNCHECKED_FIELDS);
    head.headers().add(field.group(1), field.group(2).strip());
    ResponseMetadata metadata = translation.readResponse(head);
    return metadata.requestId() != null || metadata.signed() || metadata.notRun()
        ? Optional.of(metadata)
        : Optional.empty();
  }

  private void stopCollecting() {
    collecting = false;
    matchedStart = 0;
    line.setLength(0);
    status = null;
    headLength = 0;
  }
}
