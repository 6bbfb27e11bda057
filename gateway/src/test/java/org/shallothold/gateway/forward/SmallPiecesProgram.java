package org.shallothold.gateway.forward;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.stream.IntStream;

/**
 * Runs a gateway and servers in one process. Some connections make work in a given form; measures
 * what callers of sound calls and sound streams get beside them.
 *
 * <p>Arguments: form (none, events, bytes, uploads, pipelined, closing), number of connections,
 * seconds, bytes per millisecond of each connection (0: as many as the gateway takes).
 */
final class SmallPiecesProgram {

  private static final int SLOTS_OF_A_SERVER = 6;
  private static final int BLOCK_BYTES = 12 * 1024;
  private static final long CLOSING_BYTES = 4L * 1024 * 1024;
  private static final String SINGLE_BYTE = "1\r\nx\r\n";
  private static final int SOUND_CALLERS = 8;
  private static final int SOUND_EVENTS = 20;
  private static final long EVENT_INTERVAL_MILLIS = 20;
  private static final long CALL_INTERVAL_MILLIS = 30;
  private static final double NANOS_PER_MILLI = 1e6;

  private final Form form;
  private final int bytesPerMilli;
  private final List<Long> callNanos = Collections.synchronizedList(new ArrayList<>());
  private final List<Long> eventNanos = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong failedCalls = new AtomicLong();
  private final AtomicLong failedStreams = new AtomicLong();
  private final AtomicLong pieceBytes = new AtomicLong();
  private final AtomicLong started = new AtomicLong();

  private SmallPiecesProgram(Form form, int bytesPerMilli) {
    this.form = form;
    this.bytesPerMilli = bytesPerMilli;
  }

  /** How the connections that make work do so. */
  private sealed interface Form {

    /** None of them are opened. */
    record Nothing() implements Form {}

    /**
     * Servers send a response of many pieces.
     *
     * @param start what comes before the pieces
     * @param bytes length of the response, after which the connection closes
     */
    record Response(String route, String start, String piece, long bytes) implements Form {}

    /**
     * Callers send requests of many pieces, without end.
     *
     * @param start what comes before the pieces
     */
    record Request(String start, String piece) implements Form {}

    static Form of(String name) {
      return switch (name) {
        case "none" -> new Nothing();
        case "events" ->
            new Response(
                "/stream-once/",
                ScriptedServer.Exchange.chunk("id: 0\ndata: 0\n\n"),
                "6\r\nzzzz\n\n\r\n",
                Long.MAX_VALUE);
        case "bytes" -> new Response("/once/", "", SINGLE_BYTE, Long.MAX_VALUE);
        case "closing" -> new Response("/once/", "", SINGLE_BYTE, CLOSING_BYTES);
        case "uploads" ->
            new Request(
                """
                POST /once/upload HTTP/1.1\r
                Host: a.example\r
                X-Request: u\r
                Transfer-Encoding: chunked\r
                \r
                """,
                SINGLE_BYTE);
        case "pipelined" -> new Request("", "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
        default -> throw new IllegalArgumentException("unknown form " + name);
      };
    }
  }

  public static void main(String[] arguments) throws IOException, InterruptedException {
    SmallPiecesProgram program =
        new SmallPiecesProgram(Form.of(arguments[0]), Integer.parseInt(arguments[3]));
    int connections = Integer.parseInt(arguments[1]);
    int seconds = Integer.parseInt(arguments[2]);
    System.err.println(
        arguments[0] + " x " + connections + ": " + program.run(connections, seconds));
    System.exit(0);
  }

  /** Returns what callers beside the connections got. */
  private String run(int connections, int seconds) throws IOException, InterruptedException {
    List<ScriptedServer> servers = new ArrayList<>();
    for (int i = 0; i <= (connections + 2 * SOUND_CALLERS) / SLOTS_OF_A_SERVER; i++) {
      servers.add(ScriptedServer.start("server-" + i, this::handle));
    }
    ForwardFixture fixture = ForwardFixture.withGateways(1, servers);
    ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    IntStream.range(0, SOUND_CALLERS)
        .forEach(
            i -> {
              executor.submit(() -> repeat(() -> call(fixture)));
              executor.submit(() -> repeat(() -> stream(fixture)));
            });
    // Lets the compiler see the sound paths first.
    Thread.sleep(3_000);
    IntStream.range(0, connections)
        .forEach(i -> executor.submit(() -> repeat(() -> disturb(fixture))));
    Thread.sleep(1_000);
    callNanos.clear();
    eventNanos.clear();
    failedCalls.set(0);
    failedStreams.set(0);
    pieceBytes.set(0);
    Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
    return String.format(
        Locale.ROOT,
        "pieces %.1f MB/s; calls %s, %d failed; events of streams %s, %d streams failed",
        pieceBytes.get() / 1e6 / seconds,
        quantiles(callNanos),
        failedCalls.get(),
        quantiles(eventNanos),
        failedStreams.get());
  }

