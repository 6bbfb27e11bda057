package org.shallothold.command.logs;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.time.Duration;
import java.time.Instant;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import java.util.stream.LongStream;
import org.shallothold.command.TextTable;

/**
 * The requests that did not end with a whole answer, by cause, route and time. Their lines are
 * never left out by sampling, so the counts are whole but for lines that did not fit a process's
 * ring.
 *
 * @param failures the requests, by the time of their end
 * @param linesDropped lines that processes say they dropped
 */
public record FailureReport(List<Failure> failures, long linesDropped) {

  private static final int BUCKETS = 20;
  private static final int BAR_WIDTH = 40;

  /**
   * One request.
   *
   * @param end when it ended
   * @param outcome what the caller got
   * @param cause code of the cause, or the outcome if the line names none
   * @param route route that it took; empty if none was found
   */
  public record Failure(Instant end, String outcome, String cause, String route) {}

  /** Returns the report on log lines. */
  public static FailureReport of(LogFiles logs) {
    Map<String, String> routes =
        logs.entries().stream()
            .filter(entry -> entry.event().equals("request_taken"))
            .collect(
                Collectors.toMap(
                    FailureReport::requestKey, entry -> entry.text("route"), (a, b) -> b));
    List<Failure> failures =
        logs.entries().stream()
            .filter(entry -> entry.event().equals("request_ended"))
            .filter(entry -> !entry.text("outcome").equals("completed"))
            .map(entry -> failure(entry, routes.getOrDefault(requestKey(entry), "")))
            .sorted(Comparator.comparing(Failure::end))
            .toList();
    long dropped =
        logs.entries().stream()
            .filter(entry -> entry.event().equals("log_lines_dropped"))
            .mapToLong(entry -> entry.fields().path("count").asLong())
            .sum();
    return new FailureReport(failures, dropped);
  }

  private static String requestKey(LogEntry entry) {
    return entry.process() + " " + entry.text("request");
  }

  private static Failure failure(LogEntry entry, String route) {
    String outcome = entry.text("outcome");
    String cause = entry.text("cause");
    return new Failure(entry.time(), outcome, cause.isEmpty() ? outcome : cause, route);
  }

  /** Returns the report for people, with a bar for each span of time. */
  public String text() {
    if (failures.isEmpty()) {
      return "no request failed\n";
    }
    StringBuilder text = new StringBuilder();
    TextTable table = TextTable.of("cause", "outcome", "route", "requests");
    counts()
        .forEach(
            (key, count) -> table.add(key.get(0), key.get(1), key.get(2), Long.toString(count)));
    text.append(table.text()).append('\n');
    long span = spanMillis();
    Map<Long, Long> bySpan = byTime();
    long most = bySpan.values().stream().mapToLong(Long::longValue).max().orElse(1);
    LongStream.rangeClosed(0, bySpan.keySet().stream().mapToLong(Long::longValue).max().orElse(0))
        .forEach(
            index -> {
              long count = bySpan.getOrDefault(index, 0L);
              int bar = (int) Math.ceilDiv(count * BAR_WIDTH, most);
              text.append(begin().plusMillis(index * span))
                  .append("  ")
                  .append("#".repeat(bar))
                  .append(bar == 0 ? "" : " ")
                  .append(count)
                  .append('\n');
            });
    if (linesDropped > 0) {
      text.append("log lines dropped by processes: ").append(linesDropped).append('\n');
    }
    return text.toString();
  }

  /** Returns the report for programs. */
  public ObjectNode json() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("failures", failures.size()).put("log_lines_dropped", linesDropped);
    ArrayNode causes = json.putArray("by_cause_outcome_and_route");
    counts()
        .forEach(
            (key, count) ->
                causes
                    .addObject()
                    .put("cause", key.get(0))
                    .put("outcome", key.get(1))
                    .put("route", key.get(2))
                    .put("requests", count));
    ArrayNode times = json.putArray("by_time");
    byTime()
        .forEach(
            (index, count) ->
                times
                    .addObject()
                    .put("from", begin().plusMillis(index * spanMillis()).toString())
                    .put("span_millis", spanMillis())
                    .put("requests", count));
    return json;
  }

  private Map<List<String>, Long> counts() {
    return failures.stream()
        .collect(
            Collectors.groupingBy(
                failure -> List.of(failure.cause(), failure.outcome(), failure.route()),
                () -> new TreeMap<>(Comparator.comparing(Object::toString)),
                Collectors.counting()));
  }

  private Map<Long, Long> byTime() {
    long span = spanMillis();
    return failures.stream()
        .collect(
            Collectors.groupingBy(
                failure -> Duration.between(begin(), failure.end()).toMillis() / span,
                TreeMap::new,
                Collectors.counting()));
  }

  private Instant begin() {
    return failures.getFirst().end();
  }

  /** Whole seconds, so that at most {@link #BUCKETS} spans cover all failures. */
  private long spanMillis() {
    long seconds = Duration.between(begin(), failures.getLast().end()).toSeconds() + 1;
    return Math.ceilDiv(seconds, BUCKETS) * 1_000L;
  }
}
