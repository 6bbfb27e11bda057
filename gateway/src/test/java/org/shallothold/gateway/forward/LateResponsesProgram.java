package org.shallothold.gateway.forward;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.io.OutputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Random;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.jspecify.annotations.Nullable;

/**
 * Runs a gateway and servers that send an additional response to each request, and checks what
 * callers receive. Prints one line of JSON on standard error; exits with 0 if every caller received
 * its own response, a failure or a true refusal. The seed determines what each caller and server
 * draws, but not the order in which threads run.
 */
final class LateResponsesProgram {

  private static final int CALLERS = 64;
  private static final int FAILURE_PERCENT = 40;
  private static final int CHUNKED_REQUEST_PERCENT = 25;
  // A gateway takes a server that closes many connections for one that ends.
  private static final int CLOSE_PERCENT = 10;
  private static final int MAX_DELAY_MILLIS = 500;
  private static final int MAX_PAUSE_MILLIS = 10;
  private static final int MAX_SECONDS = 120;
  private static final int MAX_EXAMPLES = 5;
  private static final int EVENTS = 6;
  private static final int TRANSCRIPT_LENGTH = 8;
  // Longer than the time limit of the routes, so that a missing answer is the gateway's fault.
  private static final int CALLER_TIMEOUT_MILLIS = 5_000;
  private static final long SETTLE_MILLIS = 300;

  private final Options options;
  private final Map<String, Served> requests = new ConcurrentHashMap<>();
  private final Map<Socket, Connection> connections = new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> counts = new ConcurrentHashMap<>();
  private final AtomicInteger mixed = new AtomicInteger();
  private final AtomicInteger additional = new AtomicInteger();
  private final List<String> examples = new CopyOnWriteArrayList<>();

  /** When a server sends the additional response. */
  enum Moment {
    /** After up to {@link #MAX_DELAY_MILLIS}. */
    DELAY,
    /** When the next request has come, before the response to it. */
    NEXT,
    /** Between two pieces of the next response. */
    BETWEEN
  }

  /** What ends a body. */
  enum Framing {
    LENGTH,
    CHUNKS,
    CLOSE
  }

  /** What the program draws. */
  private record Options(
      long seed,
      int seconds,
      int rate,
      int servers,
      Moment moment,
      int cutPercent,
      int withoutIdPercent,
      int piecesPercent,
      int repeatablePercent) {

    private static Options parse(String[] arguments) {
      Map<String, String> values =
          Arrays.stream(arguments)
              .collect(
                  Collectors.toMap(
                      argument -> argument.substring(0, argument.indexOf('=')),
                      argument -> argument.substring(argument.indexOf('=') + 1)));
      return new Options(
          Long.parseLong(values.getOrDefault("seed", "1")),
          Math.min(MAX_SECONDS, Integer.parseInt(values.getOrDefault("seconds", "10"))),
          Integer.parseInt(values.getOrDefault("rate", "200")),
          Integer.parseInt(values.getOrDefault("servers", "8")),
          Moment.valueOf(values.getOrDefault("moment", "delay").toUpperCase(Locale.ROOT)),
          Integer.parseInt(values.getOrDefault("cut", "40")),
          Integer.parseInt(values.getOrDefault("without-id", "20")),
          Integer.parseInt(values.getOrDefault("pieces", "50")),
          Integer.parseInt(values.getOrDefault("repeatable", "50")));
    }
  }

  /** A request as the servers saw it. */
  private static final class Served {
    private final List<Integer> statuses = new CopyOnWriteArrayList<>();
    private volatile @Nullable Connection connection;
  }

  /** A server's connection and what was written on it last. */
  private static final class Connection {
    private final OutputStream output;
    private final Deque<String> transcript = new ArrayDeque<>();
    private @Nullable Additional pending;

    private Connection(OutputStream output) {
      this.output = output;
    }

    private synchronized void write(String label, String text) throws IOException {
      transcript.addLast(label + ": " + text);
      if (transcript.size() > TRANSCRIPT_LENGTH) {
        transcript.removeFirst();
      }
      output.write(text.getBytes(StandardCharsets.UTF_8));
      output.flush();
    }

    private synchronized void postpone(Additional response) {
      pending = response;
    }

    private synchronized @Nullable Additional takePending() {
      Additional taken = pending;
      pending = null;
      return taken;
    }

