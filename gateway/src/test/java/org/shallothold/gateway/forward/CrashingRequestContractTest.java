package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** What gateways do about single requests that end each server which runs them. */
class CrashingRequestContractTest {

  private static final int SERVERS = 6;
  private static final int GATEWAYS = 2;
  // The routes of the fixture allow two attempts of requests that may be sent again.
  private static final int MAX_ATTEMPTS = 2;
  private static final Duration DOWN_TIME = Duration.ofMillis(300);
  private static final long CALL_INTERVAL_MILLIS = 60;

  private final AtomicInteger ends = new AtomicInteger();

  private List<ScriptedServer> startServers() throws IOException {
    List<ScriptedServer> servers = new ArrayList<>();
    for (int i = 0; i < SERVERS; i++) {
      int index = i;
      Script script =
          exchange -> {
            if (exchange.request().head().contains("/crash ")) {
              ends.incrementAndGet();
              servers.get(index).end(DOWN_TIME);
            } else {
              exchange.respond(200, "whole");
            }
          };
      servers.add(ScriptedServer.start(i == 0 ? "first" : "server-" + i, script));
    }
    return servers;
  }

  /** Guards against a request that the system itself sends from one server to the next. */
  @ParameterizedTest
  @CsvSource({"/once/, 1", "/stream-once/, 1", "/repeatable/, 2", "/stream/, 2"})
  void requestEndsNoMoreServersThanItsRouteAllows(String path, int maxEnds) throws IOException {
    try (ForwardFixture fixture = ForwardFixture.withGateways(1, startServers())) {
      String response = fixture.call(path + "crash", "");
      assertTrue(response.startsWith("HTTP/1.1 502 "), response);
      assertTrue(response.contains("may_have_run"), response);
      assertTrue(ends.get() <= maxEnds, ends.get() + " servers ended");
    }
  }

  /** Guards against failing sound requests while others end a server now and then. */
  @Test
  void soundRequestsAreAnsweredMeanwhile() throws IOException, InterruptedException {
    try (ForwardFixture fixture = ForwardFixture.withGateways(GATEWAYS, startServers())) {
      List<CompletableFuture<String>> sound = new ArrayList<>();
      int crashing = 0;
      for (int i = 0; i < 60; i++) {
        int gateway = i % GATEWAYS;
        sound.add(CompletableFuture.supplyAsync(() -> call(fixture, gateway, "/repeatable/sound")));
        if (i % 10 == 5) {
          crashing++;
          CompletableFuture.runAsync(() -> call(fixture, gateway, "/repeatable/crash"));
        }
        Thread.sleep(CALL_INTERVAL_MILLIS);
      }
      long whole = sound.stream().filter(call -> call.join().endsWith("whole")).count();
      assertEquals(sound.size(), whole);
      assertTrue(ends.get() <= crashing * MAX_ATTEMPTS, ends.get() + " servers ended");
    }
  }

  private static String call(ForwardFixture fixture, int gateway, String path) {
    try {
      return fixture.call(gateway, path, "");
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    }
  }
}
