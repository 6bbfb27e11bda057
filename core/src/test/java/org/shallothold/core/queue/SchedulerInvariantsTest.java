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
import org.shallothold.core.queue.DecisionRecord.Occupant;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Checks every decision of random runs. Guards against a higher tier that loses to a lower one, a
 * class that starves, and a request that is preempted without end or lost.
 */
class SchedulerInvariantsTest {

  private static final long FLOOR_INTERVAL_MILLIS = 200;
  private static final int MAX_PREEMPTIONS = 2;
  private static final long PROTECTED_RUN_MILLIS = 100;
  private static final int STEPS = 600;

  static IntStream seeds() {
    return IntStream.range(0, 300);
  }

  @ParameterizedTest(name = "seed {0}")
  @MethodSource("seeds")
  void everyDecisionIsAllowed(int seed) {
    new Run(seed).run();
  }

  /** Guards against random runs that never reach some decision and so can't show a fault in it. */
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
    private final String seedLabel;
    private final BackendScheduler scheduler;
    private final List<String> classes =
        List.of("alarm:0", "chat:1", "board:1", "report:2", "night:3");

    private final Map<Long, Long> arrivalMillis = new HashMap<>();
    private final Map<String, Long> lastStartMillis = new HashMap<>();
    private final Map<String, Long> lastFloorStartMillis = new HashMap<>();
    private final Map<Long, Integer> preemptions = new HashMap<>();
    private final Map<Long, Long> startMillis = new HashMap<>();
    private final Set<Long> startedByFloor = new HashSet<>();
    private final Set<Long> running = new HashSet<>();
    private final Set<Long> waiting = new HashSet<>();
    private final Set<Kind> kinds = EnumSet.noneOf(Kind.class);
    private final Set<ReasonCode> reasons = EnumSet.noneOf(ReasonCode.class);
    private long nowMillis;

    Run(int seed) {
      this.random = new Random(seed);
      this.seedLabel = "seed " + seed;
      this.scheduler =
          BackendScheduler.create(
              new SchedulerOptions(
                  SchedulingPolicy.TIERS,
                  FLOOR_INTERVAL_MILLIS,
                  MAX_PREEMPTIONS,
                  PROTECTED_RUN_MILLIS),
              this::checkDecision);
    }

    void run() {
      apply(scheduler.setLimits(1 + random.nextInt(4), 1 + random.nextInt(6), nowMillis));
      int submitsInTen = 2 + random.nextInt(6);
      for (int step = 1; step <= STEPS; step++) {
        advance(random.nextInt(20));
        if (random.nextInt(10) < submitsInTen) {
          submit(step);
        } else if (random.nextInt(20) == 0) {
          apply(scheduler.setLimits(1 + random.nextInt(4), 1 + random.nextInt(6), nowMillis));
        } else if (random.nextInt(10) == 0) {
          randomElement(waiting)
              .ifPresent(id -> removeAndApply(waiting, id, scheduler.cancel(id, nowMillis)));
        } else if (random.nextInt(10) == 0) {
          randomElement(running)
              .ifPresent(id -> removeAndApply(running, id, scheduler.cancel(id, nowMillis)));
        } else {
          randomElement(running)
              .ifPresent(id -> removeAndApply(running, id, scheduler.finish(id, nowMillis)));
        }
        randomElement(running).ifPresent(id -> scheduler.updateProgress(id, random.nextInt(50)));
        assertEquals(running.size(), scheduler.runningCount(), seedLabel);
        assertTrue(
            waiting.isEmpty() || running.size() >= scheduler.maxRunning(),
            seedLabel + ": a request waits although a slot is free");
      }
      drain();
    }

    /**
     * Advances the time in steps of one millisecond, so that the scheduler runs at each time limit.
     */
    private void advance(int millis) {
      for (int step = 0; step < millis; step++) {
        nowMillis++;
        apply(scheduler.tick(nowMillis));
      }
    }

    /**
     * Checks that all requests end once no new ones arrive: none is lost or preempted without end.
     */
    private void drain() {
      for (int step = 0; step < STEPS && !(running.isEmpty() && waiting.isEmpty()); step++) {
        nowMillis += 10;
        randomElement(running)
            .ifPresent(id -> removeAndApply(running, id, scheduler.finish(id, nowMillis)));
      }
      assertTrue(running.isEmpty() && waiting.isEmpty(), seedLabel + ": a request never ended");
    }

    private void submit(long id) {
      String[] nameAndTier = classes.get(random.nextInt(classes.size())).split(":", -1);
      long deadlineMillis = nowMillis + 50 + random.nextInt(3_000);
      ScheduledRequest request =
          new ScheduledRequest(
              id,
              nameAndTier[0],
              Integer.parseInt(nameAndTier[1]),
              "customer" + random.nextInt(4),
              deadlineMillis,
              random.nextInt(5) > 0);
      arrivalMillis.put(id, nowMillis);
      waiting.add(id);
      apply(scheduler.submit(request, nowMillis));
    }

    private void removeAndApply(Set<Long> from, long id, List<SchedulerAction> actions) {
      from.remove(id);
      apply(actions);
    }