    private synchronized String transcript() {
      return String.join("\n", transcript);
    }
  }

  /** An additional response to an earlier request. */
  private record Additional(String label, String text) {}

  /** A caller's request. */
  private record Call(String id, String path, boolean chunked) {

    private boolean isStream() {
      return path.startsWith("/stream");
    }

    private boolean mayRunOnce() {
      return path.startsWith("/once") || path.startsWith("/stream-once");
    }
  }

  /**
   * What a caller received.
   *
   * @param status status code; 0 if no whole head arrived
   * @param complete whether the body ended as its framing says
   * @param bytes all bytes received, for examples
   */
  private record Received(
      int status, Map<String, String> fields, String body, boolean complete, String bytes) {

    private boolean isKeptAlive() {
      return complete && !"close".equalsIgnoreCase(fields.getOrDefault("connection", ""));
    }
  }

  /** A caller's connection. Its buffer shows bytes that follow a response as the next response. */
  private record CallerConnection(Socket socket, InputStream input) {

    private static CallerConnection open(ForwardFixture fixture) throws IOException {
      Socket socket = fixture.connect();
      socket.setTcpNoDelay(true);
      socket.setSoTimeout(CALLER_TIMEOUT_MILLIS);
      return new CallerConnection(socket, new BufferedInputStream(socket.getInputStream()));
    }

    private void close() {
      try {
        socket.close();
      } catch (IOException e) {
        // The connection can't be used any more in either case.
      }
    }
  }

  private LateResponsesProgram(Options options) {
    this.options = options;
  }

  /**
   * Runs the program.
   *
   * @param arguments options, each as name=value: seed, seconds, rate (requests a second), servers,
   *     moment (delay, next, between), and in percent: cut, without-id (of the additional
   *     responses), pieces (responses in two pieces), repeatable (of the requests for whole
   *     responses; the others are orders)
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    LateResponsesProgram program = new LateResponsesProgram(Options.parse(arguments));
    System.exit(program.run() ? 0 : 1);
  }

  private boolean run() throws IOException, InterruptedException {
    List<ScriptedServer> servers = new ArrayList<>();
    for (int i = 0; i < options.servers(); i++) {
      servers.add(ScriptedServer.start("server-" + i, this::handle));
    }
    try (ForwardFixture fixture = ForwardFixture.withGateways(1, servers)) {
      long endNanos = System.nanoTime() + TimeUnit.SECONDS.toNanos(options.seconds());
      List<Thread> callers =
          IntStream.range(0, CALLERS)
              .mapToObj(i -> Thread.ofVirtual().start(() -> runCaller(fixture, i, endNanos)))
              .toList();
      for (Thread caller : callers) {
        caller.join();
      }
      Thread.sleep(SETTLE_MILLIS);
    }
    System.err.println(summary());
    return mixed.get() == 0
        && !counts.containsKey("order_ran_twice")
        && !counts.containsKey("refused_as_not_run_but_ran")
        && !counts.containsKey("closed_without_answer");
  }

  private void runCaller(ForwardFixture fixture, int index, long endNanos) {
    Random random = new Random(Objects.hash(options.seed(), index));
    long intervalNanos = TimeUnit.SECONDS.toNanos(CALLERS) / options.rate();
    long nextNanos = System.nanoTime() + random.nextLong(intervalNanos);
    CallerConnection connection = null;
    while (nextNanos < endNanos) {
      sleep(TimeUnit.NANOSECONDS.toMillis(nextNanos - System.nanoTime()));
      nextNanos = Math.max(nextNanos + intervalNanos, System.nanoTime());
      Call call = drawCall(random);
      requests.put(call.id(), new Served());
      try {
        if (connection == null) {
          connection = CallerConnection.open(fixture);
        }
        Received received = exchange(connection, call);
        judge(call, received);
        if (!received.isKeptAlive()) {
          connection.close();
          connection = null;
        }
      } catch (IOException e) {
        count("caller_" + e.getClass().getSimpleName());
        if (connection != null) {
          connection.close();
        }
        connection = null;
      }
    }
    if (connection != null) {
      connection.close();
    }
  }

  private Call drawCall(Random random) {
    String id = Long.toHexString(random.nextLong()) + Long.toHexString(random.nextLong());
    boolean chunked = random.nextInt(100) < CHUNKED_REQUEST_PERCENT;
    if (random.nextBoolean()) {
      return new Call(id, random.nextBoolean() ? "/stream/x" : "/stream-once/x", false);
    }
    boolean repeatable = random.nextInt(100) < options.repeatablePercent();
    return new Call(id, repeatable ? "/repeatable/x" : "/once/x", chunked);
  }

  private static Received exchange(CallerConnection connection, Call call) throws IOException {
    OutputStream output = connection.socket().getOutputStream();
    String head =
        "POST "
            + call.path()
            + " HTTP/1.1\r\nHost: a.example\r\nX-Request: "
            + call.id()
            + "\r\n"
            + (call.chunked() ? "Transfer-Encoding: chunked" : "Content-Length: 6")
            + "\r\n\r\n";
    output.write(
        (head + (call.chunked() ? "6\r\nprompt\r\n" : "prompt")).getBytes(StandardCharsets.UTF_8));
    output.flush();
    if (call.chunked()) {
      sleep(2);
      output.write("6\r\nsecond\r\n0\r\n\r\n".getBytes(StandardCharsets.UTF_8));
      output.flush();
    }
    return new ResponseReader(connection.input()).read();
  }

  /** Reads one response and keeps all bytes of it. */
  private static final class ResponseReader {
    private final InputStream input;
    private final StringBuilder bytes = new StringBuilder();
    private boolean ended;

