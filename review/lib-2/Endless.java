import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentSkipListMap;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;

/**
 * Two of four engines are in trouble: behind the sound beginning of an answer they send bytes that
 * are none, without end, until the connection is closed. With TROUBLE=0 all answers are sound. Callers of
 * other engines and of another service must get answers.
 */
final class Endless {

  private static final long TROUBLE_MILLIS = 40_000;
  private static final long STREAM_INTERVAL_MILLIS = 50;
  // Half of the engines and 3 in 100 of their answers, as in the users' days with spoiled answers.
  private static final int ENGINES_IN_TROUBLE = 2;
  private static final int SPOILED_EVERY = 33;
  private static final int EVENTS = 12;
  private static final int DEADLINE_MILLIS = 8_000;
  // 64 Mbit/s; the links of the pages have 1,000 Mbit/s.
  private static final int BYTES_PER_MILLI = 8_000;

  private static final Map<Lab.Engine, AtomicInteger> ANSWERS = new LinkedHashMap<>();
  private static final AtomicInteger spoiled = new AtomicInteger();
  private static final AtomicLong endlessBytes = new AtomicLong();

  public static void main(String[] arguments) throws Exception {
    Lab lab = new Lab(Path.of(arguments[0]), Path.of(arguments[1]));
    lab.configure(7, Lab.DRAFT, Lab.SHEET, Lab.ORDER, Lab.STOCK);
    Lab.Behavior sound = Lab.stream(EVENTS, 20, 10);
    for (int i = 0; i < 4; i++) {
      lab.engine(
          "models",
          64,
          (engine, connection, request) -> {
            if (lab.trouble && isSpoiled(engine)) {
              sendWithoutEnd(lab, engine, connection, request);
            } else {
              sound.handle(engine, connection, request);
            }
          });
    }
    for (int i = 0; i < 3; i++) {
      lab.engine("desk", 6, Lab.plain(20, 800));
    }
    lab.startGateways(2);
    lab.awaitReady(20_000);
    Lab.Gateway gateway = lab.gateways.get(0);
    List<Lab.OrdinaryCaller> callers = new ArrayList<>();
    for (int i = 0; i < 4; i++) {
      callers.add(new Lab.OrdinaryCaller(lab, gateway, 250));
    }
    Map<String, Integer> streams = new ConcurrentSkipListMap<>();
    long start = lab.millis();
    long nextNote = start;
    for (int i = 0; lab.millis() - start < TROUBLE_MILLIS; i++) {
      Thread.ofVirtual().start(() -> stream(lab, gateway, streams));
      Lab.sleep(STREAM_INTERVAL_MILLIS);
      if (lab.millis() >= nextNote) {
        nextNote += 5_000;
        lab.note(
            "answers without end " + spoiled + ", their bytes " + endlessBytes + ", streams "
                + streams + ", calls of the other service served "
                + callers.stream().mapToInt(caller -> caller.served).sum() + ", not served "
                + callers.stream().mapToInt(caller -> caller.failed).sum() + ", resident " + gateway.residentMegabytes()
                + " MB");
      }
    }
    lab.note("answers without end " + spoiled + ", their bytes " + endlessBytes + ", streams " + streams);
    int unanswered = 0;
    int late = 0;
    for (Lab.OrdinaryCaller caller : callers) {
      lab.note(caller.stop());
      unanswered += caller.outcomes.getOrDefault("SocketTimeoutException", 0);
      late += caller.failed;
    }
    lab.note(
        "calls of the other service without any answer 0.5 s after their route's TimeoutMs: "
            + unanswered + " of " + late + " that were not served in time");
    if (lab.trouble && spoiled.get() == 0) {
      lab.finish(2, "no answer without end was sent");
    }
    // CONFIG: eight or more of them, and over a quarter (more than half in the other form).
    boolean broken = !gateway.process.isAlive() || (unanswered >= 8 && unanswered * 2 > late);
    lab.finish(broken ? 1 : 0, broken ? "callers of sound servers get no answer" : "held");
  }

  /** The first engines that get requests are those in trouble. */
  private static boolean isSpoiled(Lab.Engine engine) {
    synchronized (ANSWERS) {
      if (ANSWERS.size() < ENGINES_IN_TROUBLE) {
        ANSWERS.putIfAbsent(engine, new AtomicInteger());
      }
      AtomicInteger answers = ANSWERS.get(engine);
      return answers != null && answers.incrementAndGet() % SPOILED_EVERY == SPOILED_EVERY / 2;
    }
  }

  private static void sendWithoutEnd(
      Lab lab, Lab.Engine engine, Lab.EngineConnection connection, Lab.Message request)
      throws IOException {
    Lab.readBody(connection.in, request, false);
    engine.run(request);
    spoiled.incrementAndGet();
    connection.write(
        Lab.concat(
            Lab.answerHead(
                request,
                200,
                "Content-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"),
            Lab.chunk("id: 0\ndata: token-0\n\n")));
    byte[] bytes = Lab.bytes("6\r\nzzzz\n\n\r\n".repeat(1_600));
    long start = lab.millis();
    long sent = 0;
    // Ends with an exception when the gateway closes the connection.
    while (true) {
      connection.write(bytes);
      sent += bytes.length;
      endlessBytes.addAndGet(bytes.length);
      while (sent > (lab.millis() - start) * BYTES_PER_MILLI) {
        Lab.sleep(1);
      }
    }
  }

  /** A caller of a stream, which closes its connection at its deadline. */
  private static void stream(Lab lab, Lab.Gateway gateway, Map<String, Integer> outcomes) {
    String outcome;
    try (Lab.Client client = new Lab.Client(gateway.ip, gateway.front)) {
      Thread closer =
          Thread.ofVirtual()
              .start(
                  () -> {
                    try {
                      Thread.sleep(DEADLINE_MILLIS);
                      client.close();
                    } catch (InterruptedException | IOException e) {
                      // The answer came in time.
                    }
                  });
      client.send(
          Lab.request(
              "POST",
              "/draft/1",
              Lab.hex(),
              "Deadline-Ms: " + DEADLINE_MILLIS + "\r\nModel: m\r\nToken-Usage: 300,60\r\n"
                  + "Prompt-Prefix: " + Lab.hex() + ":150," + Lab.hex() + ":150\r\n",
              new byte[0]));
      outcome = Integer.toString(client.answer().status());
      closer.interrupt();
    } catch (IOException e) {
      outcome = e.getClass().getSimpleName();
    }
    outcomes.merge(outcome, 1, Integer::sum);
  }
}
