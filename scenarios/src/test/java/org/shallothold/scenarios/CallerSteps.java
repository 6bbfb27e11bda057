package org.shallothold.scenarios;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.cucumber.java.en.Then;
import io.cucumber.java.en.When;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.caller.CompletionResult;
import org.shallothold.experiment.caller.OrderResult;
import org.shallothold.experiment.caller.Outcome;
import org.shallothold.experiment.fleet.Await;

/** Steps about callers, their answers and their orders. */
public final class CallerSteps {

  private static final String ORDER = "{\"item\": \"rye flour\", \"sacks\": 4}";

  private final World world = World.current();

  @When("caller {word} asks gateway {int} for {int} tokens in class {word}")
  public void ask(String name, int gateway, int tokens, String serviceClass) {
    world.ask(name, gateway, CompletionRequest.of("Question of " + name, tokens).in(serviceClass));
  }

  @When("{int} callers of group {word} ask for {int} tokens in class {word}")
  public void askGroup(int count, String group, int tokens, String serviceClass) {
    world.askGroup(group, count, CompletionRequest.of("", tokens).in(serviceClass));
  }

  @When("{int} callers of group {word} keep asking for {int} tokens in class {word}")
  public void keepAsking(int count, String group, int tokens, String serviceClass) {
    world.keepAsking(group, count, CompletionRequest.of("", tokens).in(serviceClass));
  }

  @When(
      "{int} callers of group {word} ask for {int} tokens in class {word} and give up after {int} ms")
  public void askAndGiveUp(int count, String group, int tokens, String serviceClass, int millis) {
    world.askGroup(
        group,
        count,
        CompletionRequest.of("", tokens).in(serviceClass).withTimeout(Duration.ofMillis(millis)));
  }

  @When("caller {word} has {int} tokens")
  public void awaitTokens(String name, int tokens) {
    Await.until(
        name + " has " + tokens + " tokens",
        World.ANSWER_BOUND,
        () -> world.tokensOf(name) >= tokens || world.isDone(name));
    assertTrue(!world.isDone(name), () -> "ended early: " + world.completion(name).summary());
  }

  @When("group {word} has {int} complete answers")
  public void awaitComplete(String group, int count) {
    Await.until(
        group + " has " + count + " complete answers",
        World.ANSWER_BOUND,
        () -> world.group(group).complete() >= count);
  }

  @When("an engine runs a request")
  public void awaitBusy() {
    String unused = world.busyEngine();
  }

  @Then("caller {word} gets the complete answer")
  public void complete(String name) {
    CompletionResult result = world.completion(name);
    assertEquals(Outcome.COMPLETE, result.outcome(), result::summary);
  }

  @Then("caller {word} is told {word}")
  public void told(String name, String verdicts) {
    CompletionResult result = world.completion(name);
    assertTrue(outcomes(verdicts).contains(result.outcome()), result::summary);
  }

  /** The other request of such a scenario may be the one that was started. */
  @Then("caller {word} is told may_have_run, or not_run and at most {int} request was started")
  public void accurateVerdict(String name, int others) {
    CompletionResult result = world.completion(name);
    long started = started();
    assertTrue(
        result.outcome() == Outcome.MAY_HAVE_RUN
            || (result.outcome() == Outcome.NOT_RUN && started <= others),
        () -> result.summary() + "; started: " + started);
  }

  @Then("every caller of group {word} gets the complete answer")
  public void allComplete(String group) {
    for (CompletionResult result : world.group(group).all()) {
      assertEquals(Outcome.COMPLETE, result.outcome(), result::summary);
    }
  }

  @Then("nobody in group {word} is refused")
  public void nobodyRefused(String group) {
    allComplete(group);
  }

  @Then("every caller of group {word} gets the complete answer or is told {word}")
  public void completeOrTold(String group, String verdicts) {
    List<Outcome> allowed = outcomes(verdicts);
    for (CompletionResult result : world.group(group).all()) {
      assertTrue(result.complete() || allowed.contains(result.outcome()), result::summary);
    }
  }