    private ResponseReader(InputStream input) {
      this.input = input;
    }

    private Received read() {
      Map<String, String> fields = new HashMap<>();
      String statusLine = line();
      for (String field = line(); !ended && !field.isEmpty(); field = line()) {
        int colon = field.indexOf(':');
        fields.put(
            field.substring(0, Math.max(colon, 0)).toLowerCase(Locale.ROOT),
            field.substring(colon + 1).strip());
      }
      int status =
          !ended && statusLine.startsWith("HTTP/1.1 ")
              ? Integer.parseInt(statusLine.substring(9, 12))
              : 0;
      StringBuilder body = new StringBuilder();
      boolean complete = status != 0 && readBody(fields, body);
      return new Received(status, fields, body.toString(), complete, bytes.toString());
    }

    private boolean readBody(Map<String, String> fields, StringBuilder body) {
      if (fields.containsKey("transfer-encoding")) {
        for (String size = line(); !ended; size = line()) {
          int length = Integer.parseInt(size, 16);
          take(length, body);
          line();
          if (length == 0) {
            return !ended;
          }
        }
        return false;
      }
      if (fields.containsKey("content-length")) {
        take(Integer.parseInt(fields.getOrDefault("content-length", "0")), body);
        return !ended;
      }
      take(Integer.MAX_VALUE, body);
      return true;
    }

    private void take(int length, StringBuilder target) {
      for (int i = 0; i < length && !ended; i++) {
        int value = next();
        if (value >= 0) {
          target.append((char) value);
        }
      }
    }

    private String line() {
      StringBuilder text = new StringBuilder();
      for (int value = next(); value >= 0 && value != '\n'; value = next()) {
        text.append((char) value);
      }
      return text.toString().stripTrailing();
    }

    private int next() {
      int value = -1;
      try {
        value = ended ? -1 : input.read();
      } catch (IOException e) {
        bytes.append('<').append(e.getClass().getSimpleName()).append('>');
      }
      if (value < 0) {
        ended = true;
      } else {
        bytes.append((char) value);
      }
      return value;
    }
  }

  private void judge(Call call, Received received) {
    String kind = call.path().substring(1, call.path().lastIndexOf('/'));
    Served served = Objects.requireNonNull(requests.get(call.id()));
    if (received.status() == 0) {
      boolean silent = received.bytes().isEmpty() || received.bytes().startsWith("<Socket");
      report(silent ? "closed_without_answer" : "no_whole_head", call, received);
      return;
    }
    String problem = received.status() == 200 ? mixedReason(call, received, served) : "";
    if (!problem.isEmpty()) {
      mixed.incrementAndGet();
      report("mixed_" + problem, call, received);
    } else if (!received.complete()) {
      count("cut_" + kind);
    } else if (received.status() == 500 && !received.body().equals(wholeBody(call.id()))) {
      report("failure_with_another_body", call, received);
    } else if (received.status() == 504) {
      report("status_504", call, received);
    } else {
      count("status_" + received.status());
    }
    boolean refused = received.status() == 429 || received.status() == 503;
    if (refused && call.mayRunOnce() && !served.statuses.isEmpty()) {
      report("refused_as_not_run_but_ran", call, received);
    }
  }

