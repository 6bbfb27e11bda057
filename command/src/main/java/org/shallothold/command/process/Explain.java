package org.shallothold.command.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import java.util.ArrayList;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.command.UnreachableException;
import org.shallothold.command.logs.LogFiles;
import org.shallothold.command.logs.RequestStory;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.ExplainRequest;

/** Shows what processes decided about one request. */
public final class Explain implements Subcommand {

  /** Creates the subcommand. */
  public Explain() {}

  @Override
  public String name() {
    return "explain";
  }

  @Override
  public String usage() {
    return "explain REQUEST_ID --process HOST:PORT... | --logs FILE...";
  }

  @Override
  public String example() {
    return "explain 9c41d07be2a35f68 --logs gateway-1.log gateway-2.log";
  }

  @Override
  public String purpose() {
    return "Shows what was decided about a request, as processes remember it or from their logs.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.process().addOption(CommandOptions.logs());
  }

  @Override
  public Result run(CommandLine line) {
    String requestId = CommandOptions.arguments(line, 1, "REQUEST_ID").getFirst();
    if (line.hasOption("logs")) {
      return fromLogs(requestId, List.of(line.getOptionValues("logs")));
    }
    ArrayNode found = JsonNodeFactory.instance.arrayNode();
    List<String> notes = new ArrayList<>();
    for (String process : Answers.processes(line)) {
      try (OperatorConnection connection = OperatorConnection.open(process, line)) {
        JsonNode report = report(connection, requestId);
        if (report.isObject() && !report.isEmpty()) {
          found
              .addObject()
              .put("process", connection.hello().getProcessId())
              .set("request", report);
        }
      } catch (UnreachableException e) {
        notes.add("shallothold: " + e.getMessage());
      }
    }
    if (found.isEmpty()) {
      return new Result(
          notes.isEmpty() ? Result.NEGATIVE : Result.UNREACHABLE,
          "no process remembers request " + requestId + "\n",
          found,
          notes);
    }
    StringBuilder text = new StringBuilder();
    found.forEach(
        one -> {
          text.append(one.path("process").asText()).append('\n');
          write(one.path("request"), "  ", text);
        });
    return new Result(Result.SUCCESS, text.toString(), found, notes);
  }

  private static Result fromLogs(String requestId, List<String> files) {
    LogFiles logs = LogFiles.read(files);
    ArrayNode lines = JsonNodeFactory.instance.arrayNode();
    logs.of(requestId).forEach(entry -> lines.add(entry.fields()));
    if (lines.isEmpty()) {
      String text = "no line names request " + requestId + "\n";
      return new Result(Result.NEGATIVE, text, lines, logs.notes());
    }
    String text = String.join("\n", RequestStory.of(logs, requestId)) + "\n";
    return new Result(Result.SUCCESS, text, lines, logs.notes());
  }

  private static JsonNode report(OperatorConnection connection, String requestId) {
    Envelope question =
        Envelope.newBuilder()
            .setExplainRequest(ExplainRequest.newBuilder().setCallNumber(1).setRequestId(requestId))
            .build();
    return Answers.json(
        connection.ask(question, Envelope.MessageCase.EXPLAIN_REPORT).getExplainReport().getJson());
  }

  private static void write(JsonNode node, String indent, StringBuilder text) {
    node.properties()
        .forEach(
            entry -> {
              JsonNode value = entry.getValue();
              text.append(indent).append(entry.getKey()).append(": ");
              if (value.isArray() && !value.isEmpty() && value.get(0).isObject()) {
                text.append('\n');
                value.forEach(item -> text.append(indent).append("  ").append(item).append('\n'));
              } else {
                text.append(value.isTextual() ? value.textValue() : value.toString()).append('\n');
              }
            });
  }
}
