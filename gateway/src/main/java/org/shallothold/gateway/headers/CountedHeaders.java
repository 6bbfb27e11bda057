package org.shallothold.gateway.headers;

import io.netty.handler.codec.http.DefaultHttpHeaders;
import io.netty.handler.codec.http.DefaultHttpHeadersFactory;
import io.netty.handler.codec.http.HttpHeaders;

/** Header fields that are counted while the decoder adds them. */
public final class CountedHeaders extends DefaultHttpHeaders {

  private final HeaderCounter counter;
  private int lines;
  private long bytes;

  CountedHeaders(DefaultHttpHeadersFactory validation, HeaderCounter counter) {
    super(validation.getNameValidator(), validation.getValueValidator());
    this.counter = counter;
  }

  @Override
  public HttpHeaders add(CharSequence name, Object value) {
    lines++;
    long lineBytes = HeaderMemory.ofLine(name, value);
    bytes += lineBytes;
    counter.lineAdded(this, lineBytes);
    return super.add(name, value);
  }

  /** Returns the memory that was counted for the lines. */
  public long countedBytes() {
    return bytes;
  }

  /** Returns the number of lines that were counted. */
  public int countedLines() {
    return lines;
  }
}
