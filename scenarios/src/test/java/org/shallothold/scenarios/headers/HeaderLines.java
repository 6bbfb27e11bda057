package org.shallothold.scenarios.headers;

import java.nio.charset.StandardCharsets;
import java.util.stream.IntStream;

/**
 * Header lines of legal form of which many fit into a head. The bytes of each line include its end.
 */
enum HeaderLines {
  /** Short lines with one name and a value of one character. */
  SHORT,
  /** The shortest line there is, again and again. */
  REPEATED_NAME,
  /** Names that all differ and begin with any legal character, with empty and blank values. */
  ODD;

  /** The product's limit of the bytes of a head, and the default of the platform's. */
  private static final int MAX_HEAD_BYTES = 16 * 1024;

  private static final String ODD_CHARACTERS = "!#$%&'*+-.^_`|~";
  private static final int PIPELINED_REQUESTS = 8;
  private static final String HEAD_END = "\r\n";

  private String line(int index) {
    return switch (this) {
      case SHORT -> "abc:d\r\n";
      case REPEATED_NAME -> "a:\r\n";
      case ODD ->
          ODD_CHARACTERS.charAt(index % ODD_CHARACTERS.length())
              + Integer.toString(index, Character.MAX_RADIX)
              + (index % 2 == 0 ? ":\r\n" : ": \t\r\n");
    };
  }

  /** Returns a whole request whose head is as long as the limit allows. */
  byte[] request(String start, String body) {
    return bytes(head(start) + HEAD_END + body);
  }

  /** Returns a head that lacks only its last line end. */
  byte[] incompleteHead(String start) {
    return bytes(head(start));
  }

  /** Returns a head of at most a number of bytes that lacks only its last line end. */
  byte[] incompleteHead(String start, int maxBytes) {
    return bytes(start + fill(start.length() + MAX_HEAD_BYTES - maxBytes));
  }

  /** Returns a request of usual size whose trailers are as long as the limit allows. */
  byte[] incompleteTrailers(String start) {
    return bytes(start + "Transfer-Encoding: chunked\r\n\r\n0\r\n" + fill(0));
  }

  /** Returns several whole requests, to be sent at once on one connection. */
  byte[] pipelined(String start, String body) {
    return bytes((head(start) + HEAD_END + body).repeat(PIPELINED_REQUESTS));
  }

  private String head(String start) {
    return start + fill(start.length());
  }

  private String fill(int usedBytes) {
    StringBuilder lines = new StringBuilder();
    IntStream.iterate(0, index -> index + 1)
        .mapToObj(this::line)
        .takeWhile(
            text ->
                usedBytes + lines.length() + text.length() + HEAD_END.length() <= MAX_HEAD_BYTES)
        .forEach(lines::append);
    return lines.toString();
  }

  private static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.US_ASCII);
  }
}
