package org.shallothold.core.queue;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

/**
 * Runs scripts against the scheduler; {@link SchedulerScript} describes their steps. The first
 * column of each row names the failure that the row guards against.
 */
class BackendSchedulerTest {

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          lower tier starts before a higher one | 0 slots 1/9; 0 add a t0 order; 1 add b t2; 2 add c t1; 9 end a; 9 end c | start a, start c, start b
          the customer with the most recent usage goes first | 0 slots 1/9; 0 add a t1 c=x; 1 add b t1 c=x; 2 add c t1 c=y; 50 end a | start a, start c
          a later deadline goes first | 0 slots 1/9; 0 add a t1; 1 add b t1 d=9000; 2 add c t1 d=8000; 50 end a | start a, start c
          work of a removed slot is ended | 0 slots 2/9; 0 add a t1; 0 add b t1; 1 slots 1/9; 2 add c t1; 3 end a; 4 end b | start a, start b, start c
          a new slot stays empty | 0 slots 1/9; 0 add a t1; 0 add b t1; 1 slots 2/9 | start a, start b
          a cancelled request starts | 0 slots 1/9; 0 add a t1; 1 add b t1; 2 add c t1; 3 cancel b; 4 end a | start a, start c
          a cancel of a running request leaks its slot | 0 slots 1/9; 0 add a t1; 1 add b t1; 2 cancel a | start a, start b
          an end reported twice frees two slots | 0 slots 1/9; 0 add a t1; 1 add b t1; 2 add c t1; 3 end a; 3 end a | start a, start b
          leaving keeps work waiting | 0 slots 1/9; 0 add a t1; 1 add b t1; 2 leave; 3 end a | start a, refuse b server_leaving
          """)
  void startsInOrder(String guardsAgainst, String script, String expected) {
    assertEquals(expected, SchedulerScript.run(SchedulerOptions.DEFAULT, script), guardsAgainst);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          same tier displaces | 0 slots 1/1; 0 add a t1 order; 1 add b t1; 2 add c t1; 3 add d t1 | start a, refuse d queue_full
          lower tier displaces a higher one | 0 slots 1/1; 0 add a t0 order; 1 add b t1; 2 add c t1; 3 add d t2; 4 add e t2 | start a, refuse e queue_full
          higher tier is refused while a lower one waits | 0 slots 1/1; 0 add a t0 order; 1 add b t0; 2 add c t2; 3 add d t2; 4 add e t0 | start a, refuse d displaced
          the older of two is displaced | 0 slots 1/2; 0 add a t0 order; 1 add b t0; 2 add c t2; 3 add d t2; 4 add e t2; 5 add f t0 | start a, refuse e displaced
          the higher of two tiers is displaced | 0 slots 1/2; 0 add a t0 order; 1 add b t0; 2 add c t1; 3 add d t3; 4 add e t3; 5 add f t1; 6 add g t0 | start a, refuse e displaced
          a class loses its reserved place | 0 slots 1/1; 0 add a t0 order; 1 add b t3; 2 add c t0; 3 add d t0; 4 add e t0 | start a, refuse e queue_full
          a class without waiting work is refused | 0 slots 1/1; 0 add a t0 order; 1 add b t0; 2 add c t0; 3 add d t3 | start a
          two classes of one tier share a reserved place | 0 slots 1/1; 0 add a t0 order; 1 add b t2 k=x; 2 add c t2 k=y; 3 add d t2 k=x; 4 add e t2 k=y | start a, refuse e queue_full
          """)
  void handlesFullQueue(String guardsAgainst, String script, String expected) {
    assertEquals(expected, SchedulerScript.run(SchedulerOptions.DEFAULT, script), guardsAgainst);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          higher tier waits for a lower one | 0 slots 1/9; 0 add a t2; 1 add b t0; 2 end b | start a, preempt a, start b, start a
          same tier is preempted | 0 slots 1/9; 0 add a t1; 1 add b t1 | start a
          an order is preempted | 0 slots 1/9; 0 add a t3 order; 1 add b t0 | start a
          the request with more progress is preempted | 0 slots 2/9; 0 add a t2; 0 add b t2; 1 tokens a 5; 1 tokens b 9; 2 add c t0 | start a, start b, preempt a, start c
          the higher tier of two is preempted | 0 slots 2/9; 0 add a t1; 0 add b t2; 1 tokens b 9; 2 add c t0 | start a, start b, preempt b, start c
          a request is preempted a third time | 0 slots 1/9; 0 add a t2; 1 add b t0; 2 end b; 3 add c t0; 4 end c; 5 add d t0 | start a, preempt a, start b, start a, preempt a, start c, start a
          a request started by the floor is preempted | 0 slots 1/9; 0 add a t0 order; 0 add b t0 order; 1 add c t3; 2000 end a; 2001 end b; 2002 add d t0 | start a, start b, start c
          long requests that were preempted often hold all slots against a higher tier | 0 slots 1/9; 0 add a t2; 1 add b t0; 2 end b; 3 add c t0; 4 end c; 5 add d t0; 1003 tick; 1004 tick | start a, preempt a, start b, start a, preempt a, start c, start a, preempt a, start d
          a long request started by the floor holds its slot against a higher tier | 0 slots 1/9; 0 add a t0 order; 1 add c t3; 2000 add b t0; 2001 end a; 2900 tick; 3000 tick; 3001 tick | start a, start c, preempt c, start b
          tokens of a preempted request are wasted by a full queue | 0 slots 1/1; 0 add h t2 c=p; 1 add y t2 c=p; 2 add z t2 c=q; 50 end h; 51 add a t0 order; 52 add b t0; 53 add c t0; 54 add d t0 | start h, start z, preempt z, start a, refuse d queue_full
          a preempted request that is displaced counts as not run | 0 slots 3/1; 0 add x t2; 0 add y t2; 0 add z t2; 1 add a t0 order; 2 add b t0 order; 3 add c t0 order; 4 slots 1/1; 5 add d t0; 6 add e t0 | start x, start y, start z, preempt z, start a, preempt y, start b, preempt x, start c, refuse z displaced after running
          preemption favours the floor of a lower tier | 0 slots 1/9; 0 add a t0 order; 1 add b t3; 2500 end a; 2600 add c t3; 2700 end b; 2701 add d t2; 5000 add e t0 | start a, start b, start c, preempt c, start d, preempt d, start e
          """)
  void preempts(String guardsAgainst, String script, String expected) {
    assertEquals(expected, SchedulerScript.run(SchedulerOptions.DEFAULT, script), guardsAgainst);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          a low class never starts | 0 slots 1/9; 0 add a t0 order; 1 add b t3; 2 add c t0; 3 add d t0; 2000 end a; 2001 end c | start a, start c, start b
          a class gets more than one start per interval | 0 slots 1/9; 0 add a t0 order; 1 add b t3; 2 add c t3; 3 add d t0; 4 add e t0; 2001 end a; 2050 end b; 2060 end d | start a, start b, start d, start e
          the class due later goes first | 0 slots 1/9; 0 add a t0 order; 1 add b t3; 2 add c t2; 3 add d t0; 2500 end a; 2510 end b; 2520 end c | start a, start b, start c, start d
          a class with deadlines shorter than the interval never starts | 0 slots 1/9; 0 add a t0 order; 1 add b t3 d=900; 2 add c t0; 3 add d t0; 900 tick; 901 add e t3 d=1800; 1800 tick; 1801 add f t3 d=2700; 2100 end a | start a, refuse b deadline, refuse e deadline, start f
          """)
  void startsByFloor(String guardsAgainst, String script, String expected) {
    assertEquals(expected, SchedulerScript.run(SchedulerOptions.DEFAULT, script), guardsAgainst);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          an expired request starts | 0 slots 1/9; 0 add a t1; 1 add b t1 d=50; 60 end a | start a, refuse b deadline
          an expired request waits on | 0 slots 1/9; 0 add a t1; 1 add b t1 d=50; 50 tick | start a, refuse b deadline
          a request that can't meet its deadline is kept until then | 0 slots 1/9; 0 add a t1; 500 end a; 500 add b t1; 501 add c t1; 502 add d t1 d=1200 | start a, start b, refuse d deadline
          a request that can meet its deadline is refused | 0 slots 1/9; 0 add a t1; 500 end a; 500 add b t1; 501 add c t1; 502 add d t1 d=2100 | start a, start b
          lower-tier work causes a refusal | 0 slots 1/9; 0 add a t2; 500 end a; 500 add b t2 order; 501 add c t2; 502 add d t2; 503 add e t1 d=900 | start a, start b
          a long estimate keeps a due class from starting | 0 slots 1/9; 0 add a t0 order; 60000 end a; 60000 add b t0 order; 60001 add d t3 d=130000; 60002 add c t0; 60003 add e t0; 60004 add f t0; 62100 tick; 90000 end b | start a, start b, start d
          """)
  void refusesByDeadline(String guardsAgainst, String script, String expected) {
    assertEquals(expected, SchedulerScript.run(SchedulerOptions.DEFAULT, script), guardsAgainst);
  }

  @ParameterizedTest(name = "{0}")
  @CsvSource(
      delimiter = '|',
      textBlock =
          """
          the baseline looks at tiers | 0 slots 1/2; 0 add a t2; 1 add b t2; 2 add c t0; 3 add d t0; 4 end a; 5 end b | start a, refuse d queue_full, start b, start c
          the baseline starts by the floor | 0 slots 1/2; 0 add a t2; 1 add b t1; 2 add c t3; 4000 end a | start a, start b
          """)
  void arrivalPolicyIgnoresTiersAndFloor(String guardsAgainst, String script, String expected) {
    SchedulerOptions arrivalPolicy =
        new SchedulerOptions(SchedulingPolicy.ARRIVAL, 2_000, 2, 1_000);
    assertEquals(expected, SchedulerScript.run(arrivalPolicy, script), guardsAgainst);
  }

  @ParameterizedTest(name = "{0} waiting ahead")
  @CsvSource({"0, 1000", "3, 4000", "9, 10000"})
  void retryAfterGrowsWithTheQueue(int ahead, long minRetryAfterMillis) {
    BackendScheduler scheduler = BackendScheduler.create(SchedulerOptions.DEFAULT);
    scheduler.setLimits(1, Math.max(0, ahead - 1), 0);
    scheduler.submit(request(1), 0);
    scheduler.finish(1, 1_000);
    for (int id = 2; id <= ahead + 2; id++) {
      scheduler.submit(request(id), 1_000);
    }
    List<SchedulerAction> actions = scheduler.submit(request(100), 1_000);
    long retryAfterMillis =
        actions.stream()
            .filter(SchedulerAction.Refuse.class::isInstance)
            .mapToLong(action -> ((SchedulerAction.Refuse) action).retryAfterMillis())
            .findFirst()
            .orElse(1_000);
    assertTrue(retryAfterMillis >= minRetryAfterMillis, "Retry-After " + retryAfterMillis);
  }

  private static ScheduledRequest request(long id) {
    return new ScheduledRequest(id, "class", 1, "customer", 10_000_000, true);
  }
}
