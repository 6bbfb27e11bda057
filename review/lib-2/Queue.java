import java.io.IOException;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.file.Path;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;

/**
 * More prompts come than the engines can read, and each lists some thousand short parts, in a head
 * below MaxHeaderBytes. With TROUBLE=0 as many prompts of the same size come, with two parts each.
 */
final class Queue {

  private static final int PROMPTS_PER_SECOND = 60;
  private static final int PROMPT_TOKENS = 53_000;
  // Of the engines of the pages: prompt tokens that one reads in a millisecond.
  private static final double TOKENS_PER_MILLI = 61.8;
  private static final long HOSTILE_MILLIS = 40_000;
  private static final long AFTER_MILLIS = 20_000;
  private static final long MAX_GAP_MILLIS = 15_000;
  // Request line and header lines stay below the limit of 16,384 bytes.
  private static final int HEAD_BYTES = 16_000;

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    for (int i = 0; i < 32; i++) {
      lab.engine("models", 64, Lab.stream(25, (long) (PROMPT_TOKENS / TOKENS_PER_MILLI), 10));
    }
    for (int i = 0; i < 4; i++) {
      lab.engine("desk", 6, Lab.plain(20, 800));
    }
    lab.startGateways(2);
    lab.awaitReady(20_000);
    Lab.Gateway gateway = lab.gateways.get(0);
    Lab.OrdinaryCaller caller = new Lab.OrdinaryCaller(lab, gateway, 250);
    Lab.sleep(3_000);

    StringBuilder fields =
        new StringBuilder("Deadline-Ms: 8000\r\nModel: m\r\nToken-Usage: " + PROMPT_TOKENS + ",125\r\n");
    fields.append("Prompt-Prefix: abcdef0123:1");
    if (!lab.trouble) {
      fields.append(",b:2000\r\nNote: x");
    }
    while (fields.length() < HEAD_BYTES - 300) {
      fields.append(lab.trouble ? ",0:1" : ",0.1");
    }
    fields.append("\r\n");
    Map<String, Integer> outcomes = new ConcurrentSkipListMap<>();
    long start = lab.millis();
    int sent = 0;
    long nextNote = start;
    boolean broken = false;
    while (lab.millis() - start < HOSTILE_MILLIS + AFTER_MILLIS) {
      boolean hostile = lab.millis() - start < HOSTILE_MILLIS;
      if (hostile && sent * 1_000L / PROMPTS_PER_SECOND < lab.millis() - start) {
        sent++;
        Thread.ofVirtual().start(() -> send(lab, gateway, fields.toString(), outcomes));
      } else {
        Lab.sleep(2);
      }
      if (!broken && (caller.gapMillis() > MAX_GAP_MILLIS || !gateway.process.isAlive())) {
        broken = true;
        lab.note("no ordinary call was served for " + MAX_GAP_MILLIS + " ms");
      }
      if (lab.millis() >= nextNote) {
        nextNote += 5_000;
        lab.note(
            (hostile ? "" : "(no more prompts come) ") + "prompts sent " + sent + " " + outcomes
                + ", ordinary calls served " + caller.served + ", not served " + caller.failed);
      }
    }
    lab.note("prompts sent " + sent + " " + outcomes);
    lab.note(caller.stop());
    lab.finish(
        broken ? 1 : 0,
        broken ? "no ordinary call was served for " + MAX_GAP_MILLIS + " ms" : "held");
  }

  private static void send(
      Lab lab, Lab.Gateway gateway, String fields, Map<String, Integer> outcomes) {
    String outcome;
    try (Socket socket = new Socket()) {
      socket.bind(new InetSocketAddress(InetAddress.getByName(lab.network + "60"), 0));
      socket.connect(new InetSocketAddress(gateway.ip, gateway.front), 1_000);
      socket.setSoTimeout(8_000);
      socket
          .getOutputStream()
          .write(Lab.request("POST", "/draft/1", Lab.hex(), fields, new byte[0]));
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
