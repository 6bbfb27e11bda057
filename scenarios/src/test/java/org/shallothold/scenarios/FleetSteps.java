package org.shallothold.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;

import io.cucumber.java.After;
import io.cucumber.java.ParameterType;
import io.cucumber.java.en.Given;
import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.function.ToLongFunction;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.fleet.Await;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.ManagedProcess;
import org.shallothold.experiment.fleet.PlatformControl;
import org.shallothold.experiment.fleet.Relay;

/** Steps about processes, their connections, the platform and the configuration. */
public final class FleetSteps {

  /** A leaving server must get no new work after 3 s; four times that for a busy machine. */
  private static final Duration LEAVING_BOUND = Duration.ofSeconds(12);

  /** Grace and drain limits of the sample settings are 2 s and 60 s. */
  private static final Duration STOP_BOUND = Duration.ofSeconds(70);

  private static final int PROBES = 12;

  private final World world = World.current();

  /** Ends the scenario's processes. */
  @After
  public void endProcesses() {
    World.end();
  }

  /** A process by its name, or as {@code the busy engine} or {@code the busy engine's sidecar}. */
  @ParameterType("the busy engine's sidecar|the busy engine|[a-z]+(?:-[a-z0-9]+)*-[0-9]|platform")
  public String process(String text) {
    return text;
  }

  @Given("a fleet of {int} gateway(s), {int} engine(s) and {int} service(s)")
  public void fleet(int gateways, int engines, int services) {
    world.plan = FleetPlan.of(gateways, engines, services);
  }

  @Given("each engine runs {int} request(s) at once, queues {int} and takes {int} ms for a token")
  public void engines(int running, int waiting, int millis) {
    world.plan =
        world.plan.withEngines(
            running, waiting, "--max-batch", "" + running, "--step-base-ms", "" + millis);
  }

  @Given("each service runs {int} request(s) at once")
  public void services(int running) {
    world.plan =
        world.plan.withServers(
            world.plan.servers().stream()
                .map(
                    item ->
                        item.engine()
                            ? item
                            : new FleetPlan.ServerPlan(
                                item.id(),
                                false,
                                item.failureDomain(),
                                running,
                                item.maxWaiting(),
                                item.options()))
                .toList());
  }

  @Given("connections that can be cut")
  public void relayed() {
    world.plan = world.plan.withRelays(Duration.ZERO);
  }

  @Given("class {word} has a deadline of {int} ms")
  public void deadline(String name, int millis) {
    world.plan =
        world.plan.withClasses(
            world.plan.classes().stream()
                .map(item -> item.name().equals(name) ? withDeadline(item, millis) : item)
                .toList());
  }

  @When("the fleet is up")
  public void up() {
    Fleet unused = world.fleet();
  }

  @When("{process} is killed")
  public void kill(String name) {
    resolve(name).kill();
  }

  @When("{process} is frozen")
  public void freeze(String name) {
    resolve(name).freeze();
  }

  @When("{process} goes on")
  public void thaw(String name) {
    resolve(name).thaw();
  }

  @When("{process} is told to stop")
  public void terminate(String name) {
    resolve(name).terminate();
  }

  @When("{process} is started again")
  public void restart(String name) {
    ManagedProcess process = resolve(name);
    process.start();
    process.awaitReady(Fleet.START_BOUND);
  }

  @When("{process} is started again and connected")
  public void restartAndConnect(String name) {
    restart(name);
    world.fleet().awaitVersion(1, List.of(name));
    world.fleet().awaitConnected();
  }

  @When("fault {word} of {process} is {word}")
  public void fault(String fault, String name, String value) {
    Object parsed =
        value.matches("[0-9.]+") ? (Object) Double.valueOf(value).longValue() : value.equals("on");
    if (name.equals("platform")) {
      world.fleet().platform().setFault(fault, parsed);
    } else {
      world.fleet().setFault(name, fault, parsed);
    }
  }

  @When("{process} can't reach {process}")
  public void cut(String from, String to) {
    link(from, to).set(Relay.Mode.REFUSE);
  }

  @When("bytes from {process} to {process} are held")
  public void hold(String from, String to) {
    link(from, to).set(Relay.Mode.HOLD);
  }

  @When("{process} can reach {process} again")
  public void heal(String from, String to) {
    link(from, to).set(Relay.Mode.PASS);
  }

  @When("the platform lists {process} as leaving")
  public void listAsLeaving(String name) {
    world.fleet().platform().setLeaving(name, true);
  }

  @When("the operators mark {word} as draining")
  public void drain(String server) {
    long version =
        world
            .fleet()
            .publish(
                "maintenance",
                new Patch.Items(
                    Map.of(),
                    Map.of(),
                    Map.of(server, world.fleet().server(server).withDraining(true)),
                    Map.of()),
                Patch.RemovedNames.NONE);
    assertEquals(2, version);
  }

