package org.shallothold.core.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How many requests may be open at a server that started or recovered. */
class RampUpTest {

  private static final int SLOTS = 64;
  private static final long EXPECTED_MILLIS = 200;

  /**
   * A server that gets a request whenever its window allows it, as from callers without end.
   *
   * <p>It runs so many first events at once as it has units; the others wait for it.
   */
  private static final class LoadedServer {
    private final RampUp rampUp;
    private final int units;
    private final long serviceMillis;
    private final Deque<Long> waiting = new ArrayDeque<>();
    private final List<Long> dueMillis = new ArrayList<>();
    private long next;
    private int mostOpen;
    private long firstEvents;

    private LoadedServer(RampUp rampUp, int units, long serviceMillis) {
      this.rampUp = rampUp;
      this.units = units;
      this.serviceMillis = serviceMillis;
    }

    private int open() {
      return waiting.size() + dueMillis.size();
    }

    private void run(long fromMillis, long untilMillis) {
      for (long now = fromMillis; now < untilMillis; now += 10) {
        long time = now;
        dueMillis.removeIf(due -> due <= time && answered(time));
        while (dueMillis.size() < units && !waiting.isEmpty()) {
          waiting.remove();
          dueMillis.add(now + serviceMillis);
        }
        boolean over = rampUp.isOver(SLOTS, now);
        if (open() < SLOTS && (over || rampUp.hasRoom(open(), 1, now))) {
          rampUp.recordIssued(now);
          rampUp.recordSent(next, EXPECTED_MILLIS, now);
          waiting.add(next++);
        }
        if (!over) {
          mostOpen = Math.max(mostOpen, open());
        }
      }
    }

    private boolean answered(long now) {
      rampUp.recordFirstEvent(firstEvents++, now);
      return true;
    }
  }

  private static RampUp begun() {
    return RampUp.of(1, 0, 0);
  }

  @Nested
  class OneServer {

    /** Guards against a healthy server that is left idle after its start. */
    @Test
    void healthyServerReachesItsSlots() {
      RampUp rampUp = begun();
      new LoadedServer(rampUp, SLOTS, EXPECTED_MILLIS).run(0, 4_000);
      assertTrue(rampUp.isOver(SLOTS, 4_000), "window " + rampUp.window());
    }

    /** Guards against a flood at a server that is slow to start among healthy ones. */
    @Test
    void slowStarterIsNotFlooded() {
      LoadedServer server = new LoadedServer(begun(), 2, 400);
      server.run(0, RampUp.MAX_DURATION_MILLIS);
      assertTrue(server.mostOpen <= 12, server.mostOpen + " open");
      assertTrue(server.firstEvents >= 20, server.firstEvents + " answers");
    }

    /** Guards against a server that gets more and more requests while it answers none. */
    @Test
    void frozenServerGetsHardlyAny() {
      LoadedServer server = new LoadedServer(begun(), 1, 60_000);
      server.run(0, 3_000);
      assertTrue(server.open() <= RampUp.INITIAL_WINDOW + 4, server.open() + " open");
    }

    /** Guards against a state that outlives its reason. */
    @Test
    void rampUpEndsAfterItsLongestDuration() {
      RampUp rampUp = begun();
      assertFalse(rampUp.isOver(SLOTS, RampUp.MAX_DURATION_MILLIS - 1));
      assertTrue(rampUp.isOver(SLOTS, RampUp.MAX_DURATION_MILLIS));
    }
  }

  @Nested
  class Window {

    @ParameterizedTest
    @ValueSource(ints = {0, 3, 40})
    void beginsWithTheOpenRequests(int open) {
      assertEquals(Math.max(RampUp.INITIAL_WINDOW, open), RampUp.of(1, 0, open).window());
    }

    /** Guards against a window that shrinks to nothing because of one slow moment. */
    @Test
    void halvesOnceInTheExpectedTimeOfAnAnswer() {
      RampUp rampUp = RampUp.of(1, 0, 32);
      for (long request = 0; request < 8; request++) {
        rampUp.recordSent(request, EXPECTED_MILLIS, 0);
      }
      for (long request = 0; request < 8; request++) {
        rampUp.recordFailure(request, 100 + request);
      }
      assertEquals(16, rampUp.window());
      assertEquals(new RampUp.Counts(0, 8), rampUp.ownCounts());
    }

