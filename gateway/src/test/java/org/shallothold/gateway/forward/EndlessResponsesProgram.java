package org.shallothold.gateway.forward;

import java.io.IOException;
import java.net.Socket;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.locks.LockSupport;
import java.util.stream.IntStream;

/**
 * Runs a gateway and servers in one process. Most requests get bytes without end; exits with 0 if
 * all others get whole responses. Run with a small heap, so that an unbounded buffer ends it.
 */
final class EndlessResponsesProgram {

  private static final int ENDLESS_CALLERS = 200;
  private static final int SOUND_REQUESTS = 60;
  private static final String PART = "x".repeat(16 * 1024);
  private static final long SOUND_INTERVAL_MILLIS = 40;
  private static final long PART_INTERVAL_MILLIS = 15;

  private EndlessResponsesProgram() {}

  /**
   * Runs the program.
   *
   * @param arguments memory for buffers in bytes; if there is none, the part of the heap that a
   *     gateway uses by default
   */
  public static void main(String[] arguments) throws IOException, InterruptedException {
    long bufferBytes =
        arguments.length > 0
            ? Long.parseLong(arguments[0])
            : ForwardOptions.bufferBytes(Runtime.getRuntime().maxMemory());
    ForwardFixture.Limits limits = ForwardFixture.Limits.defaults().withBufferBytes(bufferBytes);
    try (ForwardFixture fixture =
        ForwardFixture.withLimits(
            limits, EndlessResponsesProgram::handle, EndlessResponsesProgram::handle)) {
      ExecutorService callers = Executors.newVirtualThreadPerTaskExecutor();
      IntStream.range(0, ENDLESS_CALLERS).forEach(i -> callers.submit(() -> callEndless(fixture)));
      int failures = 0;
      for (int i = 0; i < SOUND_REQUESTS; i++) {
        String response = fixture.call("/once/sound", "");
        failures += response.endsWith("\r\n\r\nwhole") ? 0 : 1;
        Thread.sleep(SOUND_INTERVAL_MILLIS);
      }
      System.err.println("failed: " + failures + " of " + SOUND_REQUESTS);
      System.exit(failures == 0 ? 0 : 1);
    }
  }

  private static void callEndless(ForwardFixture fixture) {
    while (true) {
      try (Socket socket = fixture.connect()) {
        ForwardFixture.send(socket, "/once/endless", "Connection: close\r\n", "");
        ForwardFixture.readAll(socket);
      } catch (IOException e) {
        System.err.println("a caller failed: " + e);
      }
    }
  }

  private static void handle(ScriptedServer.Exchange exchange) throws IOException {
    if (exchange.request().head().contains("sound")) {
      exchange.respond(200, "whole");
      return;
    }
    exchange.send(exchange.head(200, "X-Signed: s"));
    while (true) {
      exchange.send(PART);
      LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(PART_INTERVAL_MILLIS));
    }
  }
}