  @When("the operators publish a patch")
  public void publish() {
    ServiceClass standard = world.fleet().serviceClass("standard");
    long unused = world.fleet().publish("another target", withDeadline(standard, 29_000));
  }

  @When("the operators publish two patches on one base")
  public void publishTwice() {
    publish();
    ServiceClass bulk = world.fleet().serviceClass("bulk");
    long unused =
        world
            .fleet()
            .platform()
            .publish(
                PlatformControl.patch(
                    world.fleet().version() - 1,
                    "written against a version that has passed",
                    new Patch.Items(
                        Map.of("bulk", withDeadline(bulk, 59_000)), Map.of(), Map.of(), Map.of()),
                    Patch.RemovedNames.NONE));
  }

  @Then("version {int} is in force in every process")
  public void versionEverywhere(int version) {
    world.fleet().awaitVersion(version, world.fleet().productProcesses());
    exactVersion(version);
  }

  @Then("version {int} is in force in {process}")
  public void version(int version, String name) {
    world.fleet().awaitVersion(version, List.of(name));
    assertEquals(version, world.fleet().versionInForce(name));
  }

  @Then("every process still holds version {int}")
  public void exactVersion(int version) {
    world
        .fleet()
        .productProcesses()
        .forEach(name -> assertEquals(version, world.fleet().versionInForce(name), name));
  }

  @Then("no process has seen two histories")
  public void noConflicts() {
    world
        .fleet()
        .productProcesses()
        .forEach(
            name ->
                assertEquals(
                    0,
                    world.fleet().metric(name, "shallothold_config_history_conflicts_total"),
                    name));
  }

  @Then("{process} ends with code {int}")
  public void ends(String name, int code) {
    assertEquals(code, resolve(name).awaitExit(STOP_BOUND), resolve(name).logTail());
  }

  @Then("{word} soon gets no new work")
  public void noNewWork(String engine) {
    ToLongFunction<String> started = id -> world.count(id, "requests_started");
    Await.until(
        engine + " gets no new work",
        LEAVING_BOUND,
        () -> {
          long before = started.applyAsLong(engine);
          probe("settling");
          return started.applyAsLong(engine) == before;
        });
    long before = started.applyAsLong(engine);
    probe("after");
    probe("later");
    assertEquals(before, started.applyAsLong(engine), "new work of " + engine);
  }

  @When("{process} runs a request")
  public void awaitRunning(String sidecar) {
    Await.until(
        sidecar + " runs a request",
        World.ANSWER_BOUND,
        () -> world.fleet().metric(sidecar, "shallothold_sidecar_running_requests") > 0);
  }

  @When("{process} has a request waiting")
  public void awaitWaiting(String sidecar) {
    Await.until(
        sidecar + " has a request waiting",
        World.ANSWER_BOUND,
        () -> world.fleet().metric(sidecar, "shallothold_sidecar_waiting_requests") > 0);
  }

  @When("{process} has ended")
  public void awaitEnded(String name) {
    int unused = resolve(name).awaitExit(STOP_BOUND);
  }

  @Then("{word} has cut {int} stream(s)")
  public void streamsCut(String engine, int streams) {
    assertEquals(streams, world.count(engine, "streams_cut"));
  }

  @Then("every sidecar is idle")
  public void idle() {
    for (String name : world.fleet().productProcesses()) {
      Await.until(
          name + " is idle",
          World.ANSWER_BOUND,
          () ->
              world.fleet().metric(name, "shallothold_sidecar_running_requests") == 0
                  && world.fleet().metric(name, "shallothold_sidecar_waiting_requests") == 0);
    }
  }

  /** Sends short requests and waits for their answers, all of which must be complete. */
  private void probe(String name) {
    String group = name + System.nanoTime();
    world.askGroup(group, PROBES, CompletionRequest.of("", 1));
    assertEquals(
        PROBES,
        world.group(group).all().stream().filter(result -> result.complete()).count(),
        "complete answers while a server leaves");
  }

  private ManagedProcess resolve(String name) {
    return world
        .fleet()
        .process(
            switch (name) {
              case "the busy engine" -> world.busyEngine();
              case "the busy engine's sidecar" -> "sidecar-" + world.busyEngine();
              default -> name;
            });
  }

  private Relay.Link link(String from, String to) {
    return to.equals("platform")
        ? world.fleet().platformLink(from)
        : world.fleet().link(from, to.replace("sidecar-", ""));
  }

  private static ServiceClass withDeadline(ServiceClass item, long millis) {
    return new ServiceClass(
        item.name(),
        item.tier(),
        item.firstTokenTargetMillis(),
        item.tokenIntervalTargetMillis(),
        millis,
        item.servers());
  }
}
