package org.shallothold.command.config;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.stream.Collectors;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.command.UsageException;
import org.shallothold.command.process.Answers;
import org.shallothold.command.process.OperatorConnection;
import org.shallothold.core.config.ConfigurationEntry.Content.PatchContent;
import org.shallothold.core.config.Patch;
import org.shallothold.core.config.PatchOutcome;
import org.shallothold.runtime.platform.ConfigurationDiff;
import org.shallothold.wire.proto.AuditRequest;
import org.shallothold.wire.proto.Envelope;

/**
 * Shows who changed what, on which base, with which result: from the platform by folding all
 * entries, from a process out of its audit trail, which also has what the process saw go wrong.
 */
public final class ConfigLog implements Subcommand {

  private static final int DEFAULT_LAST = 50;

  /** Creates the subcommand. */
  public ConfigLog() {}

  @Override
  public String name() {
    return "config log";
  }

  @Override
  public String usage() {
    return "config log --platform URL | --process HOST:PORT [--last N]";
  }

  @Override
  public String example() {
    return "config log --process 10.0.0.1:7001 --last 5";
  }

  @Override
  public String purpose() {
    return "Shows who changed what, on which base, with which result, oldest first.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.source()
        .addOption(CommandOptions.valued("last", "N", "shows the last N entries, 50 by default"));
  }

  @Override
  public Result run(CommandLine line) {
    CommandOptions.arguments(line, 0, "");
    int last = last(line);
    Deque<ObjectNode> events = new ArrayDeque<>();
    if (line.hasOption("platform")) {
      Timeline.read(line, 0, step -> add(events, event(step), last));
    } else {
      auditEvents(line).forEach(event -> add(events, event, last));
    }
    ArrayNode json = JsonNodeFactory.instance.arrayNode();
    json.addAll(events);
    StringBuilder text = new StringBuilder();
    events.forEach(event -> write(event, text));
    return Result.of(Result.SUCCESS, text.isEmpty() ? "no entries\n" : text.toString(), json);
  }

  private static int last(CommandLine line) {
    String text = line.getOptionValue("last", Integer.toString(DEFAULT_LAST));
    if (!text.matches("[1-9][0-9]{0,8}")) {
      throw new UsageException("--last is " + text + "; a whole number above 0 is needed");
    }
    return Integer.parseInt(text);
  }

  private static void add(Deque<ObjectNode> events, ObjectNode event, int last) {
    events.addLast(event);
    if (events.size() > last) {
      events.removeFirst();
    }
  }

  private static ObjectNode event(Timeline.Step step) {
    ObjectNode event = JsonNodeFactory.instance.objectNode();
    event.put("position", step.entry().position());
    if (step.entry().content() instanceof PatchContent(Patch patch)) {
      event.put("author", patch.author()).put("written", patch.time());
      event.put("base", patch.base()).put("reason", patch.reason());
    }
    switch (step.outcome()) {
      case PatchOutcome.Accepted(var after, var patch) -> {
        event.put("result", "accepted").put("version", after.version().number());
        event.put(
            "changes",
            ConfigurationDiff.of(patch, step.before(), after).stream()
                .map(ConfigurationDiff.Change::toString)
                .collect(Collectors.joining("; ")));
      }
      case PatchOutcome.Started started ->
          event.put("result", "snapshot").put("version", step.after().version().number());
      case PatchOutcome.Known known -> event.put("result", "snapshot");
      case PatchOutcome.Conflict conflict ->
          event
              .put("result", "refused")
              .put(
                  "problem",
                  "the base is not the current version, " + step.before().version().number());
      case PatchOutcome.Invalid(List<String> problems) ->
          event.put("result", "refused").put("problem", String.join("; ", problems));
      case PatchOutcome.Contradiction contradiction ->
          event.put("result", "refused").put("problem", "contradicts the entries before it");
      case PatchOutcome.Gap gap ->
          event.put("result", "refused").put("problem", "entries before it are missing");
    }
    return event;
  }

  private static List<ObjectNode> auditEvents(CommandLine line) {
    String process = CommandOptions.required(line, "process");
    try (OperatorConnection connection = OperatorConnection.open(process, line)) {
      Envelope question =
          Envelope.newBuilder().setAuditRequest(AuditRequest.newBuilder().setCallNumber(1)).build();
      JsonNode events =
          Answers.json(
              connection
                  .ask(question, Envelope.MessageCase.AUDIT_REPORT)
                  .getAuditReport()
                  .getJson());
      return events
          .valueStream()
          .filter(ConfigLog::concernsConfiguration)
          .map(ConfigLog::fromAudit)
          .toList();
    }
  }

  private static boolean concernsConfiguration(JsonNode event) {
    String action = event.path("audit").asText();
    return action.startsWith("configuration_") || action.startsWith("platform_");
  }

  private static ObjectNode fromAudit(JsonNode event) {
    ObjectNode copy = event.deepCopy();
    copy.remove("audit");
    String action = event.path("audit").asText();
    copy.put(
        "result",
        switch (action) {
          case "configuration_accepted" -> "accepted";
          case "configuration_patch_refused" -> "refused";
          case "configuration_started_from_snapshot" -> "snapshot";
          default -> action;
        });
    return copy;
  }

  private static void write(ObjectNode event, StringBuilder text) {
    text.append(event.path("position").asText("-")).append("  ");
    text.append(event.path("result").asText());
    field(event, "version", " version ", text);
    field(event, "base", " on base ", text);
    field(event, "author", " by ", text);
    field(event, "written", " at ", text);
    text.append('\n');
    field(event, "reason", "    reason: ", "\n", text);
    field(event, "problem", "    problem: ", "\n", text);
    field(event, "place", "    place: ", "\n", text);
    field(event, "source", "    source: ", "\n", text);
    for (String change : event.path("changes").asText().split("; ", -1)) {
      text.append(change.isEmpty() ? "" : "    " + change + "\n");
    }
  }

  private static void field(ObjectNode event, String name, String before, StringBuilder text) {
    field(event, name, before, "", text);
  }

  private static void field(
      ObjectNode event, String name, String before, String after, StringBuilder text) {
    String value = event.path(name).asText();
    if (!value.isEmpty()) {
      text.append(before).append(value).append(after);
    }
  }
}
