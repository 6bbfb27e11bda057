package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.BufferedInputStream;
import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Random;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothold.core.memory.MemoryBudget;

/**
 * Sends sound responses whose many small pieces use up their connections' credit, on connections
 * that are kept open, to callers of which some read slowly or leave; from seeds. In half of the
 * seeds, other connections make as much work as the gateway takes. All responses must be whole.
 */
class DeferredReadsSoakTest {

  private static final int SERVERS = 8;
  private static final int CALLERS = 12;
  private static final int REQUESTS_OF_A_CALLER = 15;
  private static final int DISTURBERS = 10;
  private static final int MAX_LINES = 4_000;
  private static final String ENDLESS_BLOCK = "1\r\nx\r\n".repeat(2_000);

  private final ConcurrentLinkedQueue<String> faults = new ConcurrentLinkedQueue<>();

  private static IntStream seeds() {
    return IntStream.range(0, Integer.getInteger("soak.seeds", 6));
  }

  @ParameterizedTest
  @MethodSource("seeds")
  void soundResponsesAreWhole(int seed) throws IOException, InterruptedException {
    boolean disturbed = seed % 2 == 1;
    List<ScriptedServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      Random random = new Random(31L * seed + i);
      servers.add(ScriptedServer.start("server-" + i, exchange -> handle(exchange, random)));
    }
    ExecutorService executor = Executors.newVirtualThreadPerTaskExecutor();
    try (ForwardFixture fixture = ForwardFixture.withGateways(1, servers)) {
      CountDownLatch ended = new CountDownLatch(CALLERS);
      IntStream.range(0, disturbed ? DISTURBERS : 0)
          .forEach(i -> executor.submit(() -> disturb(fixture)));
      IntStream.range(0, CALLERS)
          .forEach(
              i ->
                  executor.submit(
                      () -> {
                        new Caller(fixture, new Random(1_000L * seed + i), disturbed).run();
                        ended.countDown();
                      }));
      if (!ended.await(60, TimeUnit.SECONDS)) {
        faults.add(ended.getCount() + " callers did not end");
      }
      executor.shutdownNow();
      executor.awaitTermination(5, TimeUnit.SECONDS);
      // The last endless responses end at their deadline.
      Thread.sleep(disturbed ? 2_000 : 200);
      assertEquals(List.of(), List.copyOf(faults));
      assertEquals(0, fixture.bufferBytes(MemoryBudget::usedBytes));
      assertEquals(0, fixture.requestMemoryBytes());
    }
  }

  /** Responds with numbered lines in chunks of random sizes, or without end. */
  private static void handle(ScriptedServer.Exchange exchange, Random random) throws IOException {
    String head = exchange.request().head();
    if (head.contains("endless")) {
      exchange.send(exchange.head(200, "X-Signed: s\r\nTransfer-Encoding: chunked"));
      while (true) {
        exchange.send(ENDLESS_BLOCK);
      }
    }
    int lines = Integer.parseInt(head.substring(head.indexOf("lines-") + 6, head.indexOf(" HTTP")));
    boolean stream = head.contains("/stream");
    boolean closes = random.nextInt(8) == 0;
    int linesOfAChunk = 1 + random.nextInt(3);
    StringBuilder text =
        new StringBuilder(
            exchange.head(
                200,
                "X-Signed: s\r\nTransfer-Encoding: chunked"
                    + (closes ? "\r\nConnection: close" : "")));
    for (int line = 0; line < lines; line += linesOfAChunk) {
      text.append(
          ScriptedServer.Exchange.chunk(body(line, Math.min(lines, line + linesOfAChunk), stream)));
    }
    exchange.send(text + "0\r\n\r\n");
    if (closes) {
      exchange.connection().close();
    }
  }

  private static String body(int from, int to, boolean stream) {
    return IntStream.range(from, to)
        .mapToObj(line -> stream ? "id: " + line + "\ndata: " + line + "\n\n" : line + "\n")
        .collect(Collectors.joining());
  }

  private static void disturb(ForwardFixture fixture) {
    while (!Thread.currentThread().isInterrupted()) {
      try (Socket socket = fixture.connect()) {
        ForwardFixture.send(socket, "/once/endless", "Connection: close\r\n", "");
        ForwardFixture.readAll(socket);
      } catch (IOException e) {
        // The next connection is opened.
      }
    }
  }

  /** A caller that uses a connection as long as the gateway keeps it open. */
  private final class Caller {

    private final ForwardFixture fixture;
    private final Random random;
    private final boolean disturbed;

    private Caller(ForwardFixture fixture, Random random, boolean disturbed) {
      this.fixture = fixture;
      this.random = random;
      this.disturbed = disturbed;
    }

    private void run() {
      int requests = 0;
      while (requests < REQUESTS_OF_A_CALLER) {
        try (Socket socket = fixture.connect()) {
          socket.setSoTimeout(5_000);
          InputStream input = new BufferedInputStream(socket.getInputStream());
          boolean open = true;
          while (open && requests < REQUESTS_OF_A_CALLER) {
            requests++;
            open = call(socket, input);
          }
        } catch (IOException e) {
          faults.add("a connection failed: " + e);
        }
      }
    }

    /** Sends a request and checks its response; returns whether the connection stays open. */
    private boolean call(Socket socket, InputStream input) throws IOException {
      boolean stream = random.nextBoolean();
      int lines = 1 + random.nextInt(random.nextInt(4) == 0 ? MAX_LINES : 40);
      String route = stream ? "/stream-once/" : "/once/";
      ForwardFixture.send(socket, route + "lines-" + lines, "", "");
      if (random.nextInt(12) == 0) {
        return false;
      }
      if (random.nextInt(12) == 0) {
        pause();
      }
      String head = readHead(input);
      if (!head.startsWith("HTTP/1.1 200")) {
        // Beside connections that make work, a long response may not be whole before its deadline.
        if (!disturbed || !head.matches("(?s)HTTP/1.1 50[24] .*")) {
          faults.add(lines + " lines: " + head);
        }
        return false;
      }
      String body = readBody(head, input);
      boolean whole = body.equals(body(0, lines, stream));
      boolean cut = stream && disturbed && body(0, lines, true).startsWith(body);
      if (!whole && !cut) {
        faults.add(lines + " lines, received " + body.length() + " bytes of another body");
      }
      return whole && !head.contains("close");
    }

    private void pause() throws IOException {
      try {
        Thread.sleep(50L + random.nextInt(200));
      } catch (InterruptedException e) {
        throw new IOException(e);
      }
    }

    private static String readHead(InputStream input) throws IOException {
      StringBuilder head = new StringBuilder();
      while (head.indexOf("\r\n\r\n") < 0) {
        int value = input.read();
        if (value < 0) {
          return head + "<end>";
        }
        head.append((char) value);
      }
      return head.toString();
    }

    /** Returns the body; only its beginning if the connection ends within it. */
    private static String readBody(String head, InputStream input) throws IOException {
      StringBuilder body = new StringBuilder();
      int at = head.toLowerCase(Locale.ROOT).indexOf("content-length: ");
      if (at >= 0) {
        String length = head.substring(at + 16, head.indexOf('\r', at));
        return new String(input.readNBytes(Integer.parseInt(length)), StandardCharsets.US_ASCII);
      }
      while (true) {
        String size = readLine(input);
        if (size.isEmpty()) {
          return body.toString();
        }
        int length = Integer.parseInt(size, 16);
        body.append(new String(input.readNBytes(length), StandardCharsets.US_ASCII));
        readLine(input);
        if (length == 0) {
          return body.toString();
        }
      }
    }

    private static String readLine(InputStream input) throws IOException {
      StringBuilder line = new StringBuilder();
      for (int value = input.read(); value >= 0 && value != '\n'; value = input.read()) {
        if (value != '\r') {
          line.append((char) value);
        }
      }
      return line.toString();
    }
  }
}
