package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothold.core.route.Rank;

/** The order in which waiting requests are sent. */
class DispatchQueueTest {

  private record Request(String name, Rank rank, long arrivedMillis, long lastStartMillis)
      implements DispatchQueue.Entry {

    Request(String name, int priority, long arrivedMillis) {
      this(name, Rank.of(priority), arrivedMillis);
    }

    Request(String name, Rank rank, long arrivedMillis) {
      this(name, rank, arrivedMillis, Long.MAX_VALUE);
    }

    @Override
    public boolean canFinish(long nowMillis) {
      return nowMillis <= lastStartMillis;
    }

    @Override
    public RequestProfile profile() {
      return new RequestProfile(List.of(), 1_000, 50, rank, 500, 300);
    }
  }

  private final DispatchQueue<Request> queue = DispatchQueue.empty();

  private List<String> order(long nowMillis) {
    return queue.inDispatchOrder(nowMillis).stream().map(Request::name).toList();
  }

  /** Guards against a burst of less urgent requests being sent before urgent ones. */
  @Test
  void urgentRequestsAreSentFirst() {
    queue.add(new Request("early", 2, 0));
    queue.add(new Request("urgent", 0, 100));
    assertEquals(List.of("urgent", "early"), order(200));
  }

  /**
   * Guards against long prompts being sent before short ones when all customers have the same
   * priority.
   */
  @Test
  void routePriorityDecidesAmongCustomersOfEqualPriority() {
    queue.add(new Request("long prompt", new Rank(1, 2), 0));
    queue.add(new Request("short prompt", new Rank(1, 1), 100));
    queue.add(new Request("long prompt of an urgent customer", new Rank(0, 2), 150));
    assertEquals(
        List.of("long prompt of an urgent customer", "short prompt", "long prompt"), order(200));
  }

  /**
   * Guards against requests that miss their latency target anyway delaying others until they miss
   * theirs.
   */
  @Test
  void overdueRequestsAreSentAfterThoseThatCanMeetTheirTarget() {
    queue.add(new Request("overdue", 0, 0));
    queue.add(new Request("on time", 2, 400));
    assertEquals(List.of("on time", "overdue"), order(600));
  }

  /**
   * Guards against streams that can't finish before their deadlines taking the engines' time from
   * those that can, in a burst of long prompts.
   */
  @Test
  void requestsThatCannotFinishAreSentLast() {
    queue.add(new Request("too late", Rank.of(0), 0, 50));
    queue.add(new Request("overdue", 2, 0));
    queue.add(new Request("on time", 2, 400));
    assertEquals(List.of("on time", "overdue", "too late"), order(600));
  }

  @Test
  void requestsOfEqualRankKeepTheirArrivalOrder() {
    queue.add(new Request("second", 1, 20));
    queue.add(new Request("first", 1, 10));
    assertEquals(List.of("first", "second"), order(30));
  }

  @Test
  void removedRequestsAreNotReturned() {
    Request request = new Request("one", 1, 10);
    queue.add(request);
    queue.remove(request);
    assertTrue(queue.isEmpty());
  }
}
