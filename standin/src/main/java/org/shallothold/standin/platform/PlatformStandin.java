package org.shallothold.standin.platform;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.concurrent.Future;
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
 * The platform: ordered configuration entries that can be read and watched, and the membership
 * list. Called only on its server's thread.
 */
public final class PlatformStandin implements Standin {

  /** Options besides the common ones. */
  public static final List<OptionSpec> OPTIONS =
      List.of(
          OptionSpec.value(
              "reads-per-second",
              2_000,
              "reads allowed per second over all readers, where each pending watch counts as one"));

  private static final List<String> FAULTS =
      List.of("down", "stale_at", "rolled_back_to", "members_lag_ms");
  private static final long MAX_WAIT_MILLIS = 60_000;

  private record Watch(long after, Future<?> timeout) {}

  private final ServerLoop loop;

  private final ReadRateLimit readRateLimit;
  private final EntryList entries = new EntryList();
  private final MemberHistory members = new MemberHistory();
  private final Map<Exchange, Watch> watches = new HashMap<>();
  private final ObjectNode counters =
      Json.object()
          .put("entry_reads", 0)
          .put("snapshot_reads", 0)
          .put("member_reads", 0)
          .put("refused_reads", 0)
          .put("requests_while_down", 0)
          .put("most_pending_watches", 0);
  private final ObjectNode faults = Json.object();

  private PlatformStandin(int readsPerSecond, ServerLoop loop) {
    this.loop = loop;
    this.readRateLimit = ReadRateLimit.of(readsPerSecond, System.nanoTime());
  }

  /** Returns a platform without entries or members. */
  public static PlatformStandin create(Arguments arguments, ServerLoop loop) {
    return new PlatformStandin(arguments.integer("reads-per-second", 0, Integer.MAX_VALUE), loop);
  }

  @Override
  public void handle(Exchange exchange) {
    switch (exchange.route()) {
      case "GET /counters" -> exchange.respond(200, counters());
      default -> {
        if (faults.path("down").asBoolean()) {
          count("requests_while_down");
          respondDown(exchange);
          return;
        }
        handleUp(exchange);
      }
    }
  }

  @Override
  public void applyFault(String name, JsonNode value) {
    switch (name) {
      case "down" -> faults.put(name, FaultValues.flag(name, value));
      case "stale_at" -> {
        OptionalLong position = FaultValues.number(name, value);
        position.ifPresentOrElse(entries::staleAt, entries::clearStale);
        setNumber(name, position);
      }
      case "rolled_back_to" -> {
        OptionalLong position = FaultValues.number(name, value);
        position.ifPresentOrElse(entries::rollBackTo, entries::clearRollback);
        setNumber(name, position);
      }
      case "members_lag_ms" -> setNumber(name, FaultValues.number(name, value));
      default -> throw FaultValues.unknown(name, FAULTS);
    }
    answerWatches();
  }

  @Override
  public ObjectNode faults() {
    return faults;
  }

  private void handleUp(Exchange exchange) {
    switch (exchange.route()) {
      case "GET /config/entries" -> {
        countRead("entry_reads");
        readEntries(exchange);
      }
      case "GET /config/snapshot" -> {
        countRead("snapshot_reads");
        exchange.respond(
            200,
            entries
                .newestSnapshot()
                .orElseThrow(() -> RequestException.of(404, "no_snapshot", "no snapshot yet")));
      }
      case "POST /config/entries" -> publish(exchange);
      case "GET /members" -> {
        countRead("member_reads");
        ObjectNode document = Json.object();
        document.set("members", members.at(System.nanoTime() - membersLagNanos()));
        exchange.respond(200, document);
      }
      case "PUT /members" -> {
        members.set(exchange.json(), System.nanoTime());
        exchange.respond(200, Json.object());
      }
      default -> throw RequestException.notFound(exchange);
    }
  }

  private void readEntries(Exchange exchange) {
    long after = exchange.queryNumber("after", 0);
    long waitMillis = Math.min(exchange.queryNumber("wait_ms", 0), MAX_WAIT_MILLIS);
    ArrayNode page = entries.page(after);
    if (!page.isEmpty() || waitMillis == 0) {
      respondEntries(exchange, page);
      return;
    }
    Future<?> timeout =
        loop.schedule(
            Duration.ofMillis(waitMillis),
            () -> endWatch(exchange, () -> respondEntries(exchange, entries.page(after))));
    watches.put(exchange, new Watch(after, timeout));
    counters.put(
        "most_pending_watches",
        Math.max(watches.size(), counters.path("most_pending_watches").asInt()));
    exchange.onClose(() -> endWatch(exchange, () -> {}));
  }

  private void publish(Exchange exchange) {
    String kind = exchange.query("kind", "patch");
    if (!kind.equals("patch") && !kind.equals("snapshot")) {
      throw RequestException.badRequest("kind must be patch or snapshot: " + kind);
    }
    if (exchange.body().length > EntryList.MAX_BODY_BYTES) {
      throw RequestException.of(
          413, "too_large", "an entry may have " + EntryList.MAX_BODY_BYTES + " bytes");
    }
    exchange.respond(200, Json.object().put("position", entries.append(kind, exchange.body())));
    answerWatches();
  }

  /** Answers the watches whose answer has changed. */
  private void answerWatches() {
    boolean down = faults.path("down").asBoolean();
    Map.copyOf(watches)
        .forEach(
            (exchange, watch) -> {
              ArrayNode page = entries.page(watch.after());
              if (down) {
                endWatch(exchange, () -> respondDown(exchange));
              } else if (!page.isEmpty()) {
                endWatch(exchange, () -> respondEntries(exchange, page));
              }
            });
  }

  private void endWatch(Exchange exchange, Runnable answer) {
    Watch watch = watches.remove(exchange);
    if (watch != null) {
      watch.timeout().cancel(false);
      answer.run();
    }
  }

  private void setNumber(String name, OptionalLong value) {
    value.ifPresentOrElse(number -> faults.put(name, number), () -> faults.remove(name));
  }

  private long membersLagNanos() {
    return TimeUnit.MILLISECONDS.toNanos(faults.path("members_lag_ms").asLong());
  }

  private ObjectNode counters() {
    return counters
        .deepCopy()
        .put("pending_watches", watches.size())
        .put("entries", entries.size());
  }

  private void countRead(String counter) {
    if (!readRateLimit.tryRead(System.nanoTime(), watches.size())) {
      count("refused_reads");
      throw RequestException.of(429, "too_many_reads", "the limit on reads per second is reached");
    }
    count(counter);
  }

  private void count(String counter) {
    counters.put(counter, counters.path(counter).asLong() + 1);
  }

  private static void respondDown(Exchange exchange) {
    exchange.respond(503, Json.error("down", "the platform is down"));
  }

  private static void respondEntries(Exchange exchange, ArrayNode page) {
    ObjectNode document = Json.object();
    document.set("entries", page);
    exchange.respond(200, document);
  }
}
