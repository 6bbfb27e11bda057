import java.io.InputStream;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.net.StandardSocketOptions;
import java.util.List;

/**
 * A gateway gets SIGTERM while a caller does not read its long answer for a while. The gateway ends
 * before it has written the answer whole.
 */
final class SlowReader {

  private static final int ANSWER_BYTES = 8_000_000;
  private static final long DEADLINE_MILLIS = 10_000;
  // The caller reads nothing for so long.
  private static final long PAUSE_MILLIS = 4_000;

  public static void main(String[] arguments) {
    Lab.main(arguments[0], SlowReader::run);
  }

  private static boolean run(Lab lab) throws Exception {
    Engine reports = lab.engine("i-7f3a91c2", "reports");
    String answer = "0123456789".repeat(ANSWER_BYTES / 10);
    reports.handler = (request, socket) -> reports.answer(request, socket, 200, "", answer);
    lab.store.put(
        "op/config",
        new Config(7).service("reports").route("/reports/", "safe", "reports", 10_000, 2).json());
    lab.store.put("servers/" + reports.id, reports.entry("ready", 1));
    Gateway gateway = lab.gateways(2).get(0);
    String id = lab.newAttemptId();
    long received = 0;
    long expected = -1;
    try (Socket socket = new Socket()) {
      socket.setOption(StandardSocketOptions.SO_RCVBUF, 16_384);
      socket.connect(new InetSocketAddress(gateway.host, gateway.frontPort));
      socket.setSoTimeout(20_000);
      lab.record.add("client: sends " + id + ", GET /reports/1, to " + gateway.name);
      Http.write(socket, lab.head("GET", "/reports/1", id, DEADLINE_MILLIS, ""), new byte[0]);
      long sentMillis = lab.record.millis();
      Thread.sleep(500);
      if (lab.trouble) {
        gateway.signal("TERM");
        lab.record.add("SIGTERM to " + gateway.name);
      }
      Thread.sleep(PAUSE_MILLIS);
      InputStream in = socket.getInputStream();
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        head.append((char) in.read());
      }
      lab.record.add("client: " + head.toString().strip().replace("\r\n", " | "));
      int at = head.toString().toLowerCase(java.util.Locale.ROOT).indexOf("content-length: ") + 16;
      expected = Long.parseLong(head.substring(at, head.indexOf("\r\n", at)));
      byte[] buffer = new byte[20_000];
      try {
        while (received < expected) {
          int read = in.read(buffer);
          if (read < 0) {
            break;
          }
          received += read;
        }
      } catch (java.io.IOException e) {
        lab.record.add("client: " + e);
      }
      lab.record.add(
          "client: has %d of %d bytes %d ms after it sent the request"
              .formatted(received, expected, lab.record.millis() - sentMillis));
    }
    return received < expected;
  }
}
