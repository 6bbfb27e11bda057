package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.List;
import java.util.OptionalLong;
import java.util.concurrent.TimeUnit;
import org.shallothold.standin.http.Exchange;
import org.shallothold.standin.http.FaultValues;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.RequestException;
import org.shallothold.standin.http.ServerLoop;
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
          OptionSpec.value("model-load-ms", 0, "time that the command to load a model takes"),
          OptionSpec.value("max-batch", 16, "requests that run at once"),
          OptionSpec.value("step-base-ms", 15, "time of a step"),
          OptionSpec.value("step-per-running-us", 200, "time of a step per running request"),
          OptionSpec.value(
              "step-per-kilotoken-us", 20, "time of a step per thousand tokens of context"),
          OptionSpec.value("prefill-us-per-token", 50, "time per context token that isn't cached"),
          OptionSpec.value("cache-tokens", 65_536, "size of the prefix cache"),
          OptionSpec.value("cache-event-delay-ms", 500, "age from which cache events can be read"),
          OptionSpec.value(
              "cache-event-gap-every", 20, "one in so many cache events is lost; 0 for none"),
          OptionSpec.value("load-lag-ms", 1_000, "age of the load that GET /load reports"),
          OptionSpec.flag("checks-fencing", "reject commands with an old fencing number"));

  private static final List<String> FAULTS =
      List.of(
          "crash",
          "freeze_ms",
          "slow_factor",
          "cut_stream_after_tokens",
          "load_lag_ms",
          "stated_rate");

  /** Header of completions while the engine states the rate that it takes from all gateways. */
  public static final String STATED_RATE_HEADER = "Stated-Rate";

  private static final int MAX_BATCH = 4_096;
  private static final int MAX_MILLIS = 600_000;
  private static final int MAX_MICROS = 60_000_000;
  private static final int MAX_CACHE_TOKENS = 1 << 24;

  private final ServerLoop loop;
  private final Runnable crash;
  private final int maxBatch;
  private final long loadLagMillis;

  private final EngineCounters counters = new EngineCounters();
  private final LoadHistory load = new LoadHistory(System.nanoTime());
  private final CacheEventLog cacheEvents;
  private final PrefixCache cache;
  private final BatchScheduler scheduler;
  private final EngineCommands commands;
  private ArrivalWindow arrivalWindow = ArrivalWindow.create();
  private final ObjectNode faults = Json.object();
  private long arrivals;

  private EngineStandin(Arguments arguments, ServerLoop loop, Runnable crash) {
    this.loop = loop;
    this.crash = crash;
    maxBatch = arguments.integer("max-batch", 1, MAX_BATCH);
    loadLagMillis = arguments.integer("load-lag-ms", 0, MAX_MILLIS);
    cacheEvents =
        new CacheEventLog(
            TimeUnit.MILLISECONDS.toNanos(arguments.integer("cache-event-delay-ms", 0, MAX_MILLIS)),
            arguments.integer("cache-event-gap-every", 0, Integer.MAX_VALUE),
            System::nanoTime);
    cache = new PrefixCache(arguments.integer("cache-tokens", 0, MAX_CACHE_TOKENS), cacheEvents);
    StepCosts costs =
        new StepCosts(
            TimeUnit.MILLISECONDS.toMicros(arguments.integer("step-base-ms", 0, MAX_MILLIS)),
            arguments.integer("step-per-running-us", 0, MAX_MICROS),
            arguments.integer("step-per-kilotoken-us", 0, MAX_MICROS),
            arguments.integer("prefill-us-per-token", 0, MAX_MICROS));
    scheduler = new BatchScheduler(loop, maxBatch, costs, cache, counters, load);
    commands =
        new EngineCommands(
            arguments.list("models"),
            arguments.flag("checks-fencing"),
            arguments.integer("model-load-ms", 0, MAX_MILLIS),
            loop);
  }

  /**
   * Returns an idle engine.
   *
   * @param loop the server's thread
   * @param crash ends the process at once
   */
  public static EngineStandin create(Arguments arguments, ServerLoop loop, Runnable crash) {
    return new EngineStandin(arguments, loop, crash);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.route()) {
      case "POST /v1/chat/completions" -> complete(exchange);
      case "GET /v1/models" -> exchange.respond(200, models());
      case "GET /load" -> exchange.respond(200, load());
      case "POST /commands" -> commands.command(exchange);
      case "GET /commands" -> exchange.respond(200, commands.toJson());
      case "GET /cache-events" ->
          exchange.respond(200, cacheEvents.after(exchange.queryNumber("after", 0)));
      case "GET /counters" ->
          exchange.respond(
              200, counters.toJson().put("most_arrivals_in_4_s", arrivalWindow.most()));
      default -> throw RequestException.notFound(exchange);
    }
  }

  @Override
  public void applyFault(String name, JsonNode value) {
    switch (name) {
      case "crash" -> {
        if (FaultValues.flag(name, value)) {
          crash.run();
        }
      }
      case "freeze_ms" ->
          FaultValues.number(name, value)
              .ifPresent(millis -> loop.freeze(Duration.ofMillis(millis)));
      case "slow_factor" -> {
        double factor = FaultValues.factor(name, value).orElse(1);
        scheduler.slowDown(factor);
        faults.put(name, factor);
      }
      case "stated_rate" -> {
        FaultValues.rate(name, value)
            .ifPresentOrElse(rate -> faults.put(name, rate), () -> faults.remove(name));
        arrivalWindow = ArrivalWindow.create();
      }
      case "cut_stream_after_tokens", "load_lag_ms" -> {
        OptionalLong number = FaultValues.number(name, value);
        number.ifPresentOrElse(set -> faults.put(name, set), () -> faults.remove(name));
      }
      default -> throw FaultValues.unknown(name, FAULTS);
    }
  }

  @Override
  public ObjectNode faults() {
    return faults;
  }

  private void complete(Exchange exchange) {
    arrivalWindow.record(TimeUnit.NANOSECONDS.toMillis(System.nanoTime()));
    if (faults.has("stated_rate")) {
      exchange.addAnswerHeader(STATED_RATE_HEADER, faults.get("stated_rate").asText());
    }
    ObjectNode request = exchange.json();
    String model = request.path("model").asText(commands.models().stream().findFirst().orElse(""));
    if (!commands.models().contains(model)) {
      throw RequestException.of(404, "model_not_found", "the model is not loaded: " + model);
    }
    arrivals++;
    boolean stream = request.path("stream").asBoolean();
    AnswerWriter writer = AnswerWriter.of(exchange, "chatcmpl-" + arrivals, model, stream);
    Completion completion = Completion.parse(request, model, arrivals, writer);
    if (stream && faults.has("cut_stream_after_tokens")) {
      completion.cutAfter(faults.remove("cut_stream_after_tokens").asInt());
    }
    exchange.onClose(() -> scheduler.cancel(completion));
    scheduler.submit(completion);
  }

  private ObjectNode models() {
    ObjectNode document = Json.object().put("object", "list");
    ArrayNode data = document.putArray("data");
    commands.models().forEach(model -> data.addObject().put("id", model).put("object", "model"));
    return document;
  }

  private ObjectNode load() {
    long lagMillis = faults.path("load_lag_ms").asLong(loadLagMillis);
    LoadHistory.Sample sample =
        load.at(System.nanoTime() - TimeUnit.MILLISECONDS.toNanos(lagMillis));
    ObjectNode document =
        Json.object()
            .put("running", sample.running())
            .put("waiting", sample.waiting())
            .put("max_batch", maxBatch)
            .put("cached_tokens", cache.tokens())
            .put("role", commands.role());
    document.set("models", Json.texts(commands.models()));
    return document;
  }
}
