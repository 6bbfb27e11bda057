package org.shallothold.core.rate;

import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.function.LongPredicate;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * How many requests a cold server gets within one second from gateways that ask its coordinator,
 * with drawn delays of questions, answers and new connections.
 */
class ColdPaceTest {

  private static final String SERVER = "engine-1";
  private static final long INSTANCE = 1;
  private static final long WINDOW_MILLIS = 1_000;
  private static final long SETTLE_MILLIS = 3_000;
  private static final int ROUND_MILLIS = 20;

  /** What a cold server tolerates within one second. */
  private static long toleratedRequests(double coldPerSecond) {
    return (long) (1.5 * coldPerSecond + 5);
  }

  private static long mostInWindow(List<Long> arrivals) {
    List<Long> sorted = arrivals.stream().sorted().toList();
    int most = 0;
    int first = 0;
    for (int last = 0; last < sorted.size(); last++) {
      while (sorted.get(last) - sorted.get(first) >= WINDOW_MILLIS) {
        first++;
      }
      most = Math.max(most, last - first + 1);
    }
    return most;
  }

  /** Permit holders of some gateways, each with waiting requests, and the server's coordinator. */
  private static final class Load {
    private final Random random;
    private final double issuedPerSecond;
    private final int maxDelayMillis;
    private final PermitTerms terms;
    private final List<PermitHolder> holders = new ArrayList<>();
    private final List<Map<Long, Boolean>> waitingRequests = new ArrayList<>();
    private final PriorityQueue<Event> events = new PriorityQueue<>();
    private final List<Long> arrivals = new ArrayList<>();
    private PermitIssuer coordinator = PermitIssuer.create();
    private LongPredicate coordinatorAnswers = millis -> true;
    private int maxSendDelayMillis = 400;
    private long nextRequest;
    private long questions;

    private record Event(long millis, long order, Runnable action) implements Comparable<Event> {
      @Override
      public int compareTo(Event other) {
        return millis != other.millis
            ? Long.compare(millis, other.millis)
            : Long.compare(order, other.order);
      }
    }

    Load(int gateways, double coldPerSecond, int maxDelayMillis, long seed) {
      random = new Random(seed);
      issuedPerSecond = 0.95 * coldPerSecond;
      this.maxDelayMillis = maxDelayMillis;
      terms = PermitTerms.forStartingServer(issuedPerSecond, gateways);
      for (int i = 0; i < gateways; i++) {
        holders.add(PermitHolder.create());
        waitingRequests.add(new HashMap<>());
      }
    }

    /**
     * Lets requests arrive and every gateway ask for those that wait, in rounds.
     *
     * @param perSecond arrivals per second at all gateways together
     * @param waits whether a request waits if it gets no permit; else it goes to another server
     */
    void run(long fromMillis, long untilMillis, double perSecond, boolean waits) {
      for (long now = fromMillis; now < untilMillis; now++) {
        while (!events.isEmpty() && events.peek().millis() <= now) {
          events.remove().action().run();
        }
        if (random.nextDouble() < perSecond / 1_000) {
          waitingRequests.get(random.nextInt(holders.size())).put(nextRequest++, waits);
        }
        for (int gateway = 0; gateway < holders.size(); gateway++) {
          if ((now + gateway) % ROUND_MILLIS == 0) {
            dispatch(gateway, now);
          }
        }
      }
    }

    private void dispatch(int gateway, long now) {
      waitingRequests
          .get(gateway)
          .entrySet()
          .removeIf(request -> decide(gateway, request.getKey(), request.getValue(), now));
    }

    /** Returns whether the request was sent, here or elsewhere. */
    private boolean decide(int gateway, long number, boolean waits, long now) {
      PermitHolder holder = holders.get(gateway);
      return switch (holder.state(SERVER, INSTANCE, number, now)) {
        case ADMITTED -> {
          holder.tryUse(SERVER, INSTANCE, now);
          arrivals.add(now + random.nextInt(maxSendDelayMillis));
          yield true;
        }
        case AWAITS_ANSWER -> false;
        case DENIED -> !waits;
        case SHOULD_ASK -> {
          holder.recordQuestion(SERVER, INSTANCE, number, now);
          questions++;
          long toCoordinator = delay();
          at(now + toCoordinator, () -> answer(gateway, number, now, now + toCoordinator));
          yield false;
        }
      };
    }