  /** Something that is done again and again. */
  private interface Action {
    void run() throws IOException, InterruptedException;
  }

  private static void repeat(Action action) {
    while (true) {
      try {
        action.run();
      } catch (IOException e) {
        // Counted by the action where it matters.
      } catch (InterruptedException e) {
        Thread.currentThread().interrupt();
        return;
      }
    }
  }

  private void call(ForwardFixture fixture) throws InterruptedException {
    long startNanos = System.nanoTime();
    try {
      String response = fixture.call("/once/sound", "");
      long nanos = System.nanoTime() - startNanos;
      if (response.endsWith("whole")) {
        callNanos.add(nanos);
      } else {
        failedCalls.incrementAndGet();
      }
    } catch (IOException e) {
      failedCalls.incrementAndGet();
    }
    Thread.sleep(CALL_INTERVAL_MILLIS);
  }

  /** Each event of a sound stream holds the time at which its server sent it. */
  private void stream(ForwardFixture fixture) {
    int events = 0;
    try (Socket socket = fixture.connect()) {
      ForwardFixture.send(socket, "/stream-once/sound", "Connection: close\r\n", "");
      BufferedReader reader =
          new BufferedReader(
              new InputStreamReader(socket.getInputStream(), StandardCharsets.US_ASCII));
      for (String line = reader.readLine(); line != null; line = reader.readLine()) {
        if (line.startsWith("data: ")) {
          eventNanos.add(System.nanoTime() - Long.parseLong(line.substring(6)));
          events++;
        }
      }
    } catch (IOException e) {
      events = 0;
    }
    if (events < SOUND_EVENTS) {
      failedStreams.incrementAndGet();
    }
  }

  private void handle(ScriptedServer.Exchange exchange) throws IOException {
    String head = exchange.request().head();
    if (head.contains("endless") && form instanceof Form.Response response) {
      sendPieces(response, exchange);
    } else if (head.contains("/stream")) {
      exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
      for (int i = 0; i < SOUND_EVENTS; i++) {
        pause(EVENT_INTERVAL_MILLIS);
        exchange.send(
            ScriptedServer.Exchange.chunk("id: " + i + "\ndata: " + System.nanoTime() + "\n\n"));
      }
      exchange.send("0\r\n\r\n");
    } else {
      exchange.respond(200, "whole");
    }
  }

  private static void pause(long millis) throws IOException {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      throw new IOException(e);
    }
  }

  private void sendPieces(Form.Response response, ScriptedServer.Exchange exchange)
      throws IOException {
    exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
    exchange.send(response.start());
    byte[] block = block(response.piece());
    long startNanos = System.nanoTime();
    long sent = 0;
    while (sent < response.bytes()) {
      exchange.output().write(block);
      sent += block.length;
      pieceBytes.addAndGet(block.length);
      while (bytesPerMilli > 0
          && sent > (System.nanoTime() - startNanos) / NANOS_PER_MILLI * bytesPerMilli) {
        pause(1);
      }
    }
    exchange.connection().close();
  }

  private void disturb(ForwardFixture fixture) throws IOException {
    try (Socket socket = fixture.connect()) {
      switch (form) {
        case Form.Nothing() -> pause(CALL_INTERVAL_MILLIS);
        case Form.Response response -> {
          String path = response.route() + "endless-" + started.incrementAndGet();
          ForwardFixture.send(socket, path, "Connection: close\r\n", "");
          readToEnd(socket);
        }
        case Form.Request request -> {
          Thread.ofVirtual().start(() -> readToEnd(socket));
          socket.getOutputStream().write(request.start().getBytes(StandardCharsets.US_ASCII));
          byte[] block = block(request.piece());
          while (true) {
            socket.getOutputStream().write(block);
            pieceBytes.addAndGet(block.length);
          }
        }
      }
    }
  }

  private static byte[] block(String piece) {
    return piece.repeat(BLOCK_BYTES / piece.length()).getBytes(StandardCharsets.US_ASCII);
  }

  private static void readToEnd(Socket socket) {
    try {
      byte[] buffer = new byte[BLOCK_BYTES];
      while (socket.getInputStream().read(buffer) >= 0) {
        // Only the work of the gateway matters.
      }
    } catch (IOException e) {
      // The connection was reset.
    }
  }

  private static String quantiles(List<Long> nanos) {
    long[] sorted;
    synchronized (nanos) {
      sorted = nanos.stream().mapToLong(Long::longValue).sorted().toArray();
    }
    if (sorted.length == 0) {
      return "none";
    }
    return String.format(
        Locale.ROOT,
        "%d (ms: p50 %.1f, p99 %.1f, longest %.0f)",
        sorted.length,
        sorted[sorted.length / 2] / NANOS_PER_MILLI,
        sorted[(int) (sorted.length * 0.99)] / NANOS_PER_MILLI,
        Arrays.stream(sorted).max().orElse(0) / NANOS_PER_MILLI);
  }
}
