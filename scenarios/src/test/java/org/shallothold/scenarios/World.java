package org.shallothold.scenarios;

import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.jspecify.annotations.Nullable;
import org.shallothold.experiment.caller.Caller;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.caller.CompletionResult;
import org.shallothold.experiment.caller.OrderResult;
import org.shallothold.experiment.fleet.Await;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;

/**
 * Fleet and callers of one scenario. The fleet starts at its first use, so that the steps before
 * can change its plan. One per scenario, used on the scenario's thread.
 */
final class World implements AutoCloseable {

  /** Longest deadline of the default classes is 60 s; no answer may take longer. */
  static final Duration ANSWER_BOUND = Duration.ofSeconds(60);

  private static final ThreadLocal<World> CURRENT = ThreadLocal.withInitial(World::new);

  FleetPlan plan = FleetPlan.of(1, 1, 0);

  private final Caller caller = Caller.create();
  private final Map<String, CompletableFuture<CompletionResult>> completions =
      new ConcurrentHashMap<>();
  private final Map<String, AtomicInteger> tokens = new ConcurrentHashMap<>();
  private final Map<String, CompletableFuture<OrderResult>> orders = new ConcurrentHashMap<>();
  private final Map<String, String> tickets = new ConcurrentHashMap<>();
  private final Map<String, Group> groups = new ConcurrentHashMap<>();
  private @Nullable Fleet fleet;

  /** Requests that belong together. */
  static final class Group {

    private final List<CompletableFuture<CompletionResult>> results = new ArrayList<>();
    private volatile boolean stopped;

    private synchronized void add(CompletableFuture<CompletionResult> result) {
      results.add(result);
    }

    synchronized List<CompletableFuture<CompletionResult>> futures() {
      return List.copyOf(results);
    }

    /** Returns the results so far. */
    List<CompletionResult> finished() {
      return futures().stream().filter(CompletableFuture::isDone).map(World::await).toList();
    }

    /** Waits for all results; a group that keeps asking stops first. */
    List<CompletionResult> all() {
      stopped = true;
      int before;
      do {
        before = futures().size();
        futures().forEach(World::await);
      } while (futures().size() > before);
      return futures().stream().map(World::await).toList();
    }

    long complete() {
      return finished().stream().filter(CompletionResult::complete).count();
    }

    boolean running() {
      return futures().stream().anyMatch(future -> !future.isDone());
    }
  }

  /** Returns the world of the scenario that this thread runs. */
  static World current() {
    return CURRENT.get();
  }

  /** Ends the scenario's processes. */
  static void end() {
    CURRENT.get().close();
    CURRENT.remove();
  }

  Fleet fleet() {
    Fleet running = fleet;
    if (running == null) {
      running = Fleet.start(plan);
      fleet = running;
    }
    return running;
  }

  Caller caller() {
    return caller;
  }

  @Override
  public void close() {
    groups.values().forEach(group -> group.stopped = true);
    caller.close();
    if (fleet != null) {
      fleet.close();
    }
  }

  void ask(String name, int gateway, CompletionRequest request) {
    AtomicInteger count = tokens.computeIfAbsent(name, key -> new AtomicInteger());
    completions.put(name, caller.send(fleet().gateway(gateway), request, count::set));
  }

  CompletionResult completion(String name) {
    return await(require(completions, name));
  }

  boolean isDone(String name) {
    return require(completions, name).isDone();
  }

  int tokensOf(String name) {
    return require(tokens, name).get();
  }

  /** Sends requests of one group at once, in turn through all gateways. */
  void askGroup(String name, int count, CompletionRequest template) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    for (int number = 0; number < count; number++) {
      group.add(caller.send(anyGateway(number), numbered(template, name, number)));
    }
  }

  /** Lets a number of callers send one request after the other until the group is stopped. */
  void keepAsking(String name, int callers, CompletionRequest template) {
    Group group = groups.computeIfAbsent(name, key -> new Group());
    for (int number = 0; number < callers; number++) {
      int own = number;
      keepAsking(group, name, anyGateway(own), template, own, 0);
    }
  }

  private void keepAsking(
      Group group, String name, URI gateway, CompletionRequest template, int own, int round) {
    var result = caller.send(gateway, numbered(template, name, own * 100_000 + round));
    group.add(result);
    var unused =
        result.thenAccept(
            ignored -> {
              if (!group.stopped) {
                keepAsking(group, name, gateway, template, own, round + 1);
              }
            });
  }

  Group group(String name) {
    return require(groups, name);
  }

  void issueTicket(String name, int gateway) {
    tickets.put(name, caller.ticket(fleet().gateway(gateway), FleetPlan.SERVICE));
  }

  String ticket(String name) {
    return require(tickets, name);
  }

  void order(String name, int gateway, String ticket, String body) {
    orders.put(name, caller.order(fleet().gateway(gateway), FleetPlan.SERVICE, body, ticket));
  }

  OrderResult orderResult(String name) {
    return await(require(orders, name));
  }

  /** Returns an engine that runs a request now. */
  String busyEngine() {
    return Await.value(
        "an engine runs a request",
        ANSWER_BOUND,
        () ->
            engines().stream().filter(id -> count(id, "requests_started") > ended(id)).findFirst());
  }

  List<String> engines() {
    return plan.servers().stream()
        .filter(FleetPlan.ServerPlan::engine)
        .map(FleetPlan.ServerPlan::id)
        .toList();
  }

  long count(String engine, String counter) {
    return fleet().counters(engine).path(counter).asLong();
  }

  private long ended(String engine) {
    return count(engine, "requests_finished") + count(engine, "requests_cancelled");
  }

  private URI anyGateway(int number) {
    return fleet().gateway(number % plan.gateways() + 1);
  }

  private static CompletionRequest numbered(CompletionRequest template, String name, int number) {
    return new CompletionRequest(
        "Question " + number + " of " + name,
        template.length(),
        template.stream(),
        template.serviceClass(),
        template.customer(),
        template.timeout());
  }

  static <T> T await(CompletableFuture<T> future) {
    try {
      return future.get(ANSWER_BOUND.toSeconds(), TimeUnit.SECONDS);
    } catch (TimeoutException e) {
      throw new AssertionError("no answer within " + ANSWER_BOUND.toSeconds() + " s", e);
    } catch (ExecutionException e) {
      throw new AssertionError("a call failed", e);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
      throw new AssertionError("interrupted", e);
    }
  }

  private static <T> T require(Map<String, T> items, String name) {
    T item = items.get(name);
    if (item == null) {
      throw new IllegalArgumentException("the scenario names no " + name);
    }
    return item;
  }
}
