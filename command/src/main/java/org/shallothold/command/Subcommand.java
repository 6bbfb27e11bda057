package org.shallothold.command;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** One subcommand. Stateless; found by the words at the start of the command line. */
public interface Subcommand {

  /** Returns the words that select it, as {@code config check}. */
  String name();

  /** Returns the usage line, from the name on. */
  String usage();

  /** Returns one line that can be typed, from the name on. */
  String example();

  /** Returns what it does, in one sentence. */
  String purpose();

  /** Returns its own options. */
  Options ownOptions();

  /**
   * Runs it.
   *
   * @throws UsageException if the command line is wrong
   * @throws UnreachableException if a process that is needed could not be reached
   */
  Result run(CommandLine line);

  /** Returns its own options and those of all subcommands. */
  default Options options() {
    Options options = ownOptions();
    options.addOption(
        Option.builder().longOpt("output").hasArg().argName("FORMAT").desc("text or json").get());
    options.addOption(Option.builder().longOpt("help").desc("prints this text").get());
    options.addOption(Option.builder().longOpt("version").desc("prints the version").get());
    return options;
  }

  /** Returns the help text. */
  default String help() {
    StringBuilder text = new StringBuilder();
    text.append("usage: shallothold ").append(usage()).append('\n');
    text.append(purpose()).append("\n\n");
    options().getOptions().stream()
        .sorted(java.util.Comparator.comparing(Option::getLongOpt))
        .forEach(
            option -> {
              String argument = option.hasArg() ? " " + option.getArgName() : "";
              text.append(
                  "  %-24s %s%n"
                      .formatted("--" + option.getLongOpt() + argument, option.getDescription()));
            });
    return text.append("\nexample: shallothold ").append(example()).append('\n').toString();
  }
}
