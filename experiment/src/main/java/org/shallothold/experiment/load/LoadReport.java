package org.shallothold.experiment.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.HdrHistogram.Histogram;
import org.shallothold.core.config.ServiceClass;
import org.shallothold.experiment.caller.CompletionResult;
import org.shallothold.experiment.caller.Outcome;
import org.shallothold.experiment.fleet.JsonHttp;
import org.shallothold.experiment.load.LoadRun.Sent;

/** The figures of one run. Immutable. */
public final class LoadReport {

  private static final double NANOS_PER_MILLI = 1e6;

  /** Requests of one class that were sent in the measured time. */
  private record ClassFigures(
      String name,
      int offered,
      int complete,
      int attained,
      int notRun,
      int mayHaveRun,
      int other,
      double firstTokenP50,
      double firstTokenP99) {

    double attainment() {
      return offered == 0 ? 1 : (double) attained / offered;
    }
  }

  private final ObjectNode json;
  private final List<ClassFigures> classes;

  private LoadReport(ObjectNode json, List<ClassFigures> classes) {
    this.json = json;
    this.classes = classes;
  }

  /** Works out the figures. */
  static LoadReport of(
      LoadOptions options,
      Workload workload,
      List<Sent> sent,
      int unanswered,
      long generated,
      Map<String, Double> wastedByCause,
      long preemptions,
      int orders,
      Map<String, Integer> ledger) {
    long start = workload.warmUp().toNanos();
    long end = start + workload.measured().toNanos();
    List<Sent> measured =
        sent.stream().filter(item -> item.atNanos() >= start && item.atNanos() < end).toList();
    List<ClassFigures> classes = new ArrayList<>();
    for (ServiceClass item : options.setUp().plan(options.routing(), options.queue()).classes()) {
      classes.add(figures(options, item, measured));
    }
    List<CompletionResult> endedInside =
        sent.stream()
            .filter(item -> item.result().complete())
            .filter(item -> item.atNanos() + item.result().endNanos() >= start)
            .filter(item -> item.atNanos() + item.result().endNanos() < end)
            .map(Sent::result)
            .toList();
    long delivered =
        sent.stream()
            .filter(item -> item.result().complete())
            .mapToLong(item -> item.result().request().length())
            .sum();
    ObjectNode json = JsonHttp.object();
    json.put("setup", options.setUp().name().toLowerCase(Locale.ROOT));
    json.put("seed", options.seed());
    json.put("load", options.load());
    json.put("burst", options.burst());
    json.put("routing", options.routing());
    json.put("queue", options.queue());
    json.put("max_preemptions", options.maxPreemptions());
    json.put("fault", options.fault().name().toLowerCase(Locale.ROOT));
    json.put("measured_seconds", options.seconds());
    json.put("load_average", LoadRun.loadAverage());
    json.put("capacity_tokens_per_second", round(options.setUp().capacityTokensPerSecond()));
    json.put(
        "goodput_tokens_per_second",
        round(
            endedInside.stream().mapToLong(item -> item.request().length()).sum()
                / (double) options.seconds()));
    json.put("goodput_answers_per_second", round(endedInside.size() / (double) options.seconds()));
    json.put("generated_tokens", generated);
    json.put("delivered_tokens", delivered);
    json.put("wasted_percent", percent(generated == 0 ? 0 : 1 - (double) delivered / generated));
    json.set("wasted_by_cause", JsonHttp.MAPPER.valueToTree(wastedByCause));
    json.put("preemptions", preemptions);
    ObjectNode byClass = json.putObject("classes");
    classes.forEach(figures -> byClass.set(figures.name(), toJson(figures)));
    json.set("refusals", JsonHttp.MAPPER.valueToTree(refusals(measured)));
    json.put(
        "wrong_answers",
        sent.stream().filter(item -> item.result().outcome() == Outcome.WRONG).count());
    json.put("unanswered", unanswered);
    json.put("orders", orders);
    json.put("orders_acted_on", ledger.size());
    json.put("orders_acted_on_twice", ledger.values().stream().filter(count -> count > 1).count());
    return new LoadReport(json, classes);
  }

