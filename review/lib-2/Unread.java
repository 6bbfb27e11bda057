import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.concurrent.atomic.AtomicLong;

/**
 * A client that nobody controls sends small requests one after the other on four connections and
 * reads no answer. With TROUBLE=0 it sends the same and reads.
 */
final class Unread {

  private static final int CONNECTIONS = 4;
  private static final int REQUESTS_PER_SECOND = 8_000;
  private static final long FLOOD_MILLIS = 80_000;
  private static final long MAX_GAP_MILLIS = 15_000;
  private static final long MEMORY_MB = 430;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    lab.engine("models", 64, Lab.stream(5, 30, 5));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.startGateways(2);
    lab.awaitReady(20_000);
    Lab.Gateway gateway = lab.gateways.get(0);
    Lab.OrdinaryCaller caller = new Lab.OrdinaryCaller(lab, gateway, 250);
    Lab.sleep(3_000);

    AtomicLong sent = new AtomicLong();
    AtomicLong read = new AtomicLong();
    lab.note(
        CONNECTIONS + " connections send " + REQUESTS_PER_SECOND + " requests a second; answers are "
            + (lab.trouble ? "not read" : "read"));
    long start = lab.millis();
    for (int i = 0; i < CONNECTIONS; i++) {
      int number = i;
      Thread.ofPlatform().daemon().start(() -> flood(lab, gateway, number, start, sent, read));
    }
    String broken = "";
    long mostMegabytes = 0;
    for (int second = 0; lab.millis() - start < FLOOD_MILLIS && gateway.process.isAlive(); second++) {
      Lab.sleep(500);
      long megabytes = gateway.residentMegabytes();
      mostMegabytes = Math.max(mostMegabytes, megabytes);
      if (second % 10 == 0) {
        lab.note(
            "requests sent " + sent + ", answer bytes read " + read + ", resident " + megabytes
                + " MB, ordinary calls served " + caller.served + ", not served " + caller.failed);
      }
      if (broken.isEmpty() && megabytes > MEMORY_MB) {
        broken = "the process needs more than the memory of its machine: " + megabytes + " MB; ";
        lab.note(broken);
      }
      if (broken.isEmpty() && caller.gapMillis() > MAX_GAP_MILLIS) {
        broken = "no ordinary call was served for " + MAX_GAP_MILLIS + " ms; ";
        lab.note(broken);
      }
    }
    if (!gateway.process.isAlive()) {
      broken += "the process ended by itself, exit code " + gateway.process.exitValue();
    }
    lab.note("requests sent " + sent + ", answer bytes read " + read + ", most resident " + mostMegabytes + " MB");
    lab.note(caller.stop());
    lab.note("last lines of the gateway's log:\n" + gateway.logTail(2));
    lab.finish(broken.isEmpty() ? 0 : 1, broken.isEmpty() ? "held" : broken);
  }

  private static void flood(
      Lab lab, Lab.Gateway gateway, int number, long start, AtomicLong sent, AtomicLong read) {
    try (Socket socket = new Socket()) {
      socket.setReceiveBufferSize(16 * 1024);
      // An address of its own, as of another caller.
      socket.bind(new InetSocketAddress(InetAddress.getByName(lab.network + (60 + number)), 0));
      socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1_000);
      byte[] request = Lab.bytes("GET /none/ HTTP/1.1\r\nHost: " + Lab.HOST + "\r\n\r\n");
      if (!lab.trouble) {
        Thread.ofPlatform()
            .daemon()
            .start(
                () -> {
                  byte[] buffer = new byte[64 * 1024];
                  try {
                    for (int n = 0; n >= 0; n = socket.getInputStream().read(buffer)) {
                      read.addAndGet(n);
                    }
                  } catch (IOException e) {
                    // The connection has ended.
                  }
                });
      }
      long own = 0;
      while (true) {
        long due = (lab.millis() - start) * REQUESTS_PER_SECOND / CONNECTIONS / 1_000;
        for (; own < due; own++) {
          socket.getOutputStream().write(request);
          sent.incrementAndGet();
        }
        Lab.sleep(5);
      }
    } catch (IOException e) {
      lab.note("a connection of the client ended: " + e.getMessage());
    }
  }
}
