package org.shallothold.command.config;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Options;
import org.shallothold.command.CommandOptions;
import org.shallothold.command.Result;
import org.shallothold.command.Subcommand;
import org.shallothold.core.config.Configuration;
import org.shallothold.runtime.platform.ConfigurationJson;

/** Shows the current configuration. */
public final class ConfigShow implements Subcommand {

  /** Creates the subcommand. */
  public ConfigShow() {}

  @Override
  public String name() {
    return "config show";
  }

  @Override
  public String usage() {
    return "config show --platform URL | --process HOST:PORT";
  }

  @Override
  public String example() {
    return "config show --platform http://10.0.0.9:8080";
  }

  @Override
  public String purpose() {
    return "Shows the current configuration, one line for each key.";
  }

  @Override
  public Options ownOptions() {
    return CommandOptions.source();
  }

  @Override
  public Result run(CommandLine line) {
    CommandOptions.arguments(line, 0, "");
    Timeline timeline = Timeline.read(line, Long.MAX_VALUE, step -> {});
    Configuration current = timeline.current();
    StringBuilder text = new StringBuilder();
    text.append("version = ").append(current.version().number()).append('\n');
    text.append("digest = ").append(current.version().digest()).append('\n');
    text.append("position = ").append(timeline.lastPosition()).append('\n');
    ConfigurationJson.write(current)
        .properties()
        .forEach(
            kind ->
                kind.getValue()
                    .properties()
                    .forEach(
                        item ->
                            item.getValue()
                                .properties()
                                .forEach(
                                    key ->
                                        text.append(kind.getKey())
                                            .append('.')
                                            .append(item.getKey())
                                            .append('.')
                                            .append(key.getKey())
                                            .append(" = ")
                                            .append(key.getValue())
                                            .append('\n'))));
    return Result.of(
        Result.SUCCESS, text.toString(), Documents.snapshot(current, timeline.lastPosition()));
  }
}
