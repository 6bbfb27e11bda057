package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.locks.LockSupport;
import java.util.function.LongSupplier;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.core.route.ColdStart;
import org.shallothold.gateway.forward.ScriptedServer.Script;

/** How many requests a cold server gets from several gateways, by each source of its state. */
class ColdServerContractTest {

  private static final int GATEWAYS = 3;
  private static final double COLD_PER_SECOND = 2;
  private static final long COLD_MILLIS = 3_000;
  private static final ColdStart COLD_START = new ColdStart(COLD_MILLIS, COLD_PER_SECOND);
  // What a cold server tolerates within a second.
  private static final long TOLERATED_REQUESTS = (long) (1.5 * COLD_PER_SECOND + 5);
  private static final long WINDOW_MILLIS = 1_000;
  private static final long CALL_INTERVAL_MILLIS = 10;
  // The time for which a new coordinator issues nothing, and some more.
  private static final long SETTLED_MILLIS = 4_000;

  private static final Script GOOD = exchange -> exchange.respond(200, "whole");

  /** A server that records when requests arrived, and states how long it stays cold. */
  private static final class ColdServer implements Script {
    private final List<Long> arrivalMillis = new CopyOnWriteArrayList<>();
    private final AtomicLong coldUntilMillis = new AtomicLong();
    private volatile boolean statesIt = true;

    @Override
    public void handle(ScriptedServer.Exchange exchange) throws IOException {
      long nowMillis = MonotonicClock.millis();
      arrivalMillis.add(nowMillis);
      long remainingMillis = coldUntilMillis.get() - nowMillis;
      exchange.send(
          exchange.head(
                  200,
                  "X-Signed: s\r\n"
                      + (statesIt && remainingMillis > 0
                          ? "X-Cold: " + remainingMillis + "\r\n"
                          : "")
                      + "Content-Length: 5")
              + "whole");
    }

    private void becomeCold(long millis) {
      coldUntilMillis.set(MonotonicClock.millis() + millis);
    }

    /** Returns the most requests that arrived within a window that begins in the given time. */
    private long mostInWindow(long fromMillis, long untilMillis) {
      List<Long> within =
          arrivalMillis.stream()
              .filter(millis -> millis >= fromMillis && millis < untilMillis)
              .sorted()
              .toList();
      return within.stream()
          .mapToLong(
              start ->
                  within.stream()
                      .filter(millis -> millis >= start && millis < start + WINDOW_MILLIS)
                      .count())
          .max()
          .orElse(0);
    }

    private long arrivals(long fromMillis, long untilMillis) {
      return arrivalMillis.stream()
          .filter(millis -> millis >= fromMillis && millis < untilMillis)
          .count();
    }
  }

  /** Calls the gateways in turn; returns the time of the last call. */
  private static long callInTurn(ForwardFixture fixture, long durationMillis)
      throws IOException, InterruptedException {
    return callInTurn(fixture, durationMillis, GATEWAYS);
  }

  private static long callInTurn(ForwardFixture fixture, long durationMillis, int gateways)
      throws IOException, InterruptedException {
    long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(durationMillis);
    for (int i = 0; System.nanoTime() < endNanos; i++) {
      String response = fixture.call(i % gateways, "/once/x", "");
      assertTrue(response.endsWith("whole"), response);
      Thread.sleep(CALL_INTERVAL_MILLIS);
    }
    return MonotonicClock.millis();
  }

  private static void assertTolerated(ColdServer server, long fromMillis, long untilMillis) {
    long most = server.mostInWindow(fromMillis, untilMillis);
    assertTrue(most <= TOLERATED_REQUESTS, most + " requests within a second");
  }

  @Nested
  class EachSource {

