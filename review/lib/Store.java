import java.io.BufferedInputStream;
import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/** Stand-in for the platform's metadata store: ranges and watches, one revision counter. */
final class Store {

  private record Event(String key, byte[] value, long revision) {}

  private final RunRecord record;
  private final ServerSocket listener;
  private final Map<String, Event> items = new TreeMap<>();
  private final List<Event> events = new ArrayList<>();
  private final List<Socket> connections = new ArrayList<>();
  private long revision = 100;

  Store(RunRecord record) throws IOException {
    this.record = record;
    this.listener = new ServerSocket(0, 200, InetAddress.getByName("127.0.0.1"));
    Thread.ofVirtual().start(this::accept);
  }

  String address() {
    return "127.0.0.1:" + listener.getLocalPort();
  }

  /** Writes an item; the return is the store's acknowledgement. */
  synchronized long put(String key, String value) {
    Event event = new Event(key, Http.bytes(value), ++revision);
    items.put(key, event);
    events.add(event);
    notifyAll();
    record.add("store: revision " + revision + ", " + key + " = " + value);
    return revision;
  }

  synchronized long remove(String key) {
    items.remove(key);
    events.add(new Event(key, null, ++revision));
    notifyAll();
    record.add("store: revision " + revision + ", " + key + " removed");
    return revision;
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
      for (Http.Message call = Http.readRequest(in); call != null; call = Http.readRequest(in)) {
        byte[] body = Http.bytes(answer(call.target()));
        Http.write(
            socket,
            "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                + body.length
                + "\r\n\r\n",
            body);
      }
    } catch (IOException | InterruptedException e) {
      // The gateway has closed the connection.
    }
  }

  private String answer(String target) throws InterruptedException {
    Map<String, String> query = new TreeMap<>();
    int mark = target.indexOf('?');
    for (String pair : target.substring(mark + 1).split("&")) {
      int equals = pair.indexOf('=');
      query.put(
          pair.substring(0, equals),
          URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
    }
    String prefix = query.get("Prefix");
    return target.startsWith("/-/kv-range")
        ? range(prefix)
        : watch(
            prefix, Long.parseLong(query.get("After")), Long.parseLong(query.get("WaitMs")));
  }

  private synchronized String range(String prefix) {
    List<String> found = new ArrayList<>();
    for (Event item : items.values()) {
      if (item.key.startsWith(prefix)) {
        found.add(json(item));
      }
    }
    return "{\"Items\":["
        + String.join(",", found)
        + "],\"MorePages\":false,\"AsOf\":"
        + revision
        + "}";
  }

  private synchronized String watch(String prefix, long after, long waitMillis)
      throws InterruptedException {
    long endNanos = System.nanoTime() + waitMillis * 1_000_000;
    while (true) {
      List<String> found = new ArrayList<>();
      for (Event event : events) {
        if (event.revision > after && event.key.startsWith(prefix)) {
          found.add(json(event));
        }
      }
      long leftMillis = (endNanos - System.nanoTime()) / 1_000_000;
      if (!found.isEmpty() || leftMillis <= 0) {
        return "{\"events\":[" + String.join(",", found) + "],\"AsOf\":" + revision + "}";
      }
      wait(leftMillis);
    }
  }

  private static String json(Event event) {
    return event.value == null
        ? "{\"Key\":\"%s\",\"Revision\":%d,\"Removed\":true}".formatted(event.key, event.revision)
        : "{\"Key\":\"%s\",\"Value\":\"%s\",\"Revision\":%d,\"Created\":%d,\"Lease\":0}"
            .formatted(
                event.key,
                Base64.getEncoder().encodeToString(event.value),
                event.revision,
                event.revision);
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
