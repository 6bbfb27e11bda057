import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * A client that nobody controls sends prompts whose Prompt-Prefix lists some thousand short parts,
 * in heads below MaxHeaderBytes. With TROUBLE=0 it sends as many requests of the same size, with
 * three parts.
 */
final class Parts {

  private static final long INTERVAL_MILLIS = 25;
  private static final long HOSTILE_MILLIS = 75_000;
  private static final long AFTER_MILLIS = 10_000;
  private static final long MAX_GAP_MILLIS = 15_000;
  private static final long MEMORY_MB = 430;
  // Request line and header lines stay below the limit of 16,384 bytes.
  private static final int HEAD_BYTES = 16_000;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    for (int i = 0; i < 13; i++) {
      lab.engine("models", 64, Lab.stream(5, 30, 5));
    }
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.engine("desk", 6, Lab.plain(20, 800));
    lab.startGateways(2);
    lab.awaitReady(20_000);
    Lab.Gateway gateway = lab.gateways.get(0);
    Lab.OrdinaryCaller caller = new Lab.OrdinaryCaller(lab, gateway, 250);
    Lab.sleep(3_000);

    Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
    long start = lab.millis();
    long most = 0;
    String broken = "";
    int sent = 0;
    long nextNote = start;
    while (lab.millis() - start < HOSTILE_MILLIS + AFTER_MILLIS && gateway.process.isAlive()) {
      boolean hostile = lab.millis() - start < HOSTILE_MILLIS;
      if (hostile) {
        sent++;
        Thread.ofVirtual().start(() -> send(lab, gateway, outcomes));
      }
      Lab.sleep(INTERVAL_MILLIS);
      long megabytes = gateway.residentMegabytes();
      most = Math.max(most, megabytes);
      if (broken.isEmpty() && megabytes > MEMORY_MB) {
        broken = "the process needs more than the memory of its machine; ";
        lab.note(broken);
      }
      if (broken.isEmpty() && caller.gapMillis() > MAX_GAP_MILLIS) {
        broken = "no ordinary call was served for " + MAX_GAP_MILLIS + " ms; ";
        lab.note(broken);
      }
      if (lab.millis() >= nextNote) {
        nextNote += 5_000;
        lab.note(
            (hostile ? "" : "(the client has stopped) ") + "prompts sent " + sent + " " + outcomes
                + ", resident " + megabytes + " MB, ordinary calls served " + caller.served
                + ", not served " + caller.failed);
      }
    }
    if (!gateway.process.isAlive()) {
      broken += "the process ended by itself, exit code " + gateway.process.exitValue();
    }
    lab.note("prompts sent " + sent + " " + outcomes + ", most resident " + most + " MB");
    lab.note(caller.stop());
    lab.note("last line of the gateway's log:\n" + gateway.logTail(1));
    lab.finish(broken.isEmpty() ? 0 : 1, broken.isEmpty() ? "held" : broken);
  }

  private static void send(Lab lab, Lab.Gateway gateway, Map<String, Integer> outcomes) {
    StringBuilder parts = new StringBuilder(Lab.hex()).append(lab.trouble ? ":1" : ":700");
    StringBuilder rest = new StringBuilder();
    if (lab.trouble) {
      while (parts.length() < HEAD_BYTES - 300) {
        parts.append(",0:1");
      }
    } else {
      parts.append(",").append(Lab.hex()).append(":800,").append(Lab.hex()).append(":2400");
      rest.append("Note: ").append("x".repeat(HEAD_BYTES - 300 - parts.length())).append("\r\n");
    }
    String outcome;
    try (Socket socket = new Socket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(lab.network + "60"), 0));
      socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1_000);
      socket.setSoTimeout(9_000);
      socket
          .getOutputStream()
          .write(
              Lab.request(
                  "POST",
                  "/draft/1",
                  Lab.hex(),
                  "Deadline-Ms: 8000\r\nModel: m\r\nToken-Usage: 3900,25\r\nPrompt-Prefix: " + parts
                      + "\r\n" + rest,
                  new byte[0]));
      var in = new java.io.BufferedInputStream(socket.getInputStream());
      Lab.Message answer = Lab.readHead(in);
      if (answer == null) {
        throw new IOException("closed");
      }
      Lab.readBody(in, answer, true);
      outcome = Integer.toString(answer.status());
    } catch (IOException e) {
      outcome = e.getClass().getSimpleName();
    }
    outcomes.merge(outcome, 1, Integer::sum);
  }
}
