package org.shallothold.experiment;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.net.URI;
import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.TimeoutException;
import java.util.concurrent.atomic.AtomicInteger;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.experiment.caller.Caller;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.caller.CompletionResult;
import org.shallothold.experiment.caller.OrderResult;
import org.shallothold.experiment.fleet.Await;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.JsonHttp;

/**
 * Main class of {@code bin/demo}: a small fleet, and one example of each main promise. Exit code 0
 * only if every step held.
 */
public final class DemoMain {

  private static final String USAGE =
      """
      usage: bin/demo [--help]
      Starts a platform, three engines and one service (stand-ins), their sidecars and two gateways
      on loopback, and shows: a streamed and a whole completion; an order sent twice under one
      ticket; an engine killed in the middle of an answer; a configuration patch in force
      everywhere. The last line is one JSON object. Exit code: 0 if all held, 1 if not.
      """;

  private static final Duration ANSWER_BOUND = Duration.ofSeconds(20);
  private static final int SHORT_ANSWER = 24;
  private static final int LONG_ANSWER = 160;
  private static final int TOKENS_BEFORE_KILL = 30;

  private record Step(String name, boolean held, String detail) {}

  private final PrintStream out;
  private final List<Step> steps = new ArrayList<>();
  private int completions;
  private int ordersActedOn;
  private long configVersion;

  private DemoMain(PrintStream out) {
    this.out = out;
  }

  /** Runs the demonstration. */
  public static void main(String[] arguments) {
    if (arguments.length > 0) {
      boolean help = arguments.length == 1 && arguments[0].equals("--help");
      (help ? System.out : System.err).print(USAGE);
      System.exit(help ? 0 : 2);
    }
    System.exit(new DemoMain(System.out).run() ? 0 : 1);
  }

  private boolean run() {
    long start = System.nanoTime();
    try (Fleet fleet = Fleet.start(FleetPlan.of(2, 3, 1));
        Caller caller = Caller.create()) {
      out.printf("%d processes are ready%n%n", fleet.processes().size());
      step("streamed completion", () -> complete(fleet, caller, 1, request("streamed")));
      step("whole completion", () -> complete(fleet, caller, 2, request("whole").whole()));
      step("one order, sent twice", () -> orderTwice(fleet, caller));
      step("engine killed in mid-answer", () -> killEngine(fleet, caller));
      step("configuration patch", () -> patch(fleet));
    } catch (RuntimeException | AssertionError e) {
      steps.add(new Step("processes", false, String.valueOf(e.getMessage())));
    }
    boolean ok = !steps.isEmpty() && steps.stream().allMatch(Step::held);
    double seconds = (System.nanoTime() - start) / 1e9;
    out.printf("%-28s  %-6s  %s%n", "step", "held", "detail");
    steps.forEach(
        step ->
            out.printf(
                "%-28s  %-6s  %s%n", step.name(), step.held() ? "yes" : "NO", step.detail()));
    ObjectNode summary = JsonHttp.object();
    summary.put("completions", completions);
    summary.put("orders_acted_on", ordersActedOn);
    summary.put("config_version", configVersion);
    summary.put("seconds", Math.round(seconds * 10) / 10.0);
    summary.put("ok", ok);
    out.println(summary);
    return ok;
  }

  /** An action that returns a detail, and throws if what it shows doesn't hold. */
  private interface Action {
    String run() throws Exception;
  }

  private void step(String name, Action action) {
    try {
      steps.add(new Step(name, true, action.run()));
    } catch (Exception | AssertionError e) {
      steps.add(new Step(name, false, String.valueOf(e.getMessage())));
    }
  }

  private static CompletionRequest request(String prompt) {
    return CompletionRequest.of("A question for the " + prompt + " answer.", SHORT_ANSWER);
  }

  private String complete(Fleet fleet, Caller caller, int gateway, CompletionRequest request)
      throws Exception {
    CompletionResult result = await(caller.send(fleet.gateway(gateway), request));
    require(result.complete(), result.summary());
    completions++;
    return "%d tokens through gateway-%d, first after %d ms"
        .formatted(
            request.length(), gateway, TimeUnit.NANOSECONDS.toMillis(result.firstTokenNanos()));
  }