  @Then("group {word} gets {int} complete answers while group {word} still asks")
  public void progress(String low, int count, String high) {
    Await.until(
        low + " has " + count + " complete answers",
        World.ANSWER_BOUND,
        () -> world.group(low).complete() >= count,
        () -> "It has " + world.group(low).complete());
    assertTrue(world.group(high).running(), high + " no longer asks");
  }

  @Then("no engine started a request of group {word} that was refused as not run")
  public void refusedWereNotRun(String group) {
    List<CompletionResult> results = world.group(group).all();
    long notRun = results.stream().filter(result -> result.outcome() == Outcome.NOT_RUN).count();
    assertTrue(
        started() <= results.size() - notRun,
        () -> "%d requests, %d not run, %d started".formatted(results.size(), notRun, started()));
  }

  @When("ticket {word} is issued through gateway {int}")
  public void issue(String ticket, int gateway) {
    world.issueTicket(ticket, gateway);
    assertNotEquals("", world.ticket(ticket), "no ticket was issued");
  }

  @When("ticket {word} is sealed through gateway {int}")
  public void seal(String ticket, int gateway) {
    assertTrue(
        world
            .caller()
            .ticketCall(world.fleet().gateway(gateway), "DELETE", world.ticket(ticket))
            .path("not_run")
            .asBoolean());
  }

  @When("caller {word} orders under ticket {word} through gateway {int}")
  public void order(String name, String ticket, int gateway) {
    world.order(name, gateway, world.ticket(ticket), ORDER);
  }

  @When("caller {word} orders something else under ticket {word} through gateway {int}")
  public void orderOther(String name, String ticket, int gateway) {
    world.order(name, gateway, world.ticket(ticket), "{\"item\": \"spelt\", \"sacks\": 1}");
  }

  @When("caller {word} orders without a ticket through gateway {int}")
  public void orderWithoutTicket(String name, int gateway) {
    world.order(name, gateway, "", ORDER);
  }

  @When(
      "caller {word} orders under the ticket that caller {word} was offered through gateway {int}")
  public void orderUnderOffer(String name, String earlier, int gateway) {
    world.order(name, gateway, world.orderResult(earlier).ticket(), ORDER);
  }

  @Then("caller {word}'s order is confirmed")
  public void confirmed(String name) {
    OrderResult result = world.orderResult(name);
    assertEquals(Outcome.COMPLETE, result.outcome(), result::toString);
  }

  @Then("caller {word}'s order is told {word}")
  public void orderTold(String name, String verdicts) {
    OrderResult result = world.orderResult(name);
    assertTrue(outcomes(verdicts).contains(result.outcome()), result::toString);
  }

  @Then("caller {word}'s order has status {int}")
  public void orderStatus(String name, int status) {
    assertEquals(status, world.orderResult(name).status(), world.orderResult(name)::toString);
  }

  @Then("callers {word} and {word} get the same answer to their order")
  public void sameAnswer(String one, String two) {
    assertEquals(world.orderResult(one), world.orderResult(two));
  }

  @Then("the service acted {int} time(s) under ticket {word}")
  public void acted(int times, String ticket) {
    assertEquals(times, world.fleet().ledger("service-1").getOrDefault(world.ticket(ticket), 0));
  }

  @Then("the service acted at most once under each ticket")
  public void actedOnceAtMost() {
    Map<String, Integer> ledger = world.fleet().ledger("service-1");
    ledger.forEach((ticket, times) -> assertEquals(1, times, ticket));
  }

  private long started() {
    return world.engines().stream().mapToLong(id -> world.count(id, "requests_started")).sum();
  }

  private static List<Outcome> outcomes(String verdicts) {
    return java.util.Arrays.stream(verdicts.split("\\|", -1))
        .map(text -> Outcome.valueOf(text.toUpperCase(java.util.Locale.ROOT)))
        .toList();
  }
}
