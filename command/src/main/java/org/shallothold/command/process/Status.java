package org.shallothold.command.process;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.command.TextTable;
import org.shallothold.command.UnreachableException;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.StatusRequest;

/** Shows the state of processes, one line each. */
public final class Status implements Subcommand {

  // Enough to tell two incarnations apart at a glance; all digits are in the JSON output.
  private static final int SHOWN_DIGITS = 8;

  /** Creates the subcommand. */
  public Status() {}

  @Override
  public String name() {
    return "status";
  }

  @Override
  public String usage() {
    return "status --process HOST:PORT [--process HOST:PORT...]";
  }

  @Override
  public String example() {
    return "status --process 10.0.0.1:7001 --process 10.0.0.2:7001";
  }

  @Override
  public String purpose() {
    return "Shows role, incarnation, configuration version and queue of running processes.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.process();
  }

  @Override
  public Result run(CommandLine line) {
    CommandOptions.arguments(line, 0, "");
    TextTable table =
        TextTable.of(
            "PROCESS", "ROLE", "INCARNATION", "VERSION", "DIGEST", "LEAVING", "RUNNING", "WAITING");
    ArrayNode statuses = JsonNodeFactory.instance.arrayNode();
    int exitCode = Result.SUCCESS;
    for (String process : Answers.processes(line)) {
      try (OperatorConnection connection = OperatorConnection.open(process, line)) {
        JsonNode status = status(connection);
        statuses.add(status);
        table.add(
            status.path("process").asText(),
            status.path("role").asText(),
            shortened(status.path("incarnation").asText()),
            status.path("config_version").asText(),
            shortened(status.path("config_digest").asText()),
            status.path("leaving").asBoolean() ? "yes" : "no",
            status.path("running").asText(),
            status.path("waiting").asText());
      } catch (UnreachableException e) {
        statuses.addObject().put("address", process).put("error", e.getMessage());
        table.add(process, "unreachable", "-", "-", "-", "-", "-", "-");
        exitCode = Result.UNREACHABLE;
      }
    }
    return Result.of(exitCode, table.text(), statuses);
  }

  private static JsonNode status(OperatorConnection connection) {
    Envelope question =
        Envelope.newBuilder().setStatusRequest(StatusRequest.newBuilder().setCallNumber(1)).build();
    return Answers.json(
        connection.ask(question, Envelope.MessageCase.STATUS_REPORT).getStatusReport().getJson());
  }

  private static String shortened(String digits) {
    return digits.substring(0, Math.min(SHOWN_DIGITS, digits.length()));
  }
}
