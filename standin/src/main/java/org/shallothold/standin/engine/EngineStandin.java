package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import org.shallothold.standin.http.Exchange;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.RequestException;
import org.shallothold.standin.http.Standin;
import org.shallothold.standin.options.Arguments;
import org.shallothold.standin.options.OptionSpec;

/**
 * A model engine with continuous batching, priorities and a prefix cache. Called only on its
 * server's thread.
 */
public final class EngineStandin implements Standin {

  /** Options besides the common ones. */
  public static final List<OptionSpec> OPTIONS =
      List.of(
          OptionSpec.value("models", "model", "models loaded at start, separated by commas"),
          OptionSpec.value("max-batch", 16, "requests that run at once"),
          OptionSpec.value("step-base-ms", 15, "time of a step"),
          OptionSpec.value("step-per-running-us", 200, "time of a step per running request"),
          OptionSpec.value(
              "step-per-kilotoken-us", 20, "time of a step per thousand tokens of context"),
          OptionSpec.value("prefill-us-per-token", 50, "time per prompt token that isn't cached"),
          OptionSpec.value("cache-tokens", 65_536, "size of the prefix cache"));

  private final BatchScheduler scheduler;
  private final LoadHistory load;
  private final EngineCounters counters = new EngineCounters();
  private final int maxBatch;

  private final Set<String> models;
  private long loadLagMillis = 1_000;
  private long arrivals;

  private EngineStandin(Arguments arguments, ScheduledExecutorService loop) {
    models = new LinkedHashSet<>(arguments.list("models"));
    maxBatch = arguments.integer("max-batch", 1, 4_096);
    load = new LoadHistory(System.nanoTime());
    PrefixCache cache =
        new PrefixCache(
            arguments.integer("cache-tokens", 0, 1 << 24),
            new PrefixCache.Listener() {
              @Override
              public void stored(List<String> blocks) {}

              @Override
              public void removed(List<String> blocks) {}
            });
    StepCosts costs =
        new StepCosts(
            1_000L * arguments.integer("step-base-ms", 0, 60_000),
            arguments.integer("step-per-running-us", 0, 1_000_000),
            arguments.integer("step-per-kilotoken-us", 0, 1_000_000),
            arguments.integer("prefill-us-per-token", 0, 1_000_000));
    scheduler = new BatchScheduler(loop, maxBatch, costs, cache, counters, load);
  }

  /**
   * Returns an idle engine.
   *
   * @param crash ends the process at once
   */
  public static EngineStandin create(
      Arguments arguments, ScheduledExecutorService loop, Runnable crash) {
    return new EngineStandin(arguments, loop);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.route()) {
      case "POST /v1/chat/completions" -> complete(exchange);
      case "GET /v1/models" -> exchange.respond(200, models());
      case "GET /load" -> exchange.respond(200, load());
      case "GET /counters" -> exchange.respond(200, counters.toJson());
      default -> throw RequestException.notFound(exchange);
    }
  }

  @Override
  public void applyFaults(ObjectNode faults) {}

  private void complete(Exchange exchange) {
    ObjectNode request = exchange.json();
    String model = request.path("model").asText(models.iterator().next());
    if (!models.contains(model)) {
      throw RequestException.of(404, "model_not_found", "the model is not loaded: " + model);
    }
    arrivals++;
    AnswerWriter writer =
        AnswerWriter.of(
            exchange, "chatcmpl-" + arrivals, model, request.path("stream").asBoolean());
    Completion completion = Completion.parse(request, model, arrivals, writer);
    exchange.onClose(() -> scheduler.cancel(completion));
    scheduler.submit(completion);
  }

  private ObjectNode models() {
    ObjectNode document = Json.object().put("object", "list");
    ArrayNode data = document.putArray("data");
    models.forEach(model -> data.addObject().put("id", model).put("object", "model"));
    return document;
  }

  private ObjectNode load() {
    long now = System.nanoTime();
    LoadHistory.Sample sample = load.at(now - TimeUnit.MILLISECONDS.toNanos(loadLagMillis));
    return Json.object()
        .put("running", sample.running())
        .put("waiting", sample.waiting())
        .put("max_batch", maxBatch);
  }
}
