import java.io.IOException;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.atomic.AtomicLong;

/** One run of a case: the store, the engines and the gateways, all on loopback addresses. */
final class Lab implements AutoCloseable {

  static final String HOST = "shop.example";
  static final String KEY = "key-of-north";

  /** The body of a case. */
  interface Case {
    /** Returns whether the rule was broken. */
    boolean run(Lab lab) throws Exception;
  }

  final RunRecord record;
  final Store store;
  final Path work;
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  private final Path root = Path.of("").toAbsolutePath();
  private final List<Engine> engines = new ArrayList<>();
  private final List<Gateway> gateways = new ArrayList<>();
  private final List<EngineProcess> engineProcesses = new ArrayList<>();
  private final AtomicLong lastRequest = new AtomicLong();
  // All of 127/8 is loopback. A random part keeps the fixed metrics port free.
  private final int subnet = ThreadLocalRandom.current().nextInt(16, 250);

  private Lab(Path folder) throws IOException {
    record = new RunRecord(folder.resolve("record.txt"));
    work = Files.createTempDirectory("shallothold-review");
    store = new Store(record);
  }

  /** Runs a case and exits with 1 if the rule was broken, 0 if it held, 2 if it couldn't run. */
  static void main(String folder, Case body) {
    int code = 2;
    try (Lab lab = new Lab(Path.of(folder))) {
      Thread killer = new Thread(lab::killAll);
      Runtime.getRuntime().addShutdownHook(killer);
      try {
        lab.record.add("disruption: " + (lab.trouble ? "yes" : "no"));
        boolean broken = body.run(lab);
        code = broken ? 1 : 0;
        lab.record.add(broken ? "RESULT: the rule was broken" : "RESULT: the rule held");
      } catch (Exception e) {
        lab.record.add("RESULT: the case could not run: " + e);
        e.printStackTrace();
      }
    } catch (Exception e) {
      e.printStackTrace();
    }
    System.out.println(folder + ": exit code " + code);
    System.exit(code);
  }

  Engine engine(String id, String service) throws IOException {
    Engine engine = new Engine(record, id, service);
    engines.add(engine);
    return engine;
  }

  EngineProcess engineProcess(String id, String service, int events, long stepMillis)
      throws IOException {
    EngineProcess engine = new EngineProcess(record, id, service, events, stepMillis);
    engineProcesses.add(engine);
    return engine;
  }

  /** Starts gateways that know each other, and waits until all are ready. */
  List<Gateway> gateways(int count) throws IOException, InterruptedException {
    for (int i = 1; i <= count; i++) {
      gateways.add(new Gateway(root, work, "gateway-" + i, "127.0." + subnet + "." + i));
    }
    List<String> seeds = gateways.stream().map(Gateway::control).limit(3).toList();
    for (Gateway gateway : gateways) {
      gateway.start(store.address(), seeds);
    }
    for (Gateway gateway : gateways) {
      gateway.awaitReady(20_000);
      record.add(gateway.name + " is ready");
    }
    return gateways;
  }

  /** Returns an attempt id that no other request has. */
  String newAttemptId() {
    return "a%04d".formatted(lastRequest.incrementAndGet());
  }

  String head(String method, String path, String attemptId, long deadlineMillis, String fields) {
    return "%s %s HTTP/1.1\r\nHost: %s\r\nAttempt-Id: %s\r\nDeadline-Ms: %d\r\nKey: %s\r\n%s\r\n"
        .formatted(method, path, HOST, attemptId, deadlineMillis, KEY, fields);
  }

  /** Sends a request on a new connection and returns the answer; null if there was none. */
  Http.Message call(Gateway gateway, String method, String path, String attemptId, String body)
      throws IOException {
    try (Socket socket = new Socket(gateway.host, gateway.frontPort)) {
      socket.setSoTimeout(10_000);
      record.add(
          "client: sends %s, %s %s, to %s".formatted(attemptId, method, path, gateway.name));
      String length = body.isEmpty() ? "" : "Content-Length: " + body.length() + "\r\n";
      Http.write(socket, head(method, path, attemptId, 5_000, length), Http.bytes(body));
      Http.Message answer = Http.readResponse(socket.getInputStream());
      record.add(
          "client: %s gets %s"
              .formatted(
                  attemptId,
                  answer == null
                      ? "a closed connection"
                      : answer.startLine()
                          + ", signature "
                          + answer.field("Response-Signature")
                          + ", body: "
                          + answer.text()));
      return answer;
    }
  }

  private void killAll() {
    for (Gateway gateway : gateways) {
      try {
        gateway.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
    for (EngineProcess engine : engineProcesses) {
      try {
        engine.kill();
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
      }
    }
  }

  @Override
  public void close() throws IOException {
    killAll();
    for (Engine engine : engines) {
      engine.close();
    }
    store.close();
    record.close();
    try (var files = Files.list(work)) {
      for (Path file : files.toList()) {
        if (System.getenv("KEEP_LOGS") == null) {
          Files.delete(file);
        }
      }
    }
    if (System.getenv("KEEP_LOGS") == null) {
      Files.delete(work);
    }
  }
}
