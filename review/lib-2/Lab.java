import java.io.BufferedOutputStream;
import java.io.ByteArrayOutputStream;
import java.io.EOFException;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.net.URLDecoder;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Base64;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

/**
 * A small deployment for the scripts of this review: a store, engines and gateways, all on loopback
 * addresses. Store and engines are stand-ins that do what PROTOCOL.md says; the gateways are the
 * project's own, started with the command of deploy/system.toml.
 */
final class Lab implements AutoCloseable {

  static final String KEY = "n2ctnfzs989anu6wsjnb";
  static final String TENANT = "hule930";
  static final String HOST = "ficu95.example";

  final long startNanos = System.nanoTime();
  final boolean trouble = !"0".equals(System.getenv("TROUBLE"));
  final PrintStream record;
  final Path work;
  final Path root;
  // A loopback network of its own, so that the fixed metrics port of the deploy file is free.
  final String network =
      "127."
          + ThreadLocalRandom.current().nextInt(20, 250)
          + "."
          + ThreadLocalRandom.current().nextInt(1, 250)
          + ".";
  final Store store;
  final List<Engine> engines = new CopyOnWriteArrayList<>();
  final List<Gateway> gateways = new ArrayList<>();
  final Map<Integer, Integer> fixedPorts = new ConcurrentHashMap<>();

  Lab(Path folder, Path root) throws IOException {
    this.root = root;
    this.record = new PrintStream(Files.newOutputStream(folder.resolve("record.txt")), true);
    this.work = Files.createTempDirectory("shallothold-review-");
    this.store = new Store(this);
    Runtime.getRuntime().addShutdownHook(new Thread(this::close));
  }

  long millis() {
    return (System.nanoTime() - startNanos) / 1_000_000;
  }

  synchronized void note(String text) {
    String line = String.format(Locale.ROOT, "%8.3f %s", millis() / 1_000.0, text);
    record.println(line);
    System.out.println(line);
  }

