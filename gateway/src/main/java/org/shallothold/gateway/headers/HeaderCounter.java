package org.shallothold.gateway.headers;

import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpDecoderConfig;
import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpHeadersFactory;
import io.netty.handler.codec.http.TooLongHttpHeaderException;

/** Is told of each header line and trailer line of a connection while the decoder reads it. */
public interface HeaderCounter {

  /**
   * Called before a line is added. An exception ends the message with a failed decoder result.
   *
   * @param headers fields of the head or trailers; their counts include the new line
   * @param lineBytes memory that the new line occupies
   */
  void lineAdded(CountedHeaders headers, long lineBytes);

  /** Returns a counter that only bounds the number of lines. */
  static HeaderCounter ofLines(int maxLines) {
    return (headers, lineBytes) -> checkLines(headers, maxLines);
  }

  /**
   * Fails if there are too many lines.
   *
   * @throws TooLongHttpHeaderException if there are more lines than allowed
   */
  static void checkLines(CountedHeaders headers, int maxLines) {
    if (headers.countedLines() > maxLines) {
      throw new TooLongHttpHeaderException("more than " + maxLines + " header lines");
    }
  }

  /** Makes a decoder count with this counter, and returns its configuration. */
  default HttpDecoderConfig countWith(HttpDecoderConfig config) {
    return config
        .setHeadersFactory(counting(config.getHeadersFactory()))
        .setTrailersFactory(counting(config.getTrailersFactory()));
  }

  /** Returns a factory of counted fields with the validation of another factory. */
  private HttpHeadersFactory counting(HttpHeadersFactory uncounted) {
    DefaultHttpHeadersFactory validation =
        uncounted instanceof DefaultHttpHeadersFactory standard
            ? standard
            : DefaultHttpHeadersFactory.headersFactory();
    return new HttpHeadersFactory() {
      @Override
      public HttpHeaders newHeaders() {
        return new CountedHeaders(validation, HeaderCounter.this);
      }

      @Override
      public HttpHeaders newEmptyHeaders() {
        return newHeaders();
      }
    };
  }
}
