import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;

/**
 * Stand-in for an engine. It runs what it is sent, except that it answers 421 to a request that
 * expects another instance.
 */
final class Engine {

  /** A request that this engine ran. */
  record Run(long millis, String attemptId, Http.Message request) {}

  /** Answers a request that the engine runs. */
  interface Handler {
    void handle(Http.Message request, Socket socket) throws IOException, InterruptedException;
  }

  final String id;
  final String service;
  final long born;
  final List<Run> runs = new CopyOnWriteArrayList<>();
  private final RunRecord record;
  private final ServerSocket listener;
  private final List<Socket> connections = new ArrayList<>();
  volatile Handler handler;

  Engine(RunRecord record, String id, String service) throws IOException {
    this.record = record;
    this.id = id;
    this.service = service;
    this.born = System.currentTimeMillis();
    this.handler = (request, socket) -> answer(request, socket, 200, id + " done");
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Returns the engine's own entry in the store. */
  String entry(String state, int sequence) {
    return ("{\"Service\":\"%s\",\"Address\":\"%s\",\"Zone\":\"zone-a\",\"Version\":\"v1\","
            + "\"Slots\":6,\"State\":\"%s\",\"ColdRemainingMs\":0,\"Sequence\":%d,\"born\":%d}")
        .formatted(service, address(), state, sequence, born);
  }

  void answer(Http.Message request, Socket socket, int status, String body)
      throws IOException {
    byte[] bytes = Http.bytes(body);
    Http.write(
        socket,
        "HTTP/1.1 %d X\r\nAttempt-Id: %s\r\nResponse-Signature: sig.%s.%s\r\nContent-Length: %d\r\n\r\n"
            .formatted(
                status,
                request.field("Attempt-Id"),
                id,
                request.field("Attempt-Id"),
                bytes.length),
        bytes);
  }

  private void accept() {
    while (true) {
      try {
        Socket socket = listener.accept();
        socket.setTcpNoDelay(true);
        synchronized (connections) {
          connections.add(socket);
        }
        Thread.ofVirtual().start(() -> serve(socket));
      } catch (IOException e) {
        return;
      }
    }
  }

  private void serve(Socket socket) {
    try (socket) {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message request = Http.readRequest(in);
          request != null;
          request = Http.readRequest(in)) {
        String expected = request.field("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
          record.add(
              "%s: 421 to %s, which expects %s"
                  .formatted(id, request.field("Attempt-Id"), expected));
          Http.write(
              socket,
              ("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
                      + "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n")
                  .formatted(request.field("Attempt-Id"), id),
              new byte[0]);
          continue;
        }
        String attemptId = request.field("Attempt-Id");
        runs.add(new Run(record.millis(), attemptId, request));
        record.add(
            "%s (service %s): runs %s, %s".formatted(id, service, attemptId, request.startLine()));
        handler.handle(request, socket);
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has closed the connection.
    }
  }

  void close() throws IOException {
    listener.close();
    synchronized (connections) {
      for (Socket socket : connections) {
        socket.close();
      }
    }
  }
}
