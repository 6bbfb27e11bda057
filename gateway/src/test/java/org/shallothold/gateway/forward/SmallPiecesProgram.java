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
 * what sound calls and sound streams beside them get, and how late the event loop is.
 *
 * <p>Arguments: form (none, events, bytes, uploads, pipelined, closing), number of connections,
 * seconds, bytes per millisecond of each connection (0: as many as the gateway takes).
 */
final class SmallPiecesProgram {

  private static final int SLOTS_OF_A_SERVER = 6;
  private static final int BLOCK_BYTES = 12 * 1024;
  private static final int SOUND_CALLERS = 8;
  private static final int SOUND_EVENTS = 20;
  private static final long EVENT_INTERVAL_MILLIS = 20;
  private static final long CALL_INTERVAL_MILLIS = 30;
  private static final double NANOS_PER_MILLI = 1e6;

  private final int bytesPerMilli;
  private final List<Long> callNanos = Collections.synchronizedList(new ArrayList<>());
  private final List<Long> eventNanos = Collections.synchronizedList(new ArrayList<>());
  private final AtomicLong failedCalls = new AtomicLong();
  private final AtomicLong failedStreams = new AtomicLong();
  private final AtomicLong pieceBytes = new AtomicLong();
  private final AtomicLong started = new AtomicLong();

  private SmallPiecesProgram(int bytesPerMilli) {
    this.bytesPerMilli = bytesPerMilli;
  }

  public static void main(String[] arguments) throws IOException, InterruptedException {
    String form = arguments[0];
    int connections = Integer.parseInt(arguments[1]);
    int seconds = Integer.parseInt(arguments[2]);
    new SmallPiecesProgram(Integer.parseInt(arguments[3])).run(form, connections, seconds);
    System.exit(0);
  }

  private void run(String form, int connections, int seconds)
      throws IOException, InterruptedException {
    List<ScriptedServer> servers = new ArrayList<>();
    for (int i = 0; i <= (connections + 2 * SOUND_CALLERS) / SLOTS_OF_A_SERVER; i++) {
      servers.add(ScriptedServer.start("server-" + i, exchange -> handle(form, exchange)));
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
    if (!form.equals("none")) {
      IntStream.range(0, connections)
          .forEach(i -> executor.submit(() -> repeat(() -> disturb(form, fixture))));
    }
    Thread.sleep(1_000);
    callNanos.clear();
    eventNanos.clear();
    failedCalls.set(0);
    failedStreams.set(0);
    pieceBytes.set(0);
    Thread.sleep(TimeUnit.SECONDS.toMillis(seconds));
    System.err.printf(
        Locale.ROOT,
        "%s x %d, %d s: pieces %.1f MB/s; calls %s, %d failed; events of streams %s, %d streams failed%n",
        form,
        connections,
        seconds,
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

  private void handle(String form, ScriptedServer.Exchange exchange) throws IOException {
    String head = exchange.request().head();
    if (head.contains("endless")) {
      sendPieces(form, exchange);
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

  private void sendPieces(String form, ScriptedServer.Exchange exchange) throws IOException {
    exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
    boolean events = form.equals("events");
    if (events) {
      exchange.send(ScriptedServer.Exchange.chunk("id: 0\ndata: 0\n\n"));
    }
    String piece = events ? "6\r\nzzzz\n\n\r\n" : "1\r\nx\r\n";
    byte[] block = piece.repeat(BLOCK_BYTES / piece.length()).getBytes(StandardCharsets.US_ASCII);
    long startNanos = System.nanoTime();
    long sent = 0;
    // The connection then closes with all that the gateway has not read yet.
    long limit = form.equals("closing") ? 4L * 1024 * 1024 : Long.MAX_VALUE;
    while (sent < limit) {
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

  private void disturb(String form, ForwardFixture fixture) throws IOException {
    try (Socket socket = fixture.connect()) {
      switch (form) {
        case "uploads" -> {
          write(
              socket,
              "POST /once/upload HTTP/1.1\r\nHost: a.example\r\nX-Request: u\r\nTransfer-Encoding: chunked\r\n\r\n");
          writeWithoutEnd(socket, "1\r\nx\r\n");
        }
        case "pipelined" -> {
          Thread.ofVirtual().start(() -> readToEnd(socket));
          writeWithoutEnd(socket, "GET /none HTTP/1.1\r\nHost: a.example\r\n\r\n");
        }
        default -> {
          String route = form.equals("events") ? "/stream-once/" : "/once/";
          ForwardFixture.send(
              socket, route + "endless-" + started.incrementAndGet(), "Connection: close\r\n", "");
          readToEnd(socket);
        }
      }
    }
  }

  private static void write(Socket socket, String text) throws IOException {
    socket.getOutputStream().write(text.getBytes(StandardCharsets.US_ASCII));
  }

  private void writeWithoutEnd(Socket socket, String piece) throws IOException {
    String block = piece.repeat(BLOCK_BYTES / piece.length());
    while (true) {
      write(socket, block);
      pieceBytes.addAndGet(block.length());
    }
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
