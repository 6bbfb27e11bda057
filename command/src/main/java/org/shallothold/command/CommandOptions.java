package org.shallothold.command;

import java.nio.file.Path;
import java.util.List;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;

/** Options and arguments that several subcommands share; stateless. */
public final class CommandOptions {

  private CommandOptions() {}

  /** Returns an option with a value. */
  public static Option valued(String name, String argument, String description) {
    return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
  }

  /** Returns an option without a value. */
  public static Option flag(String name, String description) {
    return Option.builder().longOpt(name).desc(description).get();
  }

  /** Returns the option that names collected log files. */
  public static Option logs() {
    return Option.builder()
        .longOpt("logs")
        .hasArgs()
        .argName("FILE...")
        .desc("reads collected log lines")
        .get();
  }

  /** Returns the options that say where a configuration is read from. */
  public static Options source() {
    return process().addOption(valued("platform", "URL", "reads from the platform"));
  }

  /** Returns the options that name processes. */
  public static Options process() {
    return new Options()
        .addOption(valued("process", "HOST:PORT", "asks a running process"))
        .addOption(valued("tls", "FILE.toml", "settings with the section [tls] for --process"));
  }

  /**
   * Returns the arguments that are no options.
   *
   * @throws UsageException if there is another number of them
   */
  public static List<String> arguments(CommandLine line, int count, String names) {
    List<String> arguments = line.getArgList();
    if (arguments.size() != count) {
      throw new UsageException(
          count == 0
              ? "unexpected argument " + arguments.getFirst()
              : "needs " + names + ", found " + arguments.size() + " arguments");
    }
    return arguments;
  }

  /**
   * Returns the value of an option.
   *
   * @throws UsageException if it is missing or empty
   */
  public static String required(CommandLine line, String name) {
    String value = line.getOptionValue(name);
    if (value == null || value.isBlank()) {
      throw new UsageException("--" + name + " is needed");
    }
    return value;
  }

  /**
   * Returns the bytes of a file.
   *
   * @throws UsageException if it can't be read
   */
  public static byte[] readFile(String file) {
    try {
      return java.nio.file.Files.readAllBytes(Path.of(file));
    } catch (java.io.IOException | java.nio.file.InvalidPathException e) {
      throw new UsageException("the file " + file + " can't be read");
    }
  }
}
