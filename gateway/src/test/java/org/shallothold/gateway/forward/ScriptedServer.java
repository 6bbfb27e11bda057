package org.shallothold.gateway.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.ConnectException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.time.Duration;
import java.util.List;
import java.util.Locale;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;

/** A backend server whose script writes the bytes of each response. */
final class ScriptedServer implements AutoCloseable {

  private static final int MAX_REFUSAL_CHECKS = 500;
  private static final int UNREAD_BUFFER_BYTES = 4 * 1024;
  private static final Duration REFUSAL_CHECK_INTERVAL = Duration.ofMillis(10);

  private final String id;
  private final Script script;
  private final boolean readsBodies;
  private final int port;
  private final Set<Socket> connections = ConcurrentHashMap.newKeySet();
  private volatile ServerSocket socket;
  private volatile boolean closed;
  private final List<Request> requests = new CopyOnWriteArrayList<>();
  private final CountDownLatch connectionClosed = new CountDownLatch(1);

  /** Handles the requests of a server. */
  interface Script {
    void handle(Exchange exchange) throws IOException;
  }

  /**
   * A received request.
   *
   * @param head request line and header fields
   * @param body whole body, decoded as UTF-8
   */
  record Request(String head, String body) {

    /** Returns the value of a header field; an empty string if it is absent. */
    String header(String name) {
      return head.lines()
          .filter(
              line -> line.toLowerCase(Locale.ROOT).startsWith(name.toLowerCase(Locale.ROOT) + ":"))
          .map(line -> line.substring(name.length() + 1).strip())
          .findFirst()
          .orElse("");
    }
  }

  /** A request and the connection on which it arrived. */
  record Exchange(Request request, Socket connection, OutputStream output) {

    void send(String text) throws IOException {
      output.write(text.getBytes(StandardCharsets.UTF_8));
      output.flush();
    }

    /** Sends a complete signed response. */
    void respond(int status, String body) throws IOException {
      send(head(status, "X-Signed: s\r\nContent-Length: " + body.length()) + body);
    }

    /**
     * Returns the head of a response to this request.
     *
     * @param headers further header fields, separated by CRLF
     */
    String head(int status, String headers) {
      return "HTTP/1.1 "
          + status
          + " X\r\nX-Request: "
          + request.header("X-Request")
          + "\r\n"
          + (headers.isEmpty() ? "" : headers + "\r\n")
          + "\r\n";
    }

    /** Returns one chunk of a chunked body. */
    static String chunk(String text) {
      return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    /** Closes the connection with a TCP reset. */
    void reset() throws IOException {
      connection.setSoLinger(true, 0);
      connection.close();
    }
  }

  private ScriptedServer(String id, Script script, ServerSocket socket, boolean readsBodies) {
    this.readsBodies = readsBodies;
    this.id = id;
    this.script = script;
    this.socket = socket;
    this.port = socket.getLocalPort();
  }

  static ScriptedServer start(String id, Script script) throws IOException {
    return start(id, script, true);
  }

  /** Starts a server that runs its script when it has read the head of a request. */
  static ScriptedServer startBeforeBodies(String id, Script script) throws IOException {
    return start(id, script, false);
  }

  private static ScriptedServer start(String id, Script script, boolean readsBodies)
      throws IOException {
    ServerSocket socket = new ServerSocket();
    if (!readsBodies) {
      // Long requests stay unwritten at the gateway.
      socket.setReceiveBufferSize(UNREAD_BUFFER_BYTES);
    }
    socket.bind(new InetSocketAddress(InetAddress.getLoopbackAddress(), 0), 50);
    ScriptedServer server = new ScriptedServer(id, script, socket, readsBodies);
    Thread.ofVirtual().start(() -> server.accept(server.socket));
    return server;
  }

  String id() {
    return id;
  }

  int port() {
    return port;
  }

  /**
   * Closes the listening socket and all connections, as a process that ends, and accepts
   * connections again after a time.
   */
  void end(Duration downTime) throws IOException {
    end(downTime, Duration.ZERO);
  }

  /**
   * Closes all connections, goes on accepting others for a time, and then closes these and the
   * listening socket; accepts connections again after a further time.
   */
  synchronized void end(Duration downTime, Duration acceptTime) throws IOException {
    if (acceptTime.isPositive()) {
      closeConnections();
      pause(acceptTime);
    }
    socket.close();
    closeConnections();
    Thread.ofVirtual().start(() -> restart(downTime));
  }

  /**
   * Waits until the closed server's port refuses connections: the operating system completes
   * connections until the thread that accepts them has ended.
   */
  void awaitRefusal() throws IOException {
    for (int i = 0; i < MAX_REFUSAL_CHECKS; i++) {
      try {
        new Socket(InetAddress.getLoopbackAddress(), port).close();
        pause(REFUSAL_CHECK_INTERVAL);
      } catch (ConnectException e) {
        return;
      }
    }
    throw new IOException("port " + port + " still accepts connections");
  }

  private void closeConnections() throws IOException {
    for (Socket connection : connections) {
      connection.close();
    }
  }

  private static void pause(Duration time) throws IOException {
    try {
      Thread.sleep(time);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void restart(Duration downTime) {
    try {
      Thread.sleep(downTime);
      if (!closed) {
        socket = new ServerSocket(port, 50, InetAddress.getLoopbackAddress());
        accept(socket);
      }
    } catch (IOException | InterruptedException e) {
      throw new IllegalStateException("the server " + id + " can't start again", e);
    }
  }

  List<Request> requests() {
    return requests;
  }

  /** Waits until a connection was closed by the gateway after a request. */
  void awaitConnectionClosed() throws InterruptedException {
    connectionClosed.await();
  }

  @Override
  public void close() throws IOException {
    closed = true;
    socket.close();
  }

  private void accept(ServerSocket listener) {
    while (!listener.isClosed()) {
      try {
        Socket connection = listener.accept();
        connection.setTcpNoDelay(true);
        connections.add(connection);
        // An end that closed the others before this one was added has not closed it.
        if (listener.isClosed()) {
          connections.remove(connection);
          connection.close();
          return;
        }
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
        String length = request.header("Content-Length");
        byte[] body =
            input.readNBytes(length.isEmpty() || !readsBodies ? 0 : Integer.parseInt(length));
        request = new Request(head, new String(body, StandardCharsets.UTF_8));
        requests.add(request);
        script.handle(new Exchange(request, connection, connection.getOutputStream()));
        head = readHead(input);
      }
      connectionClosed.countDown();
    } catch (IOException e) {
      connectionClosed.countDown();
    } finally {
      connections.remove(connection);
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
