package org.shallothold.gateway.forward.backend;

import io.netty.buffer.ByteBuf;
import io.netty.handler.codec.http.HttpContent;
import io.netty.handler.codec.http.HttpResponse;
import io.netty.handler.codec.http.HttpStatusClass;
import io.netty.handler.codec.http.HttpUtil;
import io.netty.handler.codec.http.LastHttpContent;
import java.util.Optional;
import org.shallothold.gateway.forward.port.HeaderTranslation;
import org.shallothold.gateway.forward.port.ResponseMetadata;

/**
 * Decides to which request the bytes that a server sends on one connection belong. A server may
 * respond to a request twice, the second time late and cut anywhere, so that the bytes of another
 * response stand before, after or within the one to the request in flight. Whatever can't be told
 * apart fails the request. Not thread-safe.
 */
final class ResponseMatcher {

  private static final String RESPONSE_START = "HTTP/1.";

  private final HeaderTranslation translation;
  private final EmbeddedHeadDetector embeddedHeads;
  private String requestId = "";
  private boolean chunked;
  private boolean lengthDelimited;
  private boolean bodyReceived;

  /** What the head of a response belongs to. */
  sealed interface HeadMatch {

    /** The response to the request in flight. */
    record Own(ResponseMetadata metadata) implements HeadMatch {}

    /** An informational response; another head follows. */
    record Informational() implements HeadMatch {}

    /** The whole head of the response to another request. */
    record Other(String namedRequest) implements HeadMatch {}

    /** No response that can be used. */
    record Unusable(Mismatch mismatch) implements HeadMatch {}
  }

  /**
   * Why the response to the request in flight can't be told from other bytes.
   *
   * @param reason description for logs
   * @param place where the other bytes stand
   * @param length number of bytes in the read part that holds them; 0 if they can't be counted
   * @param namedRequest id of the request that they name; empty if they name none
   */
  record Mismatch(String reason, ForeignBytes.Place place, int length, String namedRequest) {}

  ResponseMatcher(HeaderTranslation translation) {
    this.translation = translation;
    this.embeddedHeads = new EmbeddedHeadDetector(translation);
  }

  /** Prepares for the response to a request. */
  void expectResponse(String id) {
    requestId = id;
    chunked = false;
    lengthDelimited = false;
    bodyReceived = false;
    embeddedHeads.reset();
  }

  /** Matches a head that was received while a response was expected. */
  HeadMatch matchHead(HttpResponse head) {
    Optional<String> problem = ResponseHeadCheck.problem(head);
    embeddedHeads.reset();
    if (problem.isPresent()) {
      return unusable(
          problem.get(),
          ResponseHeadCheck.containsTwoResponses(head)
              ? ForeignBytes.Place.WITHIN_HEAD
              : ForeignBytes.Place.MALFORMED);
    }
    if (head.status().codeClass() == HttpStatusClass.INFORMATIONAL) {
      return new HeadMatch.Informational();
    }
    ResponseMetadata metadata = translation.readResponse(head);
    String responseId = metadata.requestId();
    if (responseId == null && !requestId.isEmpty()) {
      return unusable("the response names no request", ForeignBytes.Place.BEFORE_RESPONSE);
    }
    if (responseId != null && !responseId.equals(requestId)) {
      return new HeadMatch.Other(responseId);
    }
    chunked = HttpUtil.isTransferEncodingChunked(head);
    lengthDelimited = !chunked && HttpUtil.isContentLengthSet(head);
    return new HeadMatch.Own(metadata);
  }

  private static HeadMatch unusable(String reason, ForeignBytes.Place place) {
    return new HeadMatch.Unusable(new Mismatch(reason, place, 0, ""));
  }

  /**
   * Examines the body of another response. If that response was cut, the one to the request in
   * flight is read as its rest, and would be discarded with it.
   */
  Optional<Mismatch> matchOtherBody(HttpContent content) {
    // The head of the next response after the last chunk of a cut one is read as trailers.
    boolean hasTrailers =
        content instanceof LastHttpContent last && !last.trailingHeaders().isEmpty();
    if (content.decoderResult().isFailure() || hasTrailers) {
      return Optional.of(
          new Mismatch("another response is malformed", ForeignBytes.Place.BEFORE_RESPONSE, 0, ""));
    }
    Optional<ResponseMetadata> embedded = embeddedHeads.examine(content.content());
    return embeddedHeads.isStatusLineSeen()
        ? Optional.of(mismatch("another response contains a status line", content, embedded))
        : Optional.empty();
  }

  /** Examines a part of the body of the response to the request in flight. */
  Optional<Mismatch> matchOwnBody(HttpContent content) {
    if (content.decoderResult().isFailure()) {
      return Optional.of(
          new Mismatch(
              "the response body is truncated or malformed", ForeignBytes.Place.MALFORMED, 0, ""));
    }
    bodyReceived |= content.content().isReadable();
    Optional<ResponseMetadata> embedded = embeddedHeads.examine(content.content());
    return embedded.isPresent()
        ? Optional.of(mismatch("the body contains the head of a response", content, embedded))
        : Optional.empty();
  }

  private static Mismatch mismatch(
      String reason, HttpContent content, Optional<ResponseMetadata> embedded) {
    return new Mismatch(
        reason,
        ForeignBytes.Place.WITHIN_BODY,
        content.content().readableBytes(),
        embedded.map(ResponseMetadata::requestId).orElse(""));
  }

  /**
   * Examines the end of the response to the request in flight. Other bytes within a chunk break the
   * framing. Within a body of a given length they leave as many of its own behind it, or stand at
   * its end.
   *
   * @param following bytes that were received after the response
   */
  Optional<Mismatch> matchEnd(ByteBuf following) {
    if (chunked) {
      return Optional.empty();
    }
    if (embeddedHeads.isWithinHead()) {
      return withinBody("the body ends within the head of a response", 0);
    }
    boolean ownBytesFollow =
        lengthDelimited
            && bodyReceived
            && following.isReadable()
            && (embeddedHeads.isStatusLineSeen() || !beginsResponse(following));
    return ownBytesFollow
        ? withinBody(
            "the body is followed by bytes that may belong to it", following.readableBytes())
        : Optional.empty();
  }

  private static Optional<Mismatch> withinBody(String reason, int length) {
    return Optional.of(new Mismatch(reason, ForeignBytes.Place.WITHIN_BODY, length, ""));
  }

  /** Returns whether the bytes are, as far as they go, empty lines and the start of a response. */
  private static boolean beginsResponse(ByteBuf bytes) {
    int index = bytes.readerIndex();
    while (index < bytes.writerIndex()
        && (bytes.getByte(index) == '\r' || bytes.getByte(index) == '\n')) {
      index++;
    }
    int length = Math.min(RESPONSE_START.length(), bytes.writerIndex() - index);
    for (int i = 0; i < length; i++) {
      if (bytes.getByte(index + i) != RESPONSE_START.charAt(i)) {
        return false;
      }
    }
    return true;
  }
}
