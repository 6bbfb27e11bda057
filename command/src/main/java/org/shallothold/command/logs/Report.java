package org.shallothold.command.logs;

import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;

/** Counts refusals and failures in collected log lines. */
public final class Report implements Subcommand {

  /** Creates the subcommand. */
  public Report() {}

  @Override
  public String name() {
    return "report";
  }

  @Override
  public String usage() {
    return "report --logs FILE...";
  }

  @Override
  public String example() {
    return "report --logs gateway-1.log gateway-2.log";
  }

  @Override
  public String purpose() {
    return "Counts refused and failed requests in log lines by cause, route and time.";
  }

  @Override
  public Options ownOptions() {
    return new Options().addOption(CommandOptions.logs());
  }

  @Override
  public Result run(CommandLine line) {
    CommandOptions.arguments(line, 0, "no arguments");
    CommandOptions.required(line, "logs");
    LogFiles logs = LogFiles.read(List.of(line.getOptionValues("logs")));
    FailureReport report = FailureReport.of(logs);
    return new Result(Result.SUCCESS, report.text(), report.json(), logs.notes());
  }
}
