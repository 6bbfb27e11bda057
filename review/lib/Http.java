import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;

/** The small part of HTTP/1.1 that the stand-ins and clients of the review need. */
final class Http {

  /** A request or response. The start line and the header fields are kept as they arrived. */
  record Message(String startLine, List<String[]> fields, byte[] body, boolean complete) {

    String field(String name) {
      for (String[] field : fields) {
        if (field[0].equalsIgnoreCase(name)) {
          return field[1];
        }
      }
      return null;
    }

    String method() {
      return startLine.split(" ", 3)[0];
    }

    String target() {
      return startLine.split(" ", 3)[1];
    }

    int status() {
      return Integer.parseInt(startLine.split(" ", 3)[1]);
    }

    String text() {
      return new String(body, StandardCharsets.UTF_8);
    }
  }

  private Http() {}

  /** Reads one request; returns null if the connection ended before it began. */
  static Message readRequest(InputStream in) throws IOException {
    return read(in, false);
  }

  /**
   * Reads one response. A body that is cut short is returned as far as it came, with {@code
   * complete} false. Returns null if the connection ended before the response began.
   */
  static Message readResponse(InputStream in) throws IOException {
    return read(in, true);
  }

  private static Message read(InputStream in, boolean response) throws IOException {
    String startLine = line(in);
    if (startLine == null) {
      return null;
    }
    List<String[]> fields = new ArrayList<>();
    for (String text = line(in); text != null && !text.isEmpty(); text = line(in)) {
      int colon = text.indexOf(':');
      if (colon > 0) {
        fields.add(new String[] {text.substring(0, colon), text.substring(colon + 1).strip()});
      }
    }
    Message head = new Message(startLine, fields, new byte[0], true);
    String length = head.field("Content-Length");
    boolean chunked = "chunked".equalsIgnoreCase(head.field("Transfer-Encoding"));
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    boolean complete = true;
    try {
      if (chunked) {
        readChunks(in, body);
      } else if (length != null) {
        readFully(in, body, Long.parseLong(length));
      } else if (response) {
        in.transferTo(body);
      }
    } catch (IOException e) {
      complete = false;
    }
    return new Message(startLine, fields, body.toByteArray(), complete);
  }

  private static void readChunks(InputStream in, ByteArrayOutputStream body) throws IOException {
    while (true) {
      String size = line(in);
      if (size == null) {
        throw new EOFException();
      }
      int bytes = Integer.parseInt(size.strip(), 16);
      readFully(in, body, bytes);
      if (line(in) == null) {
        throw new EOFException();
      }
      if (bytes == 0) {
        return;
      }
    }
  }

  private static void readFully(InputStream in, ByteArrayOutputStream body, long bytes)
      throws IOException {
    byte[] buffer = new byte[8_192];
    for (long left = bytes; left > 0; ) {
      int read = in.read(buffer, 0, (int) Math.min(buffer.length, left));
      if (read < 0) {
        throw new EOFException();
      }
      body.write(buffer, 0, read);
      left -= read;
    }
  }

  /** Reads a line without its end; returns null at the end of the connection. */
  private static String line(InputStream in) throws IOException {
    ByteArrayOutputStream bytes = new ByteArrayOutputStream();
    for (int next = in.read(); next >= 0; next = in.read()) {
      if (next == '\n') {
        String text = bytes.toString(StandardCharsets.ISO_8859_1);
        return text.endsWith("\r") ? text.substring(0, text.length() - 1) : text;
      }
      bytes.write(next);
    }
    return bytes.size() == 0 ? null : bytes.toString(StandardCharsets.ISO_8859_1);
  }

  static void write(Socket socket, String head, byte[] body) throws IOException {
    byte[] headBytes = head.getBytes(StandardCharsets.ISO_8859_1);
    byte[] all = new byte[headBytes.length + body.length];
    System.arraycopy(headBytes, 0, all, 0, headBytes.length);
    System.arraycopy(body, 0, all, headBytes.length, body.length);
    socket.getOutputStream().write(all);
    socket.getOutputStream().flush();
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.UTF_8);
  }
}
