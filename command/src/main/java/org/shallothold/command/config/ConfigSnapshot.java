package org.shallothold.command.config;

import com.fasterxml.jackson.databind.JsonNode;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;

/** Prints the body of a snapshot entry. */
public final class ConfigSnapshot implements Subcommand {

  /** Creates the subcommand. */
  public ConfigSnapshot() {}

  @Override
  public String name() {
    return "config snapshot";
  }

  @Override
  public String usage() {
    return "config snapshot --platform URL | --process HOST:PORT";
  }

  @Override
  public String example() {
    return "config snapshot --platform http://10.0.0.9:8080";
  }

  @Override
  public String purpose() {
    return "Prints a snapshot of the current configuration, to be published as an entry.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.source();
  }

  @Override
  public Result run(CommandLine line) {
    CommandOptions.arguments(line, 0, "");
    Timeline timeline = Timeline.read(line, Long.MAX_VALUE, step -> {});
    JsonNode body = Documents.snapshot(timeline.current(), timeline.lastPosition());
    return Result.of(Result.SUCCESS, body + "\n", body);
  }
}
