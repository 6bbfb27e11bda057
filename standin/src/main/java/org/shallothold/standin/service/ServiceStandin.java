package org.shallothold.standin.service;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.file.Path;
import java.time.Duration;
import java.util.List;
import java.util.Objects;
import java.util.Optional;
import org.shallothold.standin.http.Exchange;
import org.shallothold.standin.http.FaultValues;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.ServerLoop;
import org.shallothold.standin.http.Standin;
import org.shallothold.standin.options.Arguments;
import org.shallothold.standin.options.OptionSpec;

/**
 * A plain service for orders and stock. It acts on each order that arrives, also on one with a key
 * that it has seen. Called only on its server's thread.
 */
public final class ServiceStandin implements Standin {

  /** Options besides the common ones. */
  public static final List<OptionSpec> OPTIONS =
      List.of(
          OptionSpec.value(
              "ledger", "", "file that keeps the counts of orders over a crash; none by default"));

  private static final List<String> FAULTS =
      List.of("delay_ms", "crash_before_acting", "crash_after_acting", "freeze_ms");
  private static final int STOCK_LEVELS = 1_000;

  private final ServerLoop loop;
  private final Runnable crash;

  private final OrderCounts orders;
  private final ObjectNode faults = Json.object();

  private ServiceStandin(OrderCounts orders, ServerLoop loop, Runnable crash) {
    this.orders = orders;
    this.loop = loop;
    this.crash = crash;
  }

  /**
   * Returns a service that has acted on the orders in its ledger file, if there is one.
   *
   * @param loop the server's thread
   * @param crash ends the process at once
   */
  public static ServiceStandin create(Arguments arguments, ServerLoop loop, Runnable crash) {
    Optional<Path> ledger =
        Optional.of(arguments.text("ledger")).filter(text -> !text.isEmpty()).map(Path::of);
    return new ServiceStandin(new OrderCounts(ledger), loop, crash);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.route()) {
      case "GET /ledger" -> {
        ObjectNode document = Json.object();
        document.set("orders", orders.toJson());
        exchange.respond(200, document);
      }
      default -> {
        long delayMillis = faults.path("delay_ms").asLong();
        if (delayMillis == 0) {
          serve(exchange);
        } else {
          var unused = loop.schedule(Duration.ofMillis(delayMillis), () -> serve(exchange));
        }
      }
    }
  }

  @Override
  public void applyFault(String name, JsonNode value) {
    switch (name) {
      case "delay_ms" ->
          FaultValues.number(name, value)
              .ifPresentOrElse(millis -> faults.put(name, millis), () -> faults.remove(name));
      case "crash_before_acting", "crash_after_acting" ->
          faults.put(name, FaultValues.flag(name, value));
      case "freeze_ms" ->
          FaultValues.number(name, value)
              .ifPresent(millis -> loop.freeze(Duration.ofMillis(millis)));
      default -> throw FaultValues.unknown(name, FAULTS);
    }
  }

  @Override
  public ObjectNode faults() {
    return faults;
  }

  private void serve(Exchange exchange) {
    String path = exchange.path();
    if (exchange.method().equals("POST") && isUnder(path, "/orders")) {
      act(exchange);
    } else if (exchange.method().equals("GET") && isUnder(path, "/stock")) {
      int level = Math.floorMod(path.hashCode(), STOCK_LEVELS);
      exchange.respond(200, Json.object().put("path", path).put("in_stock", level));
    } else {
      exchange.respond(200, Json.object().put("method", exchange.method()).put("path", path));
    }
  }

  private void act(Exchange exchange) {
    if (faults.path("crash_before_acting").asBoolean()) {
      crash.run();
      return;
    }
    String key = Objects.requireNonNullElse(exchange.header("Idempotency-Key"), "");
    int count = orders.add(key);
    if (faults.path("crash_after_acting").asBoolean()) {
      crash.run();
      return;
    }
    exchange.respond(200, Json.object().put("key", key).put("count", count));
  }

  private static boolean isUnder(String path, String parent) {
    return path.equals(parent) || path.startsWith(parent + "/");
  }
}