    /** Guards against waiting for the answer of a server that lags. */
    @Test
    void halvesBeforeALateFirstEventArrives() {
      RampUp rampUp = RampUp.of(1, 0, 32);
      rampUp.recordSent(1, EXPECTED_MILLIS, 0);
      rampUp.recordOverdue(3 * EXPECTED_MILLIS);
      assertEquals(32, rampUp.window());
      rampUp.recordOverdue(3 * EXPECTED_MILLIS + 1);
      assertEquals(16, rampUp.window());
      rampUp.recordFirstEvent(1, 3 * EXPECTED_MILLIS + 2);
      assertEquals(16, rampUp.window());
    }

    /** Guards against permits that add up before their requests are known to be open. */
    @Test
    void permitsCountUntilTheirRequestsAreKnown() {
      RampUp rampUp = begun();
      int issued = 0;
      while (rampUp.hasRoom(0, 1, 0)) {
        rampUp.recordIssued(0);
        issued++;
      }
      assertEquals(RampUp.INITIAL_WINDOW, issued);
      assertTrue(rampUp.hasRoom(0, 1, 200));
      assertFalse(rampUp.hasRoom(RampUp.INITIAL_WINDOW, 1, 200));
    }

    /** Guards against gateways without contact that each fill the whole window. */
    @Test
    void gatewayWithoutContactUsesItsShare() {
      RampUp rampUp = RampUp.of(1, 0, 32);
      rampUp.recordIssued(0);
      assertTrue(rampUp.hasRoom(7, 0.5, 0));
      assertFalse(rampUp.hasRoom(15, 0.5, 0));
    }
  }

  @Nested
  class Fleet {

    /** Guards against gateways that each probe the server by themselves. */
    @Test
    void answersOfAllGatewaysCount() {
      RampUp coordinator = begun();
      for (int peer = 0; peer < 300; peer++) {
        coordinator.recordPeer("p" + peer, new RampUp.Counts(1, 0), 500);
      }
      assertEquals(RampUp.INITIAL_WINDOW + 300, coordinator.window());
      assertEquals(new RampUp.Counts(300, 0), coordinator.allCounts());
    }

    /** Guards against counting a repeated message twice. */
    @Test
    void repeatedCountsChangeNothing() {
      RampUp rampUp = begun();
      rampUp.recordPeer("p", new RampUp.Counts(4, 1), 500);
      int window = rampUp.window();
      rampUp.recordPeer("p", new RampUp.Counts(4, 1), 2_000);
      assertEquals(window, rampUp.window());
      rampUp.recordPeer("p", new RampUp.Counts(4, 2), 3_000);
      assertEquals(window / 2, rampUp.window());
    }

    /** Guards against a ramp-up for each gateway that learns of the same start. */
    @Test
    void startsThatAreLearnedOneAfterTheOtherAreTheSame() {
      RampUp rampUp = RampUp.of(1, 10_000, 0);
      assertTrue(rampUp.covers(9_000));
      assertTrue(rampUp.covers(11_500));
      assertFalse(rampUp.covers(13_000));
    }
  }

  @Nested
  class ManyServers {

    /** Guards against a wave of restarts that floods the servers which came back first. */
    @Test
    void waveOfRestartsRampsUpEachServer() {
      for (int server = 0; server < 10; server++) {
        long startMillis = server * 300L;
        LoadedServer loaded =
            new LoadedServer(RampUp.of(server, startMillis, 0), 4, EXPECTED_MILLIS);
        loaded.run(startMillis, startMillis + 1_000);
        assertTrue(loaded.mostOpen <= 24, loaded.mostOpen + " open");
        assertTrue(loaded.firstEvents >= 8, loaded.firstEvents + " answers");
      }
    }

    /** Guards against a server that flaps and gets the whole load each time it comes back. */
    @Test
    void flappingServerBeginsAnew() {
      for (int instance = 0; instance < 5; instance++) {
        long startMillis = instance * 2_500L;
        LoadedServer loaded = new LoadedServer(RampUp.of(instance, startMillis, 0), 8, 300);
        loaded.run(startMillis, startMillis + 600);
        assertTrue(loaded.mostOpen <= 16, loaded.mostOpen + " open");
      }
    }
  }
}