    private void answer(int gateway, long number, long askedMillis, long now) {
      if (!coordinatorAnswers.test(now)) {
        return;
      }
      boolean granted = coordinator.tryIssue(SERVER, INSTANCE, issuedPerSecond, now);
      long arrives = now + delay();
      at(
          arrives,
          () ->
              holders
                  .get(gateway)
                  .recordAnswer(SERVER, INSTANCE, number, granted, askedMillis, terms, arrives));
    }

    private void at(long millis, Runnable action) {
      events.add(new Event(millis, events.size(), action));
    }

    private long delay() {
      return 1L + random.nextInt(maxDelayMillis);
    }
  }

  @Nested
  class SteadyFleet {

    /** Guards against a crash of a cold server by permits that are used in a bunch. */
    @ParameterizedTest
    @CsvSource({
      "1, 2, 30",
      "5, 7, 100",
      "11, 7, 700",
      "11, 30, 700",
      "60, 2, 600",
      "60, 7, 600",
      "300, 7, 2000",
      "300, 30, 2000"
    })
    void toleranceHoldsInEverySecond(int gateways, double coldPerSecond, double requests) {
      for (long seed = 1; seed <= 3; seed++) {
        Load load = new Load(gateways, coldPerSecond, 60, seed);
        load.run(0, 8_000, requests, seed != 2);
        long most = mostInWindow(load.arrivals);
        assertTrue(most <= toleratedRequests(coldPerSecond), most + " requests, seed " + seed);
      }
    }

    /** Guards against a cold server that is left idle while requests wait. */
    @ParameterizedTest
    @CsvSource({"1, 2, 30", "5, 7, 100", "60, 7, 600", "300, 7, 600", "300, 2, 600"})
    void mostOfTheRateIsUsed(int gateways, double coldPerSecond, double requests) {
      Load load = new Load(gateways, coldPerSecond, 15, 1);
      load.maxSendDelayMillis = 1;
      load.run(0, 10_000, requests, true);
      double used = load.arrivals.size() / (10 * coldPerSecond);
      assertTrue(used >= 0.7, "used " + used);
    }

    /** Guards against a question to the coordinator for each request of a large fleet. */
    @Test
    void questionsAreFewerThanRequests() {
      Load load = new Load(300, 7, 15, 1);
      load.run(0, 10_000, 6_000, false);
      assertTrue(load.questions < 10 * 6_000 / 4, load.questions + " questions");
    }
  }

  @Nested
  class Coordinator {

    /** Guards against two coordinators whose permits add up when one is killed. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5})
    void toleranceHoldsWhenItIsKilled(long seed) {
      Load load = new Load(60, 7, 60, seed);
      load.run(0, 3_000, 600, true);
      load.coordinatorAnswers = millis -> false;
      load.run(3_000, 8_000, 600, true);
      load.coordinator = PermitIssuer.create();
      load.coordinator.gatewaysChanged(server -> true, 8_000 + SETTLE_MILLIS);
      load.coordinatorAnswers = millis -> true;
      load.run(8_000, 16_000, 600, true);
      assertTrue(mostInWindow(load.arrivals) <= toleratedRequests(7));
      assertTrue(
          load.arrivals.stream().noneMatch(millis -> millis > 4_000 && millis < 8_000),
          "sent without a coordinator");
      assertTrue(load.arrivals.stream().anyMatch(millis -> millis > 12_000));
    }
  }

  @Nested
  class ManyColdServers {

    /** Guards against questions to the coordinators of all servers of a failure domain. */
    @Test
    void requestAsksTwoCoordinatorsAtOnce() {
      PermitHolder holder = PermitHolder.create();
      int asked = 0;
      for (int server = 0; server < 30; server++) {
        if (holder.state("engine-" + server, INSTANCE, 1, 10) == PermitHolder.State.SHOULD_ASK) {
          holder.recordQuestion("engine-" + server, INSTANCE, 1, 10);
          asked++;
        }
      }
      assertTrue(asked <= 2, asked + " coordinators");
    }
  }
}