    /** Guards against a crash of a server that says in its responses that it is cold. */
    @Test
    void response() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withColdStart(GATEWAYS, COLD_START, first, GOOD)) {
        callInTurn(fixture, SETTLED_MILLIS);
        long beganMillis = MonotonicClock.millis();
        first.becomeCold(COLD_MILLIS);
        long endedMillis = callInTurn(fixture, COLD_MILLIS);
        assertTolerated(first, beganMillis, endedMillis);
        assertTrue(first.arrivals(beganMillis + 1_000, endedMillis) >= 2, "left idle");
        Thread.sleep(1_000);
        long warmMillis = MonotonicClock.millis();
        callInTurn(fixture, 1_000);
        assertTrue(first.arrivals(warmMillis, MonotonicClock.millis()) > 2 * TOLERATED_REQUESTS);
      }
    }

    /** Guards against a flood at a server that becomes cold again by its entry alone. */
    @Test
    void entryOfOneGateway() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withColdStart(GATEWAYS, COLD_START, first, GOOD)) {
        callInTurn(fixture, SETTLED_MILLIS);
        for (long revision = 2; revision < 4; revision++) {
          fixture.publishServers(
              0, revision, Map.of("first", Long.toString(COLD_MILLIS), "second", "0"));
          // The other gateways learn it from the first.
          Thread.sleep(100);
          long beganMillis = MonotonicClock.millis();
          long endedMillis = callInTurn(fixture, COLD_MILLIS - 200);
          assertTolerated(first, beganMillis, endedMillis);
          Thread.sleep(1_000);
          assertTrue(first.arrivals(beganMillis, endedMillis) >= 2, "left idle");
        }
      }
    }

    /** Guards against a flood at a server whose entry does not say that it is cold. */
    @Test
    void observedStart() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withLaterServer(
              GATEWAYS, ForwardFixture.Limits.defaults(), COLD_START, first, GOOD)) {
        callInTurn(fixture, SETTLED_MILLIS);
        long beganMillis = MonotonicClock.millis();
        // The other gateways read it later, or not at all.
        fixture.publishServers(0, 2, Map.of("first", "0", "second", "0"));
        callInTurn(fixture, 1_000);
        fixture.publishServers(1, 2, Map.of("first", "0", "second", "0"));
        long endedMillis = callInTurn(fixture, COLD_MILLIS - 1_200);
        assertTolerated(first, beganMillis, endedMillis);
        assertTrue(first.arrivals(beganMillis, endedMillis) >= 2, "left idle");
        Thread.sleep(1_500);
        long warmMillis = MonotonicClock.millis();
        callInTurn(fixture, 1_000);
        assertTrue(first.arrivals(warmMillis, MonotonicClock.millis()) > 2 * TOLERATED_REQUESTS);
      }
    }

    /** Guards against a server that counts as new because its listing had lapsed. */
    @Test
    void serverThatIsListedAgainDidNotStart() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withColdStart(GATEWAYS, COLD_START, first, GOOD)) {
        callInTurn(fixture, 500);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fixture.publishServers(gateway, 2, Map.of("second", "0"));
          fixture.publishServers(gateway, 3, Map.of("first", "0", "second", "0"));
        }
        long listedMillis = MonotonicClock.millis();
        callInTurn(fixture, 500);
        assertTrue(first.arrivals(listedMillis, MonotonicClock.millis()) > TOLERATED_REQUESTS);
      }
    }

    /** Guards against a flood at the servers of a failure domain that is used again. */
    @Test
    void endOfEvacuation() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withColdStart(GATEWAYS, COLD_START, first, GOOD)) {
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fixture.publishEvacuations(gateway, 2, "north");
        }
        callInTurn(fixture, SETTLED_MILLIS);
        long beganMillis = MonotonicClock.millis();
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fixture.publishEvacuations(gateway, 3);
        }
        long endedMillis = callInTurn(fixture, COLD_MILLIS - 500);
        assertTolerated(first, beganMillis, endedMillis);
        assertTrue(first.arrivals(beganMillis, endedMillis) >= 2, "left idle");
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fixture.publishServers(gateway, 4, Map.of("first", "0", "second", "0"));
        }
        long warmMillis = MonotonicClock.millis();
        callInTurn(fixture, 400);
        assertTrue(first.arrivals(warmMillis, MonotonicClock.millis()) > TOLERATED_REQUESTS);
      }
    }
  }

  @Nested
  class FrozenCoordinator {

    /**
     * Guards against permits of two coordinators, and against callers that fail while the gateways
     * learn that one of them is frozen. One of the two that freeze is probably the coordinator.
     */
    @Test
    void toleranceHoldsAndWarmServersGetTheRest() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withColdStart(GATEWAYS, COLD_START, first, GOOD)) {
        callInTurn(fixture, SETTLED_MILLIS);
        fixture.publishServers(0, 2, Map.of("first", "12000", "second", "0"));
        Thread.sleep(100);
        long beganMillis = MonotonicClock.millis();
        callInTurn(fixture, 1_000);
        fixture.keepEventLoopBusy(1, Duration.ofSeconds(7));
        fixture.keepEventLoopBusy(2, Duration.ofSeconds(7));
        callInTurn(fixture, 6_500, 1);
        callInTurn(fixture, 3_000, 1);
        assertTolerated(first, beganMillis, MonotonicClock.millis());
      }
    }
  }

  @Nested
  class RampingUp {

    private static final int CALLS = 30;
    private static final long ANSWER_MILLIS = 300;

    private static final Script SLOW =
        exchange -> {
          LockSupport.parkNanos(TimeUnit.MILLISECONDS.toNanos(ANSWER_MILLIS));
          exchange.respond(200, "whole");
        };

    /** Returns how many of the calls that begin at once reach a server that just started. */
    private int callsAtNewServer(ForwardFixture.Limits limits)
        throws IOException, InterruptedException {
      try (ForwardFixture fixture =
          ForwardFixture.withLaterServer(GATEWAYS, limits, ColdStart.NONE, SLOW, SLOW)) {
        Thread.sleep(SETTLED_MILLIS);
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fixture.call(gateway, "/once/x", "");
        }
        for (int gateway = 0; gateway < GATEWAYS; gateway++) {
          fixture.publishServers(gateway, 2, Map.of("first", "0", "second", "0"));
        }
        List<Thread> callers = new ArrayList<>();
        for (int i = 0; i < CALLS; i++) {
          int gateway = i % GATEWAYS;
          callers.add(Thread.ofVirtual().start(() -> callQuietly(fixture, gateway)));
        }
        Thread.sleep(ANSWER_MILLIS / 2);
        int received = fixture.first().requests().size();
        for (Thread caller : callers) {
          caller.join();
        }
        return received;
      }
    }

    private static void callQuietly(ForwardFixture fixture, int gateway) {
      try {
        fixture.call(gateway, "/once/x", "");
      } catch (IOException e) {
        throw new UncheckedIOException(e);
      }
    }

    /** Guards against gateways that each probe a server which just started. */
    @Test
    void allGatewaysShareOneWindow() throws IOException, InterruptedException {
      int received = callsAtNewServer(ForwardFixture.Limits.defaults().withStartingServers());
      assertTrue(received >= 1 && received <= 6, received + " requests");
    }

    /** Guards against a window in a deployment whose settings do not ask for it. */
    @Test
    void withoutTheSwitchThereIsNoWindow() throws IOException, InterruptedException {
      int received = callsAtNewServer(ForwardFixture.Limits.defaults());
      assertTrue(received > 6, received + " requests");
    }
  }

  @Nested
  class StartingGateway {

    /** Guards against a gateway that sends to cold servers before it knows the others. */
    @Test
    void sendsNothingToColdServers() throws IOException, InterruptedException {
      ColdServer first = new ColdServer();
      try (ForwardFixture fixture =
          ForwardFixture.withColdStart(GATEWAYS, COLD_START, first, GOOD)) {
        callInTurn(fixture, SETTLED_MILLIS);
        fixture.publishServers(0, 2, Map.of("first", "6000", "second", "0"));
        Thread.sleep(100);
        int added = fixture.addGateway();
        fixture.publishServers(added, 2, Map.of("first", "6000", "second", "0"));
        long startedMillis = MonotonicClock.millis();
        callInTurn(fixture, 2_500, added + 1);
        assertTolerated(first, startedMillis, MonotonicClock.millis());
      }
    }
  }

  @Nested
  class NoWarmServer {

    /** Guards against requests beyond the limit, and against refusals that claim anything else. */
    @Test
    void requestsAreRefusedAsNotRun() throws IOException {
      ColdServer first = new ColdServer();
      ColdServer second = new ColdServer();
      first.becomeCold(COLD_MILLIS);
      second.becomeCold(COLD_MILLIS);
      try (ForwardFixture fixture = ForwardFixture.withColdStart(1, COLD_START, first, second)) {
        // Without a coordinator nothing is sent after the two that show that the servers are cold.
        List<String> refused = new ArrayList<>();
        for (int i = 0; i < 4; i++) {
          String response = fixture.call("/once/x", "");
          if (!response.endsWith("whole")) {
            refused.add(response);
          }
        }
        assertFalse(refused.isEmpty());
        assertEquals(4 - refused.size(), fixture.receivedRequests());
        refused.forEach(
            text -> {
              assertTrue(text.startsWith("HTTP/1.1 503 "), text);
              assertTrue(text.contains("\"verdict\":\"not_run\""), text);
              assertTrue(text.toLowerCase(Locale.ROOT).contains("retry-after: "), text);
            });
      }
    }
  }

  @Nested
  class OddFigures {

    /** Guards against a gateway that stops because of a figure that it can't use. */
    @ParameterizedTest
    @ValueSource(strings = {"soon", "-5", "NaN", ""})
    void unusableFigureLimitsNothing(String figure) throws IOException {
      Script odd =
          exchange ->
              exchange.send(
                  exchange.head(200, "X-Signed: s\r\nX-Cold: " + figure + "\r\nContent-Length: 5")
                      + "whole");
      try (ForwardFixture fixture = ForwardFixture.withColdStart(1, COLD_START, odd, GOOD)) {
        for (int i = 0; i < 20; i++) {
          assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        }
        assertEquals(20, fixture.first().requests().size());
      }
    }
  }

  @Nested
  class WithoutConfiguration {

    /** Guards against limits in a deployment whose configuration does not ask for them. */
    @Test
    void nothingIsLimited() throws IOException {
      ColdServer first = new ColdServer();
      first.becomeCold(60_000);
      LongSupplier received = () -> first.arrivals(0, Long.MAX_VALUE);
      try (ForwardFixture fixture = ForwardFixture.withColdStart(1, ColdStart.NONE, first, GOOD)) {
        for (int i = 0; i < 20; i++) {
          assertTrue(fixture.call("/once/x", "").endsWith("whole"));
        }
        assertEquals(20, received.getAsLong());
      }
    }
  }
}