  /** Prints a table and, as the last line, one JSON object. */
  public void print(PrintStream out) {
    out.printf(
        "%-9s %8s %9s %9s %8s %13s %6s %12s %12s%n",
        "class",
        "offered",
        "complete",
        "attained",
        "not_run",
        "may_have_run",
        "other",
        "first p50 ms",
        "first p99 ms");
    classes.forEach(
        item ->
            out.printf(
                "%-9s %8d %9d %8.2f%% %8d %13d %6d %12.1f %12.1f%n",
                item.name(),
                item.offered(),
                item.complete(),
                item.attainment() * 100,
                item.notRun(),
                item.mayHaveRun(),
                item.other(),
                item.firstTokenP50(),
                item.firstTokenP99()));
    out.printf(
        "goodput %s tokens/s, %s answers/s; wasted %s%% of %s tokens %s; refusals %s%n",
        json.path("goodput_tokens_per_second"),
        json.path("goodput_answers_per_second"),
        json.path("wasted_percent"),
        json.path("generated_tokens"),
        json.path("wasted_by_cause"),
        json.path("refusals"));
    out.println(json);
  }

  private static ClassFigures figures(LoadOptions options, ServiceClass item, List<Sent> measured) {
    List<CompletionResult> results =
        measured.stream()
            .map(Sent::result)
            .filter(result -> result.request().serviceClass().equals(item.name()))
            .toList();
    double roundTripMillis = options.setUp().callerDelay().toNanos() * 2 / NANOS_PER_MILLI;
    Histogram firstToken = new Histogram(3);
    results.stream()
        .filter(CompletionResult::complete)
        .forEach(result -> firstToken.recordValue(result.firstTokenNanos() / 1_000));
    return new ClassFigures(
        item.name(),
        results.size(),
        count(results, Outcome.COMPLETE),
        (int) results.stream().filter(result -> attained(item, result, roundTripMillis)).count(),
        count(results, Outcome.NOT_RUN),
        count(results, Outcome.MAY_HAVE_RUN),
        results.size()
            - count(results, Outcome.COMPLETE)
            - count(results, Outcome.NOT_RUN)
            - count(results, Outcome.MAY_HAVE_RUN),
        firstToken.getValueAtPercentile(50) / 1_000.0 + roundTripMillis,
        firstToken.getValueAtPercentile(99) / 1_000.0 + roundTripMillis);
  }

  private static boolean attained(
      ServiceClass item, CompletionResult result, double roundTripMillis) {
    return result.complete()
        && result.firstTokenNanos() / NANOS_PER_MILLI + roundTripMillis
            <= item.firstTokenTargetMillis()
        && result.meanIntervalNanos() / NANOS_PER_MILLI <= item.tokenIntervalTargetMillis()
        && result.endNanos() / NANOS_PER_MILLI + roundTripMillis <= item.answerTargetMillis();
  }

  private static Map<String, Long> refusals(List<Sent> measured) {
    return measured.stream()
        .map(Sent::result)
        .filter(result -> !result.complete())
        .collect(
            Collectors.groupingBy(
                result ->
                    result.outcome().name().toLowerCase(Locale.ROOT)
                        + (result.code().isEmpty() ? "" : " " + result.code()),
                TreeMap::new,
                Collectors.counting()));
  }

  private static ObjectNode toJson(ClassFigures figures) {
    ObjectNode node = JsonHttp.object();
    node.put("offered", figures.offered());
    node.put("complete", figures.complete());
    node.put("attained_percent", percent(figures.attainment()));
    node.put("not_run", figures.notRun());
    node.put("may_have_run", figures.mayHaveRun());
    node.put("other", figures.other());
    node.put("first_token_p50_ms", round(figures.firstTokenP50()));
    node.put("first_token_p99_ms", round(figures.firstTokenP99()));
    return node;
  }

  private static int count(List<CompletionResult> results, Outcome outcome) {
    return (int) results.stream().filter(result -> result.outcome() == outcome).count();
  }

  private static double round(double value) {
    return Math.round(value * 10) / 10.0;
  }

  private static double percent(double share) {
    return Math.round(share * 10_000) / 100.0;
  }
}