  private String orderTwice(Fleet fleet, Caller caller) throws Exception {
    URI first = fleet.gateway(1);
    URI second = fleet.gateway(2);
    String ticket = caller.ticket(first, FleetPlan.SERVICE);
    require(!ticket.isEmpty(), "no ticket was issued");
    String body = "{\"item\": \"rye flour\", \"sacks\": 4}";
    CompletableFuture<OrderResult> one = caller.order(first, FleetPlan.SERVICE, body, ticket);
    CompletableFuture<OrderResult> two = caller.order(second, FleetPlan.SERVICE, body, ticket);
    OrderResult answer = await(one);
    OrderResult repeated = await(two);
    ordersActedOn = fleet.ledger("service-1").values().stream().mapToInt(count -> count).sum();
    require(answer.complete(), "first sending: " + answer);
    require(repeated.complete(), "second sending: " + repeated);
    require(answer.body().equals(repeated.body()), answer.body() + " and " + repeated.body());
    require(ordersActedOn == 1, "the service acted on it " + ordersActedOn + " times");
    return "acted on once; both callers got status " + answer.status() + " and the same answer";
  }

  private String killEngine(Fleet fleet, Caller caller) throws Exception {
    CompletionRequest request = CompletionRequest.of("A question with a long answer.", LONG_ANSWER);
    AtomicInteger tokens = new AtomicInteger();
    CompletableFuture<CompletionResult> running =
        caller.send(fleet.gateway(1), request, tokens::set);
    Await.until(
        TOKENS_BEFORE_KILL + " tokens have come",
        ANSWER_BOUND,
        () -> tokens.get() >= TOKENS_BEFORE_KILL || running.isDone());
    String engine = busyEngine(fleet);
    fleet.process(engine).kill();
    int before = tokens.get();
    CompletionResult broken = await(running);
    require(broken.complete(), broken.summary());
    completions++;
    CompletionResult unbroken = await(caller.send(fleet.gateway(2), request));
    require(unbroken.complete(), unbroken.summary());
    completions++;
    require(broken.text().equals(unbroken.text()), "the answers differ");
    require(before < LONG_ANSWER, "the answer was complete before the engine was killed");
    return "%s killed after %d of %d tokens; the answer equals an unbroken one"
        .formatted(engine, before, LONG_ANSWER);
  }

  private static String busyEngine(Fleet fleet) {
    return Await.value(
        "an engine runs the request",
        ANSWER_BOUND,
        () ->
            fleet.plan().servers().stream()
                .filter(FleetPlan.ServerPlan::engine)
                .map(FleetPlan.ServerPlan::id)
                .filter(id -> runningOn(fleet, id) > 0)
                .findFirst()
                .or(Optional::empty));
  }

  private static long runningOn(Fleet fleet, String engine) {
    var counters = fleet.counters(engine);
    return counters.path("requests_started").asLong()
        - counters.path("requests_finished").asLong()
        - counters.path("requests_cancelled").asLong();
  }

  private String patch(Fleet fleet) {
    ServiceClass standard = fleet.serviceClass("standard");
    long start = System.nanoTime();
    configVersion =
        fleet.publish(
            "the afternoon pair tightens a target",
            new ServiceClass(
                standard.name(),
                standard.tier(),
                standard.firstTokenTargetMillis() / 2,
                standard.tokenIntervalTargetMillis(),
                standard.answerTargetMillis(),
                standard.servers()));
    fleet.awaitVersion(configVersion, fleet.productProcesses());
    return "version %d in force in %d processes after %d ms"
        .formatted(
            configVersion,
            fleet.productProcesses().size(),
            TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - start));
  }

  private static <T> T await(CompletableFuture<T> future)
      throws InterruptedException, ExecutionException, TimeoutException {
    return future.get(ANSWER_BOUND.toSeconds(), TimeUnit.SECONDS);
  }

  private static void require(boolean condition, String message) {
    if (!condition) {
      throw new IllegalStateException(message);
    }
  }
}
