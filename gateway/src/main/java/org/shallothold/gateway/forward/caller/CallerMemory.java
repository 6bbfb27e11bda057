package org.shallothold.gateway.forward.caller;

import io.netty.handler.codec.http.HttpHeaders;
import io.netty.handler.codec.http.HttpRequest;
import io.netty.handler.codec.http.LastHttpContent;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.gateway.headers.CountedHeaders;
import org.shallothold.gateway.headers.HeaderCounter;
import org.shallothold.gateway.headers.HeaderMemory;
import org.shallothold.gateway.headers.RequestMemoryException;

/**
 * Memory that the requests of a caller's connection occupy: what was received and not read yet,
 * down to a head of which only some lines have arrived, and the request that is being read or
 * answered. Not thread-safe; used on the event loop only.
 */
final class CallerMemory implements HeaderCounter {

  // The budget is asked once for about 20 lines.
  private static final long STEP_BYTES = 4 * 1024;

  private final RequestMemoryBudget.Reservation reservation;
  private final int maxHeaderLines;
  private long unreadBytes;
  private long requestBytes;
  private boolean refusing;
  private @Nullable CountedHeaders lastHeaders;

  CallerMemory(RequestMemoryBudget.Reservation reservation, int maxHeaderLines) {
    this.reservation = reservation;
    this.maxHeaderLines = maxHeaderLines;
  }

  @Override
  public void lineAdded(CountedHeaders headers, long lineBytes) {
    HeaderCounter.checkLines(headers, maxHeaderLines);
    lastHeaders = headers;
    long additional = lineBytes + (headers.countedLines() == 1 ? HeaderMemory.REQUEST_BYTES : 0);
    if (refusing || !addUnread(additional)) {
      throw RequestMemoryException.create();
    }
  }

  /** Returns the memory of what was received and not read yet. */
  long unreadBytes() {
    return unreadBytes;
  }

  /** Returns the memory of the request that is being read or answered. */
  long requestBytes() {
    return requestBytes;
  }

  /** Counts more that was received; returns false, and counts nothing, if there is no room. */
  boolean addUnread(long bytes) {
    return resize(unreadBytes + bytes, requestBytes);
  }

  /** Counts out what was received before and is being read now. */
  void removeUnread(long bytes) {
    occupy(Math.max(0, unreadBytes - bytes), requestBytes);
  }

  /** Counts a head as that of the request that is being read. */
  void headRead(HttpRequest head) {
    long bytes = bytesOf(head.headers());
    occupy(Math.max(0, unreadBytes - bytes), bytes + head.uri().length());
  }

  /** Counts trailers out, which nothing uses after they are read. */
  void trailersRead(LastHttpContent content) {
    removeUnread(bytesOf(content.trailingHeaders()));
  }

  /** Changes the memory of the request; returns false, and changes nothing, if there is no room. */
  boolean resizeRequest(long bytes) {
    return resize(unreadBytes, bytes);
  }

  /** Counts the copy of the head that is sent to a server; returns false if there is no room. */
  boolean addCopy(HttpRequest head) {
    return resizeRequest(requestBytes + HeaderMemory.ofCopies(head.headers().size()));
  }

  /** Counts the request out, which was answered or abandoned. */
  void requestDone() {
    occupy(unreadBytes, 0);
  }

  /** Drops the head or trailers that are being read and counts nothing that follows. */
  void dropUnread() {
    refusing = true;
    CountedHeaders headers = lastHeaders;
    if (headers != null && unreadBytes > 0) {
      headers.clear();
    }
    occupy(0, requestBytes);
  }

  /** Counts again what is left after the reservation was emptied. */
  void restore() {
    occupy(unreadBytes, requestBytes);
  }

  /** Returns the memory to the budget. */
  void close() {
    refusing = true;
    occupy(0, 0);
  }

  private static long bytesOf(HttpHeaders headers) {
    return headers instanceof CountedHeaders counted && counted.countedLines() > 0
        ? counted.countedBytes() + HeaderMemory.REQUEST_BYTES
        : 0;
  }

  private boolean resize(long newUnreadBytes, long newRequestBytes) {
    long stepped = stepped(newUnreadBytes + newRequestBytes);
    if (stepped > reservation.bytes() && !reservation.resize(stepped)) {
      return false;
    }
    unreadBytes = newUnreadBytes;
    requestBytes = newRequestBytes;
    return true;
  }

  private void occupy(long newUnreadBytes, long newRequestBytes) {
    unreadBytes = newUnreadBytes;
    requestBytes = newRequestBytes;
    reservation.occupy(stepped(newUnreadBytes + newRequestBytes));
  }

  private static long stepped(long bytes) {
    return Math.ceilDiv(bytes, STEP_BYTES) * STEP_BYTES;
  }
}
