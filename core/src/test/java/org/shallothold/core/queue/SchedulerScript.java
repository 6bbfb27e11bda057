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
 * Runs a scheduler from a text, so that fault cases stand in tables. Steps are separated by
 * semicolons, each {@code TIME VERB ARGUMENTS}: {@code slots RUNNING/WAITING}, {@code add NAME
 * tTIER [k=CLASS] [c=CUSTOMER] [d=DEADLINE] [order]}, {@code end NAME}, {@code cancel NAME}, {@code
 * tokens NAME COUNT}, {@code tick}, {@code leave}.
 */
final class SchedulerScript {

  private final BackendScheduler scheduler;
  private final Map<String, Long> ids = new HashMap<>();
  private final Map<Long, String> names = new HashMap<>();

  private SchedulerScript(SchedulerOptions options) {
    this.scheduler = BackendScheduler.create(options);
  }

  /** Returns the actions as text, as {@code start a, refuse b queue_full}. */
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
    long now = Long.parseLong(words.get(0));
    return switch (words.get(1)) {
      case "slots" -> {
        List<Integer> sizes =
            Arrays.stream(words.get(2).split("/", -1)).map(Integer::valueOf).toList();
        yield scheduler.limits(sizes.get(0), sizes.get(1), now);
      }
      case "add" -> scheduler.submit(work(words), now);
      case "end" -> scheduler.finish(id(words), now);
      case "cancel" -> scheduler.cancel(id(words), now);
      case "tokens" -> {
        scheduler.progress(id(words), Integer.parseInt(words.get(3)));
        yield List.of();
      }
      case "tick" -> scheduler.tick(now);
      case "leave" -> scheduler.refuseWaiting(ReasonCode.SERVER_LEAVING, now);
      default -> throw new IllegalArgumentException("unknown step: " + words);
    };
  }

  private Work work(List<String> words) {
    String name = words.get(2);
    long id = ids.size() + 1L;
    ids.put(name, id);
    names.put(id, name);
    Map<String, String> extras =
        words.subList(4, words.size()).stream()
            .map(word -> word.split("=", -1))
            .collect(Collectors.toMap(pair -> pair[0], pair -> pair.length > 1 ? pair[1] : ""));
    return new Work(
        id,
        extras.getOrDefault("k", words.get(3)),
        Integer.parseInt(words.get(3).substring(1)),
        extras.getOrDefault("c", "customer"),
        Long.parseLong(extras.getOrDefault("d", "1000000")),
        !extras.containsKey("order"));
  }

  private long id(List<String> words) {
    return ids.getOrDefault(words.get(2), 0L);
  }

  private String text(SchedulerAction action) {
    String name = names.get(action.work().id());
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
