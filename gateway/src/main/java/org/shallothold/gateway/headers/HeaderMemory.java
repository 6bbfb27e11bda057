package org.shallothold.gateway.headers;

/**
 * Estimates of what header lines occupy on the heap, from measurements with compressed object
 * pointers: 95 to 145 bytes a line in addition to its characters once it is read, and 90 to 100
 * bytes more once its name was read as a string and the line was copied for a server.
 */
public final class HeaderMemory {

  /** Bytes that a request occupies beside its header lines and its body. */
  public static final long REQUEST_BYTES = 4 * 1024;

  private static final long LINE_BYTES = 144;
  private static final long LINE_COPY_BYTES = 96;

  private HeaderMemory() {}

  /** Returns the memory of a line that was read. */
  public static long ofLine(CharSequence name, Object value) {
    int valueLength = value instanceof CharSequence text ? text.length() : 0;
    return LINE_BYTES + name.length() + valueLength;
  }

  /** Returns the memory of the copy of some lines. */
  public static long ofCopies(int lines) {
    return lines * LINE_COPY_BYTES;
  }
}