    private void apply(List<SchedulerAction> actions) {
      for (SchedulerAction action : actions) {
        long id = action.request().id();
        switch (action) {
          case SchedulerAction.Start start -> {
            assertTrue(waiting.remove(id), seedLabel + ": started without waiting");
            running.add(id);
          }
          case SchedulerAction.Preempt preempt -> {
            assertTrue(running.remove(id), seedLabel + ": preempted without running");
            checkPreemption(id);
            waiting.add(id);
          }
          case SchedulerAction.Refuse refuse -> {
            assertTrue(waiting.remove(id), seedLabel + ": refused without waiting");
            assertEquals(preemptions.containsKey(id), refuse.ranBefore(), seedLabel);
          }
        }
      }
    }

    /** Checks that a protected request is preempted only after its protected run. */
    private void checkPreemption(long id) {
      boolean isProtected =
          startedByFloor.contains(id) || preemptions.getOrDefault(id, 0) >= MAX_PREEMPTIONS;
      assertTrue(
          !isProtected || nowMillis - startMillis.getOrDefault(id, 0L) >= PROTECTED_RUN_MILLIS,
          seedLabel + ": preempted within its protected run");
      preemptions.merge(id, 1, Integer::sum);
    }

    private void checkDecision(DecisionRecord decision) {
      String message = seedLabel + ": " + decision;
      int tier = decision.request().tier();
      kinds.add(decision.kind());
      Optional.ofNullable(decision.reason()).ifPresent(reasons::add);
      switch (decision.kind()) {
        case REFUSED -> {
          assertFalse(hasEvictable(decision.running(), tier), message);
          if (decision.reason() == ReasonCode.QUEUE_FULL) {
            assertFalse(hasEvictable(decision.waiting(), tier), message);
          }
        }
        case DISPLACED -> {
          assertTrue(beneficiaryTier(decision) < tier, message);
          assertFalse(hasEvictable(decision.waiting(), tier), message);
        }
        case PREEMPTED -> {
          assertTrue(beneficiaryTier(decision) < tier, message);
          assertFalse(hasEvictable(decision.running(), tier), message);
          assertTrue(decision.request().repeatable(), message);
        }
        case STARTED, STARTED_BY_PREEMPTION, STARTED_BY_FLOOR -> checkStart(decision, message);
      }
    }

    private void checkStart(DecisionRecord decision, String message) {
      startMillis.put(decision.request().id(), decision.atMillis());
      if (decision.kind() == Kind.STARTED_BY_FLOOR) {
        startedByFloor.add(decision.request().id());
      } else {
        startedByFloor.remove(decision.request().id());
      }
      String serviceClass = decision.request().serviceClass();
      if (decision.kind() == Kind.STARTED_BY_FLOOR) {
        long lastMillis = lastFloorStartMillis.getOrDefault(serviceClass, -FLOOR_INTERVAL_MILLIS);
        assertTrue(
            decision.atMillis() - lastMillis >= FLOOR_INTERVAL_MILLIS,
            message + ": two floor starts within one interval");
        lastFloorStartMillis.put(serviceClass, decision.atMillis());
      } else {
        assertFalse(
            decision.waiting().stream()
                .anyMatch(occupant -> occupant.request().tier() < decision.request().tier()),
            message + ": started before a higher tier");
      }
      if (decision.kind() == Kind.STARTED) {
        // Free slots go to due classes first, so that a due class waits for at most one start of
        // each other class.
        List<ScheduledRequest> waitingRequests =
            new ArrayList<>(decision.waiting().stream().map(Occupant::request).toList());
        waitingRequests.add(decision.request());
        assertFalse(
            waitingRequests.stream()
                .map(ScheduledRequest::serviceClass)
                .anyMatch(name -> isDue(name, waitingRequests)),
            message + ": a due class was passed over");
      }
      lastStartMillis.put(serviceClass, decision.atMillis());
    }

    /** Returns whether a class has waited for the floor interval, as defined in docs/design.md. */
    private boolean isDue(String serviceClass, List<ScheduledRequest> waitingRequests) {
      long oldestArrivalMillis =
          waitingRequests.stream()
              .filter(request -> request.serviceClass().equals(serviceClass))
              .mapToLong(request -> arrivalMillis.getOrDefault(request.id(), nowMillis))
              .min()
              .orElse(nowMillis);
      long waitingSinceMillis =
          Math.max(oldestArrivalMillis, lastStartMillis.getOrDefault(serviceClass, 0L));
      return nowMillis - waitingSinceMillis >= FLOOR_INTERVAL_MILLIS;
    }

    private static int beneficiaryTier(DecisionRecord decision) {
      return Optional.ofNullable(decision.beneficiary())
          .map(ScheduledRequest::tier)
          .orElse(Integer.MAX_VALUE);
    }

    private static boolean hasEvictable(List<Occupant> occupants, int tier) {
      return occupants.stream()
          .anyMatch(occupant -> occupant.evictable() && occupant.request().tier() > tier);
    }

    private Optional<Long> randomElement(Set<Long> ids) {
      return ids.isEmpty()
          ? Optional.empty()
          : ids.stream().sorted().skip(random.nextInt(ids.size())).findFirst();
    }
  }
}
