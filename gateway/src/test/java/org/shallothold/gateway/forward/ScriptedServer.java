package org.shallothold.gateway.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A backend server that answers each request by a script, byte for byte. */
final class ScriptedServer implements AutoCloseable {

  private final String id;
  private final Script script;
  private final ServerSocket socket;
  private final List<Request> requests = new CopyOnWriteArrayList<>();
  private final CountDownLatch callerGone = new CountDownLatch(1);

  /** What the server does with a request. */
  interface Script {
    void answer(Exchange exchange) throws IOException;
  }

  /**
   * A request as it arrived.
   *
   * @param head request line and fields
   */
  record Request(String head, String body) {

    String field(String name) {
      return head.lines()
          .filter(
              line -> line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
          .map(line -> line.substring(name.length() + 1).strip())
          .findFirst()
          .orElse("");
    }
  }

  /** One request and the connection that it came on. */
  record Exchange(Request request, Socket connection, OutputStream output) {

    void send(String text) throws IOException {
      output.write(text.getBytes(StandardCharsets.UTF_8));
      output.flush();
    }

    /** Sends a whole signed answer. */
    void answer(int status, String body) throws IOException {
      send(head(status, "X-Signed: s\r\nContent-Length: " + body.length()) + body);
    }

    /** Returns the head of an answer to this request. */
    String head(int status, String fields) {
      return "HTTP/1.1 "
          + status
          + " X\r\nX-Request: "
          + request.field("X-Request")
          + "\r\n"
          + (fields.isEmpty() ? "" : fields + "\r\n")
          + "\r\n";
    }

    /** Returns one chunk of a chunked body. */
    static String chunk(String text) {
      return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    void reset() throws IOException {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  private ScriptedServer(String id, Script script, ServerSocket socket) {
    this.id = id;
    this.script = script;
    this.socket = socket;
  }

  static ScriptedServer start(String id, Script script) throws IOException {
    ScriptedServer server =
        new ScriptedServer(id, script, new ServerSocket(0, 50, InetAddress.getLoopbackAddress()));
    Thread.ofVirtual().start(server::accept);
    return server;
  }

  String id() {
    return id;
  }

  int port() {
    return socket.getLocalPort();
  }

  List<Request> requests() {
    return requests;
  }

  /** Waits until a connection with a request under way was closed by the gateway. */
  void awaitCallerGone() throws InterruptedException {
    callerGone.await();
  }

  @Override
  public void close() throws IOException {
    socket.close();
  }

  private void accept() {
    while (!socket.isClosed()) {
      try {
        Socket connection = socket.accept();
        Thread.ofVirtual().start(() -> serve(connection));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket connection) {
    try (connection) {
      InputStream input = new BufferedInputStream(connection.getInputStream());
      String head = readHead(input);
      while (!head.isEmpty()) {
        Request request = new Request(head, "");
        String length = request.field("Content-Length");
        byte[] body = input.readNBytes(length.isEmpty() ? 0 : Integer.parseInt(length));
        request = new Request(head, new String(body, StandardCharsets.UTF_8));
        requests.add(request);
        script.answer(new Exchange(request, connection, connection.getOutputStream()));
        head = readHead(input);
      }
      callerGone.countDown();
    } catch (IOException e) {
      callerGone.countDown();
    }
  }

  private static String readHead(InputStream input) throws IOException {
    StringBuilder head = new StringBuilder();
    while (head.indexOf("\r\n\r\n") < 0) {
      int value = input.read();
      if (value < 0) {
        return "";
      }
      head.append((char) value);
    }
    return head.toString();
  }
}