  /** Returns why a success isn't, or isn't wholly, the caller's own; empty if it is. */
  private static String mixedReason(Call call, Received received, Served served) {
    String expected = call.isStream() ? events(call.id(), 0) : wholeBody(call.id());
    boolean foreignBody = !expected.startsWith(received.body());
    List<String> reasons = new ArrayList<>();
    if (!call.id().equals(received.fields().getOrDefault("x-request", ""))) {
      reasons.add("id");
    }
    if (!signature(call.id()).equals(received.fields().getOrDefault("x-signed", ""))) {
      reasons.add("signature");
    }
    if (!served.statuses.contains(200)) {
      reasons.add("success_of_failure");
    }
    if (foreignBody) {
      reasons.add(call.isStream() ? "bytes_within_stream" : "body");
    } else if (received.complete() && !received.body().equals(expected)) {
      reasons.add("looks_whole");
    }
    return String.join("+", reasons);
  }

  private void count(String outcome) {
    counts.computeIfAbsent(outcome, key -> new AtomicInteger()).incrementAndGet();
  }

  private void report(String outcome, Call call, Received received) {
    boolean isFirst = !counts.containsKey(outcome);
    count(outcome);
    Connection connection = Objects.requireNonNull(requests.get(call.id())).connection;
    // One of each other outcome, so that frequent ones don't displace those of MIXED.
    boolean isMixed = outcome.startsWith("mixed_");
    if (isMixed ? mixed.get() <= MAX_EXAMPLES : isFirst) {
      examples.add(
          "{\"outcome\":"
              + quote(outcome)
              + ",\"path\":"
              + quote(call.path())
              + ",\"id\":"
              + quote(call.id())
              + ",\"received\":"
              + quote(received.bytes())
              + ",\"sent\":"
              + quote(connection == null ? "" : connection.transcript())
              + "}");
    }
  }

  private String summary() {
    requests.values().stream()
        .filter(served -> served.statuses.isEmpty())
        .forEach(served -> count("not_run"));
    return "{\"revision\":"
        + quote(System.getProperty("revision", ""))
        + ",\"options\":"
        + quote(options.toString())
        + ",\"seed\":"
        + options.seed()
        + ",\"requests\":"
        + requests.size()
        + ",\"additional\":"
        + additional.get()
        + ",\"mixed\":"
        + mixed.get()
        + ",\"outcomes\":"
        + new TreeMap<>(counts)
            .entrySet().stream()
                .map(entry -> quote(entry.getKey()) + ":" + entry.getValue())
                .collect(Collectors.joining(",", "{", "}"))
        + ",\"examples\":"
        + examples.stream().collect(Collectors.joining(",", "[", "]"))
        + "}";
  }

  private static String quote(String text) {
    return "\""
        + text.replace("\\", "\\\\").replace("\"", "\\\"").replace("\r", "\\r").replace("\n", "\\n")
        + "\"";
  }

  private void handle(ScriptedServer.Exchange exchange) throws IOException {
    String id = exchange.request().header("X-Request");
    Served served = requests.get(id);
    if (served == null) {
      // A check by the gateway.
      exchange.respond(200, "");
      return;
    }
    Connection connection =
        connections.computeIfAbsent(
            exchange.connection(), key -> new Connection(exchange.output()));
    boolean stream = exchange.request().head().startsWith("POST /stream");
    Random random = new Random(Objects.hash(options.seed(), id));
    int status = !stream && random.nextInt(100) < FAILURE_PERCENT ? 500 : 200;
    served.connection = connection;
    served.statuses.add(status);
    if (served.statuses.size() == 2 && exchange.request().head().contains("once/")) {
      count("order_ran_twice");
    }
    String lastEvent = exchange.request().header("X-After");
    String body =
        stream ? events(id, lastEvent.isEmpty() ? 0 : Integer.parseInt(lastEvent)) : wholeBody(id);
    Framing framing =
        random.nextInt(100) < CLOSE_PERCENT
            ? Framing.CLOSE
            : random.nextBoolean() ? Framing.LENGTH : Framing.CHUNKS;
    String fields = "X-Request: " + id + "\r\nX-Signed: " + signature(id) + "\r\n";
    respond(connection, response(status, fields, framing, body), random);
    if (framing == Framing.CLOSE) {
      connections.remove(exchange.connection());
      exchange.connection().close();
      return;
    }
    Additional late = drawAdditional(random, id, status, stream);
    if (options.moment() == Moment.DELAY) {
      int delayMillis = random.nextInt(MAX_DELAY_MILLIS + 1);
      Thread.ofVirtual().start(() -> sendDelayed(connection, late, delayMillis));
    } else {
      connection.postpone(late);
    }
  }

