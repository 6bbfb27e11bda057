import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.channels.SocketChannel;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * A client that nobody controls keeps as many connections as the machine has descriptors and sends a
 * small request on each of them now and then, within the idle timeout. With TROUBLE=0 it sends as
 * many requests on 100 connections.
 */
final class Sockets {

  // As in the settings of the machine: 200 of them are for files.
  private static final int DESCRIPTORS = 4_100;
  private static final int CONNECTIONS = 4_200;
  // Four fifths of IdleTimeoutMs would be 12 s.
  private static final long ROUND_MILLIS = 10_000;
  private static final long HOSTILE_MILLIS = 50_000;
  private static final long MAX_GAP_MILLIS = 20_000;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    lab.engine("models", 64, Lab.stream(5, 30, 5));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.startGateways(2, DESCRIPTORS);
    lab.awaitReady(20_000);
    Lab.Gateway gateway = lab.gateways.get(0);
    Lab.OrdinaryCaller caller = new Lab.OrdinaryCaller(lab, gateway, 250);
    Lab.sleep(3_000);

    int wanted = lab.trouble ? CONNECTIONS : 100;
    long start = lab.millis();
    List<SocketChannel> open = new ArrayList<>();
    ByteBuffer request =
        ByteBuffer.wrap(Lab.bytes("GET /none/ HTTP/1.1\r\nHost: " + Lab.HOST + "\r\n\r\n"));
    ByteBuffer answers = ByteBuffer.allocate(64 * 1024);
    long sent = 0;
    boolean broken = false;
    long nextNote = start;
    while (lab.millis() - start < HOSTILE_MILLIS) {
      // New connections come gradually, and in place of closed ones.
      for (int i = 0; i < 20 && open.size() < wanted; i++) {
        SocketChannel channel = connect(lab, gateway);
        if (channel == null) {
          break;
        }
        open.add(channel);
      }
      // CONNECTIONS requests a round, whatever the number of connections.
      long due = (lab.millis() - start) * CONNECTIONS / ROUND_MILLIS;
      for (; sent < due && !open.isEmpty(); sent++) {
        int index = (int) (sent % open.size());
        SocketChannel channel = open.get(index);
        try {
          answers.clear();
          if (channel.read(answers) < 0) {
            throw new IOException("closed");
          }
          channel.write(request.duplicate());
        } catch (IOException e) {
          channel.close();
          open.remove(index);
        }
      }
      broken |= caller.gapMillis() > MAX_GAP_MILLIS || !gateway.process.isAlive();
      if (lab.millis() >= nextNote) {
        nextNote += 5_000;
        lab.note(
            "connections " + open.size() + ", requests sent on them " + sent
                + ", ordinary calls served " + caller.served + ", not served " + caller.failed
                + ", resident " + gateway.residentMegabytes() + " MB");
      }
      Lab.sleep(5);
    }
    lab.note(caller.stop());
    for (SocketChannel channel : open) {
      channel.close();
    }
    lab.finish(
        broken ? 1 : 0,
        broken ? "no ordinary call was served for " + MAX_GAP_MILLIS + " ms" : "held");
  }

  private static SocketChannel connect(Lab lab, Lab.Gateway gateway) {
    try {
      SocketChannel channel = SocketChannel.open();
      channel.bind(new InetSocketAddress(InetAddress.getByName(lab.network + "60"), 0));
      Socket socket = channel.socket();
      socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 300);
      channel.configureBlocking(false);
      return channel;
    } catch (IOException e) {
      return null;
    }
  }
}