  static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }

  static String hex() {
    return String.format("%016x", ThreadLocalRandom.current().nextLong());
  }

  /** Writes a configuration with the routes given as JSON objects. */
  void configure(int version, String... routes) {
    store.put(
        "op/config",
        "{\"Version\":"
            + version
            + ",\"Routes\":["
            + String.join(",", routes)
            + "],\"Services\":[{\"Name\":\"models\",\"HealthPath\":\"/health\",\"ConnectionLimit\":370,"
            + "\"Protocol\":\"h1\",\"Tls\":false,\"Engine\":{\"Slots\":64,\"KvCapacityTokens\":573657,"
            + "\"TokenKvBytes\":163840,\"LinkMbps\":260000.0,\"Moves\":true,\"Backups\":true,\"Stride\":5,"
            + "\"most\":12,\"PinMs\":4000.0,\"HoldMs\":2000.0,\"HandleS\":5.0,\"Models\":[{\"Name\":\"m\"}]}},"
            + "{\"Name\":\"desk\",\"HealthPath\":\"/health\",\"ConnectionLimit\":110,\"Protocol\":\"h1\",\"Tls\":false}],"
            + "\"Limits\":{\"MaxHeaderBytes\":16384,\"MaxBodyBytes\":4194304,\"HeaderTimeoutMs\":3000,\"IdleTimeoutMs\":15000},"
            + "\"Tenants\":[{\"Name\":\""
            + TENANT
            + "\",\"ApiKeys\":[\""
            + KEY
            + "\"],\"Priority\":1}]}");
  }

  static final String DRAFT =
      "{\"Name\":\"r-draft\",\"Host\":\"ficu95.example\",\"Prefix\":\"/draft/\",\"Kind\":\"streaming\","
          + "\"TimeoutMs\":8000,\"TargetLatencyMs\":1500,\"Priority\":2,\"Service\":\"models\",\"MaxAttempts\":2,"
          + "\"Anonymous\":false,\"Sticky\":true,\"Resumable\":true,\"GapTargetMs\":800}";
  static final String SHEET =
      "{\"Name\":\"r-sheet\",\"Host\":\"ficu95.example\",\"Prefix\":\"/sheet/\",\"Kind\":\"streaming\","
          + "\"TimeoutMs\":5000,\"TargetLatencyMs\":500,\"Priority\":1,\"Service\":\"models\",\"MaxAttempts\":1,"
          + "\"Anonymous\":false,\"Sticky\":true,\"Resumable\":false,\"GapTargetMs\":300}";
  static final String ORDER =
      "{\"Name\":\"r-order\",\"Host\":\"ficu95.example\",\"Prefix\":\"/order/\",\"Kind\":\"unsafe\","
          + "\"TimeoutMs\":1000,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":1,"
          + "\"Anonymous\":false,\"Sticky\":false}";
  static final String STOCK =
      "{\"Name\":\"r-stock\",\"Host\":\"ficu95.example\",\"Prefix\":\"/stock/\",\"Kind\":\"safe\","
          + "\"TimeoutMs\":1000,\"TargetLatencyMs\":150,\"Priority\":2,\"Service\":\"desk\",\"MaxAttempts\":2,"
          + "\"Anonymous\":false,\"Sticky\":false}";

  Engine engine(String service, int slots, Behavior behavior) throws IOException {
    Engine engine = new Engine(this, service, slots, behavior);
    engines.add(engine);
    engine.publish("ready");
    return engine;
  }

  /** Starts gateways; each has an address of its own and knows the first three as seeds. */
  void startGateways(int count) throws IOException {
    startGateways(count, 0);
  }

  void startGateways(int count, int descriptors) throws IOException {
    for (int i = 0; i < count; i++) {
      gateways.add(new Gateway(this, network + (10 + i), i));
    }
    String seeds =
        String.join(
            ",", gateways.stream().limit(3).map(g -> g.ip + ":" + g.control).toList());
    for (Gateway gateway : gateways) {
      gateway.seeds = seeds;
      gateway.descriptors = descriptors;
      gateway.start();
    }
  }

  void awaitReady(long limitMillis) {
    long end = millis() + limitMillis;
    for (Gateway gateway : gateways) {
      while (!gateway.ready()) {
        if (millis() > end) {
          note("a gateway is not ready");
          close();
          Runtime.getRuntime().halt(2);
        }
        sleep(50);
      }
    }
    note("all gateways are ready");
  }

  /** Ends the script: 1 if the rule was broken, 0 if it held, 2 if the case could not run. */
  void finish(int code, String verdict) {
    note("RESULT " + code + " " + verdict);
    close();
    Runtime.getRuntime().halt(code);
  }

  private boolean closed;

  @Override
  public synchronized void close() {
    if (closed) {
      return;
    }
    closed = true;
    for (Gateway gateway : gateways) {
      gateway.kill();
    }
    engines.forEach(Engine::close);
    store.close();
    record.flush();
    try (var files = Files.walk(work)) {
      files.sorted(java.util.Comparator.reverseOrder()).forEach(path -> path.toFile().delete());
    } catch (IOException e) {
      // Nothing depends on it.
    }
  }

  static int freePort(String ip) throws IOException {
    try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName(ip))) {
      return socket.getLocalPort();
    }
  }

  // ---------------------------------------------------------------- messages

  /** A request or an answer, as read from a socket. */
  static final class Message {
    String first;
    byte[] rawHead;
    final List<String[]> headers = new ArrayList<>();
    byte[] body = new byte[0];
    boolean complete;

    String header(String name) {
      for (String[] header : headers) {
        if (header[0].equalsIgnoreCase(name)) {
          return header[1];
        }
      }
      return null;
    }

    int status() {
      return Integer.parseInt(first.split(" ")[1]);
    }

    String method() {
      return first.split(" ")[0];
    }

    String target() {
      return first.substring(first.indexOf(' ') + 1, first.lastIndexOf(' '));
    }

    String text() {
      return new String(body, StandardCharsets.ISO_8859_1);
    }
  }

  /** Reads a head; null if the connection ended before its first byte. */
  static Message readHead(InputStream in) throws IOException {
    ByteArrayOutputStream head = new ByteArrayOutputStream();
    int matched = 0;
    while (matched < 4) {
      int next = in.read();
      if (next < 0) {
        if (head.size() == 0) {
          return null;
        }
        throw new EOFException("within a head");
      }
      head.write(next);
      matched = next == (matched % 2 == 0 ? '\r' : '\n') ? matched + 1 : next == '\r' ? 1 : 0;
    }
    Message message = new Message();
    message.rawHead = head.toByteArray();
    String[] lines = head.toString(StandardCharsets.ISO_8859_1).split("\r\n");
    message.first = lines[0];
    for (int i = 1; i < lines.length; i++) {
      int colon = lines[i].indexOf(':');
      message.headers.add(
          new String[] {lines[i].substring(0, colon), lines[i].substring(colon + 1).strip()});
    }
    return message;
  }

  static String readLine(InputStream in) throws IOException {
    StringBuilder line = new StringBuilder();
    while (true) {
      int next = in.read();
      if (next < 0) {
        throw new EOFException("within a line");
      }
      if (next == '\n') {
        return line.toString().stripTrailing();
      }
      line.append((char) next);
    }
  }

  /** Reads the body of a message; an answer without a length ends with its connection. */
  static void readBody(InputStream in, Message message, boolean answer) throws IOException {
    ByteArrayOutputStream body = new ByteArrayOutputStream();
    try {
      String length = message.header("Content-Length");
      if ("chunked".equalsIgnoreCase(message.header("Transfer-Encoding"))) {
        while (true) {
          int size = Integer.parseInt(readLine(in).split(";")[0].strip(), 16);
          if (size == 0) {
            while (!readLine(in).isEmpty()) {}
            break;
          }
          body.write(in.readNBytes(size));
          readLine(in);
        }
      } else if (length != null) {
        byte[] bytes = in.readNBytes(Integer.parseInt(length));
        body.write(bytes);
        if (bytes.length < Integer.parseInt(length)) {
          throw new EOFException("within a body");
        }
      } else if (answer) {
        body.write(in.readAllBytes());
      }
      message.complete = true;
    } finally {
      message.body = body.toByteArray();
    }
  }

  static byte[] bytes(String text) {
    return text.getBytes(StandardCharsets.ISO_8859_1);
  }

  // ---------------------------------------------------------------- store

  /** The platform's store, for reading. */
  static final class Store {
    private final Lab lab;
    private final ServerSocket listener;
    private final Map<String, String> values = new TreeMap<>();
    private final Map<String, Long> revisions = new TreeMap<>();
    private final List<Object[]> history = new ArrayList<>();
    private long revision = 100;
    final int port;

    Store(Lab lab) throws IOException {
      this.lab = lab;
      listener = new ServerSocket(0, 200, InetAddress.getByName(lab.network + "2"));
      port = listener.getLocalPort();
      Thread.ofVirtual().start(this::accept);
    }

    synchronized void put(String key, String value) {
      revision++;
      values.put(key, value);
      revisions.put(key, revision);
      history.add(new Object[] {revision, key, value});
      notifyAll();
    }

    synchronized void remove(String key) {
      if (values.remove(key) != null) {
        revision++;
        revisions.remove(key);
        history.add(new Object[] {revision, key, null});
        notifyAll();
      }
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        socket.setTcpNoDelay(true);
        InputStream in = new java.io.BufferedInputStream(socket.getInputStream());
        while (true) {
          Message request = readHead(in);
          if (request == null) {
            return;
          }
          String body = answer(request.target());
          byte[] bytes = body.getBytes(StandardCharsets.UTF_8);
          OutputStream out = socket.getOutputStream();
          out.write(
              concat(
                  Lab.bytes(
                      "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: "
                          + bytes.length
                          + "\r\n\r\n"),
                  bytes));
          out.flush();
        }
      } catch (IOException e) {
        // The caller is gone.
      }
    }

    private String answer(String target) {
      Map<String, String> query = new LinkedHashMap<>();
      for (String pair : target.substring(target.indexOf('?') + 1).split("&")) {
        int equals = pair.indexOf('=');
        query.put(
            pair.substring(0, equals),
            URLDecoder.decode(pair.substring(equals + 1), StandardCharsets.UTF_8));
      }
      String prefix = query.getOrDefault("Prefix", "");
      return target.startsWith("/-/kv-watch")
          ? watch(
              prefix,
              Long.parseLong(query.get("After")),
              Long.parseLong(query.getOrDefault("WaitMs", "0")))
          : range(prefix);
    }

    private synchronized String range(String prefix) {
      List<String> items = new ArrayList<>();
      values.forEach(
          (key, value) -> {
            if (key.startsWith(prefix)) {
              items.add(item(key, value, revisions.get(key)));
            }
          });
      return "{\"Items\":["
          + String.join(",", items)
          + "],\"MorePages\":false,\"AsOf\":"
          + revision
          + "}";
    }

    private synchronized String watch(String prefix, long after, long waitMillis) {
      long end = lab.millis() + waitMillis;
      while (true) {
        List<String> events = new ArrayList<>();
        for (Object[] change : history) {
          String key = (String) change[1];
          if ((Long) change[0] > after && key.startsWith(prefix)) {
            events.add(
                change[2] == null
                    ? "{\"Key\":\"" + key + "\",\"Revision\":" + change[0] + ",\"Removed\":true}"
                    : item(key, (String) change[2], (Long) change[0]));
          }
        }
        long left = end - lab.millis();
        if (!events.isEmpty() || left <= 0) {
          return "{\"events\":[" + String.join(",", events) + "],\"AsOf\":" + revision + "}";
        }
        try {
          wait(left);
        } catch (InterruptedException e) {
          throw new IllegalStateException(e);
        }
      }
    }

    private static String item(String key, String value, long revision) {
      return "{\"Key\":\""
          + key
          + "\",\"Value\":\""
          + Base64.getEncoder().encodeToString(value.getBytes(StandardCharsets.UTF_8))
          + "\",\"Revision\":"
          + revision
          + ",\"Created\":"
          + revision
          + ",\"Lease\":77120}";
    }

    void close() {
      try {
        listener.close();
      } catch (IOException e) {
        // It is closed already.
      }
    }
  }

  static byte[] concat(byte[] one, byte[] other) {
    byte[] all = java.util.Arrays.copyOf(one, one.length + other.length);
    System.arraycopy(other, 0, all, one.length, other.length);
    return all;
  }

  // ---------------------------------------------------------------- engines

  /** What an engine does with a request; the head is read, the body is not. */
  interface Behavior {
    void handle(Engine engine, EngineConnection connection, Message request) throws IOException;
  }

  /** A connection to an engine. */
  static final class EngineConnection {
    final Socket socket;
    final InputStream in;
    final OutputStream out;
    boolean close;

    EngineConnection(Socket socket) throws IOException {
      this.socket = socket;
      socket.setTcpNoDelay(true);
      in = new java.io.BufferedInputStream(socket.getInputStream());
      out = new BufferedOutputStream(socket.getOutputStream(), 64 * 1024);
    }

    void write(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    void reset() throws IOException {
      socket.setSoLinger(true, 0);
      socket.close();
      close = true;
    }
  }

  /** A request that an engine began to work on. */
  record Run(long millis, String engine, String id, String method, byte[] head, byte[] body) {}

  /** An engine of a service. */
  static final class Engine {
    final Lab lab;
    final String id = "i-" + hex().substring(0, 8);
    final String service;
    final int slots;
    final Behavior behavior;
    final ServerSocket listener;
    final String ip;
    final int port;
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final java.util.Set<Socket> sockets = ConcurrentHashMap.newKeySet();
    private final long born = System.currentTimeMillis();
    private int sequence;

    Engine(Lab lab, String service, int slots, Behavior behavior) throws IOException {
      this.lab = lab;
      this.service = service;
      this.slots = slots;
      this.behavior = behavior;
      ip = lab.network + (100 + lab.engines.size());
      listener = new ServerSocket(0, 400, InetAddress.getByName(ip));
      port = listener.getLocalPort();
      Thread.ofVirtual().start(this::accept);
    }

    void publish(String state) {
      sequence++;
      lab.store.put(
          "servers/" + id,
          "{\"Service\":\""
              + service
              + "\",\"Address\":\""
              + ip
              + ":"
              + port
              + "\",\"Zone\":\"hall\",\"Version\":\"v1\",\"Slots\":"
              + slots
              + ",\"State\":\""
              + state
              + "\",\"ColdRemainingMs\":0,\"Stage\":\"prefill_decode\",\"Models\":[],\"Sequence\":"
              + sequence
              + ",\"born\":"
              + born
              + "}");
    }

    private void accept() {
      while (!listener.isClosed()) {
        try {
          Socket socket = listener.accept();
          sockets.add(socket);
          Thread.ofVirtual().start(() -> serve(socket));
        } catch (IOException e) {
          return;
        }
      }
    }

    private void serve(Socket socket) {
      try (socket) {
        EngineConnection connection = new EngineConnection(socket);
        while (!connection.close) {
          Message request = readHead(connection.in);
          if (request == null) {
            return;
          }
          if (!id.equals(request.header("Expected-Instance"))
              && request.header("Expected-Instance") != null) {
            readBody(connection.in, request, false);
            connection.write(
                Lab.bytes(
                    "HTTP/1.1 421 Misdirected Request\r\nInstance-Id: "
                        + id
                        + "\r\nAttempt-Id: "
                        + request.header("Attempt-Id")
                        + "\r\nContent-Length: 0\r\n\r\n"));
            continue;
          }
          behavior.handle(this, connection, request);
        }
      } catch (IOException e) {
        // The caller is gone.
      } finally {
        sockets.remove(socket);
      }
    }

    /** Records that the engine begins to work on a request whose body has been read. */
    void run(Message request) {
      runs.add(
          new Run(
              lab.millis(),
              id,
              request.header("Attempt-Id"),
              request.method(),
              request.rawHead,
              request.body));
    }

    void close() {
      try {
        listener.close();
        for (Socket socket : sockets) {
          socket.close();
        }
      } catch (IOException e) {
        // They are closed already.
      }
    }
  }

  static String sign(Message request) {
    return "3e1b." + request.header("Attempt-Id") + ".c9f2a4d1";
  }

  static byte[] answerHead(Message request, int status, String fields) {
    return Lab.bytes(
        "HTTP/1.1 "
            + status
            + " OK\r\nAttempt-Id: "
            + request.header("Attempt-Id")
            + "\r\nResponse-Signature: "
            + sign(request)
            + "\r\n"
            + fields
            + "\r\n");
  }

  /** A plain call: some work, then an answer with a length. */
  static Behavior plain(long workMillis, int bodyBytes) {
    return (engine, connection, request) -> {
      readBody(connection.in, request, false);
      engine.run(request);
      sleep(workMillis);
      connection.write(
          concat(
              answerHead(request, 200, "Instance-Load: 1,0," + engine.slots + "\r\nContent-Length: " + bodyBytes + "\r\n"),
              "x".repeat(bodyBytes).getBytes(StandardCharsets.US_ASCII)));
    };
  }

  /** A stream of events with increasing ids, in chunks. */
  static Behavior stream(int events, long firstMillis, long gapMillis) {
    return (engine, connection, request) -> {
      readBody(connection.in, request, false);
      engine.run(request);
      sleep(firstMillis);
      connection.write(
          answerHead(
              request,
              200,
              "Instance-Load: 1,0," + engine.slots + "\r\nContent-Type: text/event-stream\r\nTransfer-Encoding: chunked\r\n"));
      String last = request.header("Last-Event-Id");
      int from = last == null ? 0 : Integer.parseInt(last) + 1;
      for (int i = from; i < events; i++) {
        connection.write(chunk("id: " + i + "\ndata: token-" + i + "\n\n"));
        sleep(gapMillis);
      }
      connection.write(Lab.bytes("0\r\n\r\n"));
    };
  }

  static byte[] chunk(String text) {
    return Lab.bytes(Integer.toHexString(text.length()) + "\r\n" + text + "\r\n");
  }

  // ---------------------------------------------------------------- gateways

  /** A gateway process of the project. */
  static final class Gateway {
    final Lab lab;
    final String ip;
    final int front;
    final int ready;
    final int control;
    final Path settings;
    final Path log;
    String seeds = "";
    String more = "";
    // The descriptors of the machine for this process; 0 leaves the limit of the script.
    int descriptors;
    Process process;

    Gateway(Lab lab, String ip, int index) throws IOException {
      this.lab = lab;
      this.ip = ip;
      front = lab.fixedPorts.computeIfAbsent(1, k -> free(ip));
      ready = lab.fixedPorts.computeIfAbsent(2, k -> free(ip));
      control = lab.fixedPorts.computeIfAbsent(3, k -> free(ip));
      settings = lab.work.resolve("local-" + index + ".conf");
      log = lab.work.resolve("gateway-" + index + ".log");
    }

    private static int free(String ip) {
      try {
        return freePort(ip);
      } catch (IOException e) {
        throw new IllegalStateException(e);
      }
    }

    void start() throws IOException {
      Files.writeString(
          settings,
          String.join(
              "\n",
              "NodeName=frontend-" + ip,
              "Role=gateway",
              "MachineClass=frontend",
              "Serves=frontend,control_plane",
              "Ip=" + ip,
              "Zone=hall",
              "Region=bretagne",
              "Zones.hall=bretagne",
              "Listen.Front=" + ip + ":" + front,
              "Listen.Ready=" + ip + ":" + ready,
              "Listen.Control=" + ip + ":" + control,
              "Seeds=" + seeds,
              "Bootstrap=true",
              "Limits.CpuShare=0.57",
              "Limits.Cores=1",
              "Limits.MemoryMb=430",
              "Limits.FileDescriptors=4100",
              "Limits.LinkMbps=1000.0",
              "Limits.DiskMb=0",
              "Discovery=platform",
              "Entry=virtual_ip",
              "HeartbeatMs=1200",
              "Bounds.ContactMs=3000",
              "Bounds.DrainMs=2000",
              "Bounds.GraceS=8",
              "Bounds.LossSlackMs=200",
              "Bounds.ConfigApplyMs=2000",
              "Bounds.RetryBudgetRatio=0.2",
              "Bounds.BudgetWindowS=10",
              "Bounds.RetryBudgetSlack=56",
              "Platform.Address=" + lab.network + "2:" + lab.store.port,
              "Platform.form=read",
              "Platform.ReadsPerS=2000",
              "Platform.HistoryS=20",
              more,
              ""));
      List<String> command = new ArrayList<>();
      if (descriptors > 0) {
        command.addAll(List.of("bash", "-c", "ulimit -n " + descriptors + "; exec \"$@\"", "bash"));
      }
      command.addAll(deployCommand(lab.root));
      ProcessBuilder builder = new ProcessBuilder(command);
      builder.directory(lab.root.toFile());
      builder.environment().put("SHALLOTHOLD_BOOT", settings.toString());
      builder.redirectErrorStream(true);
      builder.redirectOutput(ProcessBuilder.Redirect.appendTo(log.toFile()));
      process = builder.start();
      lab.note("gateway " + ip + " started, process " + process.pid());
    }

    boolean ready() {
      try (Client client = new Client(ip, ready)) {
        client.socket.setSoTimeout(1_000);
        client.send(Lab.bytes("GET /-/readiness HTTP/1.1\r\nHost: x\r\n\r\n"));
        return client.answer().status() == 200;
      } catch (IOException e) {
        return false;
      }
    }

    /** Returns the resident memory of the process in megabytes, 0 if it has ended. */
    long residentMegabytes() {
      try {
        for (String line : Files.readAllLines(Path.of("/proc/" + process.pid() + "/status"))) {
          if (line.startsWith("VmRSS:")) {
            return Long.parseLong(line.replaceAll("[^0-9]", "")) / 1024;
          }
        }
      } catch (IOException e) {
        // The process has ended.
      }
      return 0;
    }

    void signal(String name) throws IOException {
      try {
        new ProcessBuilder("kill", "-" + name, Long.toString(process.pid())).start().waitFor();
      } catch (InterruptedException e) {
        throw new IllegalStateException(e);
      }
    }

    String logTail(int lines) throws IOException {
      List<String> all = Files.readAllLines(log, StandardCharsets.ISO_8859_1);
      return String.join("\n", all.subList(Math.max(0, all.size() - lines), all.size()));
    }

    void kill() {
      if (process != null) {
        process.destroyForcibly();
        try {
          process.waitFor(5, TimeUnit.SECONDS);
        } catch (InterruptedException e) {
          Thread.currentThread().interrupt();
        }
      }
    }
  }

  static List<String> deployCommand(Path root) throws IOException {
    for (String line : Files.readAllLines(root.resolve("deploy/system.toml"))) {
      if (line.startsWith("run = \"")) {
        return List.of(line.substring(7, line.length() - 1).split(" "));
      }
    }
    throw new IOException("no run line in deploy/system.toml");
  }

  // ---------------------------------------------------------------- clients

  /** A connection of a client. */
  static final class Client implements AutoCloseable {
    final Socket socket = new Socket();
    final InputStream in;
    final OutputStream out;

    Client(String ip, int port) throws IOException {
      socket.connect(new InetSocketAddress(ip, port), 1_000);
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(12_000);
      in = new java.io.BufferedInputStream(socket.getInputStream());
      out = socket.getOutputStream();
    }

    void send(byte[] bytes) throws IOException {
      out.write(bytes);
      out.flush();
    }

    /** Reads an answer; its body may end early. */
    Message answer() throws IOException {
      Message message = readHead(in);
      if (message == null) {
        throw new EOFException("no answer");
      }
      readBody(in, message, true);
      return message;
    }

    @Override
    public void close() throws IOException {
      socket.close();
    }
  }

  static byte[] request(String method, String path, String id, String fields, byte[] body) {
    return concat(
        Lab.bytes(
            method
                + " "
                + path
                + " HTTP/1.1\r\nHost: "
                + HOST
                + "\r\nAttempt-Id: "
                + id
                + "\r\n"
                + fields
                + "Key: "
                + KEY
                + "\r\n"
                + (body.length > 0 ? "Content-Length: " + body.length + "\r\n" : "")
                + "\r\n"),
        body);
  }

  /** A caller that sends safe calls with sound behavior and counts the answers, in a thread. */
  static final class OrdinaryCaller {
    private final Lab lab;
    private final Gateway gateway;
    private final long intervalMillis;
    private volatile boolean running = true;
    int served;
    int failed;
    long lastServedMillis;
    long longestGapMillis;
    final Map<String, Integer> outcomes = new TreeMap<>();
    // Orders whose caller got no success.
    private final List<String> failedOrders = new ArrayList<>();

    OrdinaryCaller(Lab lab, Gateway gateway, long intervalMillis) {
      this.lab = lab;
      this.gateway = gateway;
      this.intervalMillis = intervalMillis;
      this.lastServedMillis = lab.millis();
      Thread.ofVirtual().start(this::run);
    }

    private void run() {
      for (int i = 0; running; i++) {
        String outcome = call(i);
        synchronized (this) {
          if (running) {
            outcomes.merge(outcome, 1, Integer::sum);
            if (outcome.equals("200")) {
              longestGapMillis = Math.max(longestGapMillis, lab.millis() - lastServedMillis);
              lastServedMillis = lab.millis();
              served++;
            } else {
              failed++;
            }
          }
        }
        sleep(intervalMillis);
      }
    }

    /** Sends a safe call and an order by turns. */
    private String call(int number) {
      boolean order = number % 2 == 1;
      String id = hex();
      String outcome;
      try (Client client = new Client(gateway.ip, gateway.front)) {
        client.socket.setSoTimeout(1_500);
        client.send(
            order
                ? request("POST", "/order/1", id, "Deadline-Ms: 1000\r\n", bytes("{\"count\":1}"))
                : request("GET", "/stock/1", id, "Deadline-Ms: 1000\r\n", new byte[0]));
        outcome = Integer.toString(client.answer().status());
      } catch (IOException e) {
        outcome = e.getClass().getSimpleName();
      }
      if (order && !outcome.equals("200")) {
        synchronized (this) {
          failedOrders.add(id);
        }
      }
      return outcome;
    }

    /** Returns the number of orders that an engine ran and whose caller got no success. */
    synchronized long ordersRunAndLost() {
      return lab.engines.stream()
          .flatMap(engine -> engine.runs.stream())
          .filter(run -> failedOrders.contains(run.id()))
          .count();
    }

    /** Returns the longest time without a served call so far. */
    synchronized long gapMillis() {
      return Math.max(longestGapMillis, lab.millis() - lastServedMillis);
    }

    synchronized String stop() {
      running = false;
      return "ordinary calls served " + served + ", not served " + failed + " " + outcomes
          + ", longest time without a served call " + gapMillis() + " ms, orders run whose caller got"
          + " no success " + ordersRunAndLost();
    }
  }
}
