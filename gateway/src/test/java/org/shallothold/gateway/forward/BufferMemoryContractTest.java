package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.BufferedReader;
import java.io.IOException;
import java.net.Socket;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.gateway.forward.ScriptedServer.Exchange;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What callers receive while servers, or callers, make the gateway buffer more than it can. */
class BufferMemoryContractTest {

  private static final long LIMIT_BYTES = 2L * 1024 * 1024;
  private static final int ENDLESS_REQUESTS = 24;
  private static final int SOUND_REQUESTS = 30;
  private static final int SLOW_CALLERS = 48;
  private static final long POLL_MILLIS = 5;
  private static final long WAIT_LIMIT_MILLIS = 60_000;
  // Half of it is more than the sockets to a caller that doesn't read can hold.
  private static final long UNREAD_LIMIT_BYTES = 24L * 1024 * 1024;
  private static final String PART = "x".repeat(64 * 1024);

  private static ForwardFixture fixture(Script script) throws IOException {
    return fixture(script, LIMIT_BYTES);
  }

  private static ForwardFixture fixture(Script script, long limitBytes) throws IOException {
    return ForwardFixture.withLimits(
        ForwardFixture.Limits.defaults().withBufferBytes(limitBytes), script, script);
  }

  /** Answers soundly on paths that contain "sound", and otherwise sends bytes without end. */
  private static Script mostlyEndless(AtomicBoolean stop) {
    return exchange -> {
      if (exchange.request().head().contains("sound")) {
        exchange.respond(200, "whole");
        return;
      }
      exchange.send(exchange.head(200, "X-Signed: s"));
      try {
        while (!stop.get()) {
          exchange.send(PART);
        }
      } catch (IOException e) {
        // The gateway closed the connection.
      }
      exchange.connection().close();
    };
  }

  /**
   * Guards against keeping all that servers send without end, in bodies or in events, until the
   * process runs out of memory: the sum of all buffers must stay bounded, and the requests of other
   * callers must be answered meanwhile.
   */
  @ParameterizedTest
  @ValueSource(strings = {"/once/", "/stream-once/"})
  void responsesWithoutEndLeaveMemoryToOthers(String path) throws Exception {
    AtomicBoolean stop = new AtomicBoolean();
    try (ForwardFixture fixture = fixture(mostlyEndless(stop));
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Future<String>> endless =
          IntStream.range(0, ENDLESS_REQUESTS)
              .mapToObj(i -> callers.submit(() -> fixture.call(path + "endless", "")))
              .toList();
      awaitShed(fixture);
      for (int i = 0; i < SOUND_REQUESTS; i++) {
        String response = fixture.call("/once/sound", "");
        assertTrue(response.endsWith("\r\n\r\nwhole"), response);
      }
      stop.set(true);
      for (Future<String> response : endless) {
        String text = response.get();
        assertTrue(
            path.startsWith("/stream") ? !text.endsWith("0\r\n\r\n") : isFailure(text), text);
      }
      long peak = fixture.bufferBytes(MemoryBudget::peakBytes);
      assertTrue(peak <= LIMIT_BYTES, "buffers used " + peak + " bytes");
      assertEquals(0, fixture.bufferBytes(MemoryBudget::usedBytes));
    }
  }

  /**
   * Guards against a process that runs out of memory because of responses without end: it ended, or
   * stayed with its ports open and answered almost nothing.
   */
  @Test
  void processWithSmallHeapSurvivesResponsesWithoutEnd() throws Exception {
    Process process =
        new ProcessBuilder(
                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                "-Xmx96m",
                "-XX:+UseSerialGC",
                "-XX:+ExitOnOutOfMemoryError",
                "-cp",
                System.getProperty("java.class.path"),
                EndlessResponsesProgram.class.getName())
            .redirectErrorStream(true)
            .start();
    try (BufferedReader output = process.inputReader()) {
      String lastLines =
          output.lines().filter(line -> !line.startsWith("{")).collect(Collectors.joining("\n"));
      assertEquals(0, process.waitFor(), lastLines);
    } finally {
      process.destroyForcibly();
    }
  }

  private static boolean isFailure(String response) {
    return response.startsWith("HTTP/1.1 502 ") || response.startsWith("HTTP/1.1 504 ");
  }