  private void respond(Connection connection, String own, Random random) throws IOException {
    Additional pending = connection.takePending();
    if (pending != null && options.moment() == Moment.NEXT) {
      sendAdditional(connection, pending);
      sleep(random.nextInt(MAX_PAUSE_MILLIS + 1));
    }
    boolean pieces = random.nextInt(100) < options.piecesPercent();
    int cut = pieces ? 1 + random.nextInt(own.length() - 1) : own.length();
    connection.write("own", own.substring(0, cut));
    if (pieces) {
      sleep(random.nextInt(MAX_PAUSE_MILLIS + 1));
      if (pending != null && options.moment() == Moment.BETWEEN) {
        sendAdditional(connection, pending);
        sleep(random.nextInt(MAX_PAUSE_MILLIS + 1));
      }
      connection.write("own", own.substring(cut));
    }
  }

  private void sendDelayed(Connection connection, Additional late, int delayMillis) {
    sleep(delayMillis);
    try {
      sendAdditional(connection, late);
    } catch (IOException e) {
      count("additional_on_closed_connection");
    }
  }

  private void sendAdditional(Connection connection, Additional late) throws IOException {
    additional.incrementAndGet();
    connection.write(late.label(), late.text());
  }

  /** Draws a success where the first response was a failure; otherwise any status. */
  private Additional drawAdditional(Random random, String id, int firstStatus, boolean stream) {
    int status =
        firstStatus == 500 || random.nextBoolean() ? 200 : random.nextBoolean() ? 500 : 503;
    boolean withoutId = random.nextInt(100) < options.withoutIdPercent();
    Framing framing = Framing.values()[random.nextInt(Framing.values().length)];
    String fields =
        (withoutId ? "" : "X-Request: " + id + "\r\n")
            + "X-Signed: late-"
            + id
            + "\r\n"
            + (status == 503 ? "X-Not-Run: 1\r\n" : "");
    String body = stream ? events("late-" + id, 0) : wholeBody("late-" + id);
    String whole = response(status, fields, framing, body);
    int length =
        random.nextInt(100) < options.cutPercent()
            ? 1 + random.nextInt(whole.length() - 1)
            : whole.length();
    String label = "additional, " + framing + ", " + length + " of " + whole.length() + " bytes";
    return new Additional(label, whole.substring(0, length));
  }

  private static String response(int status, String fields, Framing framing, String body) {
    String head = "HTTP/1.1 " + status + " X\r\n" + fields;
    return switch (framing) {
      case LENGTH -> head + "Content-Length: " + body.length() + "\r\n\r\n" + body;
      case CHUNKS -> {
        int half = body.length() / 2;
        yield head
            + "Transfer-Encoding: chunked\r\n\r\n"
            + (body.isEmpty() ? "" : chunk(body.substring(0, half)) + chunk(body.substring(half)))
            + "0\r\n\r\n";
      }
      case CLOSE -> head + "\r\n" + body;
    };
  }

  private static String chunk(String text) {
    return ScriptedServer.Exchange.chunk(text);
  }

  private static String signature(String id) {
    return "signature-" + id;
  }

  private static String wholeBody(String id) {
    return IntStream.range(0, 8)
        .mapToObj(i -> "line " + i + " of " + id + "\n")
        .collect(Collectors.joining());
  }

  /** Returns all events after one. */
  private static String events(String id, int after) {
    return IntStream.rangeClosed(after + 1, EVENTS)
        .mapToObj(i -> "id: " + i + "\ndata: " + id + "-" + i + "\n\n")
        .collect(Collectors.joining());
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(Math.max(0, millis));
    } catch (InterruptedException e) {
      throw new IllegalStateException(e);
    }
  }
}
