package org.shallothold.core.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.MethodSource;
import org.shallothold.core.queue.DecisionRecord.Kind;
import org.shallothold.core.queue.DecisionRecord.Place;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Checks every decision of random runs: guards against a higher tier that loses to a lower one, a
 * class that starves, and a request that is preempted for ever or lost.
 */
class SchedulerInvariantsTest {

  private static final long FLOOR_MILLIS = 200;
  private static final int MAX_PREEMPTIONS = 2;
  private static final long PROTECTED_MILLIS = 100;
  private static final int STEPS = 600;

  static IntStream seeds() {
    return IntStream.range(0, 300);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void everyDecisionIsAllowed(int seed) {
    new Run(seed).run();
  }

  /** Guards against random runs that are too tame to show a fault. */
  @Test
  void runsReachEveryKindOfDecision() {
    Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    Set<ReasonCode> reasons = EnumSet.noneOf(ReasonCode.class);
    for (int seed = 0; seed < 20; seed++) {
      Run run = new Run(seed);
      run.run();
      kinds.addAll(run.kinds);
      reasons.addAll(run.reasons);
    }
    assertEquals(EnumSet.allOf(Kind.class), kinds);
    assertEquals(
        EnumSet.of(ReasonCode.QUEUE_FULL, ReasonCode.DISPLACED, ReasonCode.DEADLINE), reasons);
  }

  private static final class Run {

    private final Random random;
    private final String label;
    private final BackendScheduler scheduler;
    private final List<String> classes =
        List.of("alarm:0", "chat:1", "board:1", "report:2", "night:3");

    private final Map<Long, Long> arrivals = new HashMap<>();
    private final Map<String, Long> lastStarts = new HashMap<>();
    private final Map<String, Long> lastFloorStarts = new HashMap<>();
    private final Map<Long, Integer> preemptions = new HashMap<>();
    private final Map<Long, Long> startTimes = new HashMap<>();
    private final Set<Long> floorStarted = new HashSet<>();
    private final Set<Long> running = new HashSet<>();
    private final Set<Long> waiting = new HashSet<>();
    private final Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    private final Set<ReasonCode> reasons = EnumSet.noneOf(ReasonCode.class);
    private long now;

    Run(int seed) {
      this.random = new Random(seed);
      this.label = "seed " + seed;
      this.scheduler =
          BackendScheduler.create(
              new SchedulerOptions(
                  SchedulingPolicy.TIERS, FLOOR_MILLIS, MAX_PREEMPTIONS, PROTECTED_MILLIS),
              this::check);
    }

    void run() {
      apply(scheduler.limits(1 + random.nextInt(4), 1 + random.nextInt(6), now));
      int load = 2 + random.nextInt(6);
      for (int step = 1; step <= STEPS; step++) {
        pass(random.nextInt(20));
        if (random.nextInt(10) < load) {
          submit(step);
        } else if (random.nextInt(20) == 0) {
          apply(scheduler.limits(1 + random.nextInt(4), 1 + random.nextInt(6), now));
        } else if (random.nextInt(10) == 0) {
          any(waiting).ifPresent(id -> leave(waiting, id, scheduler.cancel(id, now)));
        } else if (random.nextInt(10) == 0) {
          any(running).ifPresent(id -> leave(running, id, scheduler.cancel(id, now)));
        } else {
          any(running).ifPresent(id -> leave(running, id, scheduler.finish(id, now)));
        }
        any(running).ifPresent(id -> scheduler.progress(id, random.nextInt(50)));
        assertEquals(running.size(), scheduler.running(), label);
        assertTrue(
            waiting.isEmpty() || running.size() >= scheduler.maxRunning(),
            label + ": work waits beside a free slot");
      }
      drain();
    }

    /**
     * Lets time pass in steps of one millisecond, so that each bound is seen when it is reached.
     */
    private void pass(int millis) {
      for (int step = 0; step < millis; step++) {
        now++;
        apply(scheduler.tick(now));
      }
    }

    /** Without new arrivals everything ends, so nothing is lost or goes round for ever. */
    private void drain() {
      for (int step = 0; step < STEPS && !(running.isEmpty() && waiting.isEmpty()); step++) {
        now += 10;
        any(running).ifPresent(id -> leave(running, id, scheduler.finish(id, now)));
      }
      assertTrue(running.isEmpty() && waiting.isEmpty(), label + ": work never ended");
    }

    private void submit(long id) {
      String[] choice = classes.get(random.nextInt(classes.size())).split(":", -1);
      long deadline = now + 50 + random.nextInt(3_000);
      Work work =
          new Work(
              id,
              choice[0],
              Integer.parseInt(choice[1]),
              "customer" + random.nextInt(4),
              deadline,
              random.nextInt(5) > 0);
      arrivals.put(id, now);
      waiting.add(id);
      apply(scheduler.submit(work, now));
    }

    private void leave(Set<Long> from, long id, List<SchedulerAction> actions) {
      from.remove(id);
      apply(actions);
    }

    private void apply(List<SchedulerAction> actions) {
      for (SchedulerAction action : actions) {
        long id = action.work().id();
        switch (action) {
          case SchedulerAction.Start start -> {
            assertTrue(waiting.remove(id), label + ": started without waiting");
            running.add(id);
          }
          case SchedulerAction.Preempt preempt -> {
            assertTrue(running.remove(id), label + ": preempted without running");
            checkPreemption(id);
            waiting.add(id);
          }
          case SchedulerAction.Refuse refuse -> {
            assertTrue(waiting.remove(id), label + ": refused without waiting");
            assertEquals(preemptions.containsKey(id), refuse.ranBefore(), label);
          }
        }
      }
    }

    /** A request that is preempted often, or that the floor started, has run for a while before. */
    private void checkPreemption(long id) {
      boolean isProtected =
          floorStarted.contains(id) || preemptions.getOrDefault(id, 0) >= MAX_PREEMPTIONS;
      assertTrue(
          !isProtected || now - startTimes.getOrDefault(id, 0L) >= PROTECTED_MILLIS,
          label + ": preempted within its protected run");
      preemptions.merge(id, 1, Integer::sum);
    }

    private void check(DecisionRecord decision) {
      String text = label + ": " + decision;
      int tier = decision.work().tier();
      kinds.add(decision.kind());
      Optional.ofNullable(decision.reason()).ifPresent(reasons::add);
      switch (decision.kind()) {
        case REFUSED -> {
          assertFalse(canGiveWay(decision.running(), tier), text);
          if (decision.reason() == ReasonCode.QUEUE_FULL) {
            assertFalse(canGiveWay(decision.waiting(), tier), text);
          }
        }
        case DISPLACED -> {
          assertTrue(beneficiaryTier(decision) < tier, text);
          assertFalse(canGiveWay(decision.waiting(), tier), text);
        }
        case PREEMPTED -> {
          assertTrue(beneficiaryTier(decision) < tier, text);
          assertFalse(canGiveWay(decision.running(), tier), text);
          assertTrue(decision.work().repeatable(), text);
        }
        case STARTED, STARTED_BY_PREEMPTION, STARTED_BY_FLOOR -> checkStart(decision, text);
      }
    }

    private void checkStart(DecisionRecord decision, String text) {
      startTimes.put(decision.work().id(), decision.atMillis());
      if (decision.kind() == Kind.STARTED_BY_FLOOR) {
        floorStarted.add(decision.work().id());
      } else {
        floorStarted.remove(decision.work().id());
      }
      String serviceClass = decision.work().serviceClass();
      if (decision.kind() == Kind.STARTED_BY_FLOOR) {
        long last = lastFloorStarts.getOrDefault(serviceClass, -FLOOR_MILLIS);
        assertTrue(decision.atMillis() - last >= FLOOR_MILLIS, text + ": two floor starts");
        lastFloorStarts.put(serviceClass, decision.atMillis());
      } else {
        assertFalse(
            decision.waiting().stream()
                .anyMatch(place -> place.work().tier() < decision.work().tier()),
            text + ": started before a higher tier");
      }
      if (decision.kind() == Kind.STARTED) {
        // A free slot goes to the classes that are due, so each starts within one turn of the
        // classes.
        List<Work> queued = new ArrayList<>(decision.waiting().stream().map(Place::work).toList());
        queued.add(decision.work());
        assertFalse(
            queued.stream().map(Work::serviceClass).anyMatch(name -> isDue(name, queued)),
            text + ": a due class was passed over");
      }
      lastStarts.put(serviceClass, decision.atMillis());
    }

    /** Whether a class has waited for the interval by the definition of docs/design.md. */
    private boolean isDue(String serviceClass, List<Work> queued) {
      long oldest =
          queued.stream()
              .filter(work -> work.serviceClass().equals(serviceClass))
              .mapToLong(work -> arrivals.getOrDefault(work.id(), now))
              .min()
              .orElse(now);
      long since = Math.max(oldest, lastStarts.getOrDefault(serviceClass, 0L));
      return now - since >= FLOOR_MILLIS;
    }

    private static int beneficiaryTier(DecisionRecord decision) {
      return Optional.ofNullable(decision.beneficiary()).map(Work::tier).orElse(Integer.MAX_VALUE);
    }

    private static boolean canGiveWay(List<Place> places, int tier) {
      return places.stream().anyMatch(place -> place.canGiveWay() && place.work().tier() > tier);
    }

    private Optional<Long> any(Set<Long> ids) {
      return ids.isEmpty()
          ? Optional.empty()
          : ids.stream().sorted().skip(random.nextInt(ids.size())).findFirst();
    }
  }
}