  private static void awaitShed(ForwardFixture fixture) throws InterruptedException {
    await("a response was shed", () -> fixture.bufferBytes(MemoryBudget::shedCount) > 0);
  }

  private static void await(String what, BooleanSupplier condition) throws InterruptedException {
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(WAIT_LIMIT_MILLIS);
    while (!condition.getAsBoolean()) {
      assertTrue(System.nanoTime() < end, () -> "not within " + WAIT_LIMIT_MILLIS + " ms: " + what);
      Thread.sleep(POLL_MILLIS);
    }
  }

  /** Guards against counting out responses that were written but not read by their callers. */
  @Test
  void unreadResponsesUseMemoryUntilTheirCallersLeave() throws Exception {
    Script large = exchange -> exchange.respond(200, "x".repeat((int) UNREAD_LIMIT_BYTES / 2));
    try (ForwardFixture fixture = fixture(large, UNREAD_LIMIT_BYTES);
        ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor()) {
      List<Socket> sockets = IntStream.range(0, 6).mapToObj(i -> open(fixture)).toList();
      for (Socket socket : sockets) {
        ForwardFixture.send(socket, "/once/x", "", "");
      }
      await("all requests are received", () -> fixture.receivedRequests() >= sockets.size());
      awaitUsed(fixture, true);
      long peak = fixture.bufferBytes(MemoryBudget::peakBytes);
      assertTrue(peak <= 2 * UNREAD_LIMIT_BYTES, "buffers used " + peak + " bytes");
      for (Socket socket : sockets) {
        callers.submit(() -> close(socket));
      }
      awaitUsed(fixture, false);
    }
  }

  /** Guards against failing the requests of all others because many callers don't read. */
  @Test
  void callersThatDoNotReadLeaveMemoryToOthers() throws Exception {
    String event = "data: " + "x".repeat(32 * 1024) + "\n\n";
    Script mostlyStreams =
        exchange -> {
          if (exchange.request().head().contains("sound")) {
            exchange.respond(200, "whole");
            return;
          }
          exchange.send(exchange.head(200, "X-Signed: s"));
          while (true) {
            exchange.send(event);
          }
        };
    List<Socket> sockets = new ArrayList<>();
    try (ForwardFixture fixture = fixture(mostlyStreams)) {
      for (int i = 0; i < SLOW_CALLERS; i++) {
        Socket socket = open(fixture);
        sockets.add(socket);
        ForwardFixture.send(socket, "/stream-once/x", "", "");
      }
      awaitShed(fixture);
      for (int i = 0; i < SOUND_REQUESTS; i++) {
        String response = fixture.call("/once/sound", "");
        assertTrue(response.endsWith("\r\n\r\nwhole"), response);
      }
    } finally {
      sockets.forEach(BufferMemoryContractTest::close);
    }
  }

  private static void awaitUsed(ForwardFixture fixture, boolean used) throws InterruptedException {
    await(
        used ? "memory is used" : "no memory is used",
        () -> fixture.bufferBytes(MemoryBudget::usedBytes) > 0 == used);
  }

  private static Socket open(ForwardFixture fixture) {
    try {
      Socket socket = new Socket();
      socket.setReceiveBufferSize(4 * 1024);
      socket.connect(fixture.connectAddress());
      return socket;
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  private static void close(Socket socket) {
    try {
      socket.close();
    } catch (IOException e) {
      throw new IllegalStateException(e);
    }
  }

  /** Guards against accepting request bodies without a bound on their sum. */
  @Test
  void requestWhoseBodyDoesNotFitIsRefusedAsNotRun() throws IOException {
    ForwardFixture.Limits limits = ForwardFixture.Limits.defaults().withBufferBytes(1_000);
    Script sound = exchange -> exchange.respond(200, "whole");
    try (ForwardFixture fixture = ForwardFixture.withLimits(limits, sound, Exchange::reset);
        Socket socket = fixture.connect()) {
      ForwardFixture.send(socket, "/once/x", "", "x".repeat(2_000));
      String response = ForwardFixture.readAll(socket);
      assertTrue(response.startsWith("HTTP/1.1 503 "), response);
      assertTrue(response.contains("memory_full"), response);
      assertTrue(response.toLowerCase(Locale.ROOT).contains("retry-after"), response);
      assertEquals(0, fixture.receivedRequests());
    }
  }
}
