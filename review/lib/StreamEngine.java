import java.io.BufferedInputStream;
import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.util.ArrayList;
import java.util.List;

/**
 * Stand-in for a model engine, as a process of its own. It makes the events of all its streams in
 * steps, as a batch. Its streams have neither a length nor chunks and end with their connection.
 * Arguments: id, events of a stream, milliseconds of a step. Writes its port and then a line for
 * each run to standard output. A line "drain" on standard input makes it say that it leaves, and
 * "exit" ends it.
 */
final class StreamEngine {

  private static final class Stream {
    private final Socket socket;
    private final String attemptId;
    private int sent;

    private Stream(Socket socket, String attemptId, int sent) {
      this.socket = socket;
      this.attemptId = attemptId;
      this.sent = sent;
    }
  }

  private static final List<Stream> STREAMS = new ArrayList<>();
  private static volatile boolean leaving;

  private StreamEngine() {}

  public static void main(String[] arguments) throws Exception {
    String id = arguments[0];
    int events = Integer.parseInt(arguments[1]);
    long stepMillis = Long.parseLong(arguments[2]);
    ServerSocket listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    System.out.println("PORT " + listener.getLocalPort());
    Thread.ofPlatform().daemon().start(() -> step(events, stepMillis));
    Thread.ofPlatform()
        .daemon()
        .start(
            () -> {
              while (true) {
                try {
                  Socket socket = listener.accept();
                  socket.setTcpNoDelay(true);
                  Thread.ofVirtual().start(() -> serve(id, events, socket));
                } catch (IOException e) {
                  return;
                }
              }
            });
    BufferedReader commands = new BufferedReader(new InputStreamReader(System.in));
    for (String line = commands.readLine(); line != null; line = commands.readLine()) {
      if (line.equals("drain")) {
        leaving = true;
      }
      if (line.equals("exit")) {
        break;
      }
    }
    System.exit(0);
  }

  private static void serve(String id, int events, Socket socket) {
    try {
      BufferedInputStream in = new BufferedInputStream(socket.getInputStream());
      for (Http.Message request = Http.readRequest(in);
          request != null;
          request = Http.readRequest(in)) {
        String attemptId = request.field("Attempt-Id");
        String expected = request.field("Expected-Instance");
        if (expected != null && !expected.equals(id)) {
          Http.write(
              socket,
              ("HTTP/1.1 421 Misdirected Request\r\nAttempt-Id: %s\r\nNot-Executed: 1\r\n"
                      + "Instance-Id: %s\r\nContent-Length: 0\r\n\r\n")
                  .formatted(attemptId, id),
              new byte[0]);
          continue;
        }
        String last = request.field("Last-Event-Id");
        int sent = last == null ? 0 : Integer.parseInt(last);
        System.out.println("runs " + attemptId + " after event " + sent);
        Http.write(
            socket,
            ("HTTP/1.1 200 OK\r\nAttempt-Id: %s\r\nResponse-Signature: sig.%s.%s\r\n"
                    + "Weight-Versions: 1\r\n%sContent-Type: text/event-stream\r\n"
                    + "Connection: close\r\n\r\n")
                .formatted(attemptId, id, attemptId, leaving ? "Server-Leaving: 1\r\n" : ""),
            new byte[0]);
        synchronized (STREAMS) {
          STREAMS.add(new Stream(socket, attemptId, sent));
        }
        return;
      }
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
  }

  private static void step(int events, long stepMillis) {
    while (true) {
      synchronized (STREAMS) {
        STREAMS.removeIf(stream -> endsInStep(stream, events));
      }
      try {
        Thread.sleep(stepMillis);
      } catch (InterruptedException e) {
        return;
      }
    }
  }

  private static boolean endsInStep(Stream stream, int events) {
    try {
      stream.sent++;
      Http.write(
          stream.socket,
          "id: %d\ndata: piece %d of %d of %s\n\n"
              .formatted(stream.sent, stream.sent, events, stream.attemptId),
          new byte[0]);
      if (stream.sent < events) {
        return false;
      }
      System.out.println("completes " + stream.attemptId);
      stream.socket.close();
    } catch (IOException e) {
      // The gateway has closed the connection.
    }
    return true;
  }
}
