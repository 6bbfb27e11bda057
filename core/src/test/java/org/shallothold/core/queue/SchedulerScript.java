package org.shallothold.core.queue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.shallothold.core.verdict.ReasonCode;

/**
 * Runs a scheduler from a script, so that tests can list scripts and results in tables. Steps are
 * separated by semicolons, each {@code TIME VERB ARGUMENTS}: {@code slots RUNNING/WAITING}, {@code
 * add NAME tTIER [k=CLASS] [c=CUSTOMER] [d=DEADLINE] [order]}, {@code end NAME}, {@code cancel
 * NAME}, {@code tokens NAME COUNT}, {@code tick}, {@code leave}. {@code leave} refuses all waiting
 * requests, as a leaving server does. Times are in milliseconds.
 */
final class SchedulerScript {

  private final BackendScheduler scheduler;
  private final Map<String, Long> ids = new HashMap<>();
  private final Map<Long, String> names = new HashMap<>();

  private SchedulerScript(SchedulerOptions options) {
    this.scheduler = BackendScheduler.create(options);
  }

  /** Returns the actions as text, for example {@code start a, refuse b queue_full}. */
  static String run(SchedulerOptions options, String script) {
    SchedulerScript run = new SchedulerScript(options);
    List<String> trace = new ArrayList<>();
    for (String step : script.split(";", -1)) {
      run.step(List.of(step.strip().split("\\s+", -1)))
          .forEach(action -> trace.add(run.text(action)));
    }
    return String.join(", ", trace);
  }

  private List<SchedulerAction> step(List<String> words) {
    long nowMillis = Long.parseLong(words.get(0));
    return switch (words.get(1)) {
      case "slots" -> {
        List<Integer> limits =
            Arrays.stream(words.get(2).split("/", -1)).map(Integer::valueOf).toList();
        yield scheduler.setLimits(limits.get(0), limits.get(1), nowMillis);
      }
      case "add" -> scheduler.submit(request(words), nowMillis);
      case "end" -> scheduler.finish(id(words), nowMillis);
      case "cancel" -> scheduler.cancel(id(words), nowMillis);
      case "tokens" -> {
        scheduler.updateProgress(id(words), Integer.parseInt(words.get(3)));
        yield List.of();
      }
      case "tick" -> scheduler.tick(nowMillis);
      case "leave" -> scheduler.refuseWaiting(ReasonCode.SERVER_LEAVING, nowMillis);
      default -> throw new IllegalArgumentException("unknown step: " + words);
    };
  }

  private ScheduledRequest request(List<String> words) {
    String name = words.get(2);
    long id = ids.size() + 1L;
    ids.put(name, id);
    names.put(id, name);
    Map<String, String> options =
        words.subList(4, words.size()).stream()
            .map(word -> word.split("=", -1))
            .collect(Collectors.toMap(pair -> pair[0], pair -> pair.length > 1 ? pair[1] : ""));
    return new ScheduledRequest(
        id,
        options.getOrDefault("k", words.get(3)),
        Integer.parseInt(words.get(3).substring(1)),
        options.getOrDefault("c", "customer"),
        Long.parseLong(options.getOrDefault("d", "1000000")),
        !options.containsKey("order"));
  }

  private long id(List<String> words) {
    return ids.getOrDefault(words.get(2), 0L);
  }

  private String text(SchedulerAction action) {
    String name = names.get(action.request().id());
    return switch (action) {
      case SchedulerAction.Start start -> "start " + name;
      case SchedulerAction.Preempt preempt -> "preempt " + name;
      case SchedulerAction.Refuse refuse ->
          "refuse "
              + name
              + " "
              + refuse.reason().name().toLowerCase(Locale.ROOT)
              + (refuse.ranBefore() ? " after running" : "");
    };
  }
}
