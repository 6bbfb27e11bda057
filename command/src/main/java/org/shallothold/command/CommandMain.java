package org.shallothold.command;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.PrintStream;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.ParseException;
import org.shallothold.command.config.ConfigCheck;
import org.shallothold.command.config.ConfigDiff;
import org.shallothold.command.config.ConfigLog;
import org.shallothold.command.config.ConfigPatch;
import org.shallothold.command.config.ConfigShow;
import org.shallothold.command.config.ConfigSnapshot;
import org.shallothold.command.logs.Report;
import org.shallothold.command.process.Explain;
import org.shallothold.command.process.Status;
import org.shallothold.runtime.ProductVersion;
import org.shallothold.runtime.logging.Logging;
import org.shallothold.runtime.platform.PlatformException;

/** The operators' command. It reads and prints; it writes nothing anywhere. */
public final class CommandMain {

  private static final ObjectMapper MAPPER = new ObjectMapper();
  private static final List<Subcommand> SUBCOMMANDS =
      List.of(
          new ConfigCheck(),
          new ConfigShow(),
          new ConfigLog(),
          new ConfigDiff(),
          new ConfigPatch(),
          new ConfigSnapshot(),
          new Status(),
          new Explain(),
          new Report());

  private CommandMain() {}

  /** Runs the command and ends the process with its exit code. */
  public static void main(String[] arguments) {
    Logging.configure();
    System.exit(run(arguments, System.out, System.err));
  }

  /** Runs the command and returns its exit code. */
  public static int run(String[] arguments, PrintStream output, PrintStream error) {
    try {
      return dispatch(arguments, output, error);
    } catch (UsageException | ParseException e) {
      error.println("shallothold: " + e.getMessage() + "; see shallothold --help");
      return Result.USAGE;
    } catch (UnreachableException | PlatformException e) {
      error.println("shallothold: " + e.getMessage());
      return Result.UNREACHABLE;
    }
  }

  private static int dispatch(String[] arguments, PrintStream output, PrintStream error)
      throws ParseException {
    if (arguments.length == 1 && arguments[0].equals("--version")) {
      output.println("shallothold " + ProductVersion.text());
      return Result.SUCCESS;
    }
    if (arguments.length == 1 && arguments[0].equals("--help")) {
      output.print(help(SUBCOMMANDS));
      return Result.SUCCESS;
    }
    List<Subcommand> group = groupAskedFor(arguments);
    if (!group.isEmpty()) {
      output.print(help(group));
      return Result.SUCCESS;
    }
    Subcommand subcommand =
        find(arguments)
            .orElseThrow(
                () ->
                    new UsageException(
                        arguments.length == 0
                            ? "a subcommand is needed"
                            : "unknown subcommand " + String.join(" ", arguments)));
    int words = subcommand.name().split(" ").length;
    CommandLine line =
        new DefaultParser(false)
            .parse(
                subcommand.options(),
                Arrays.copyOfRange(arguments, words, arguments.length),
                false);
    if (line.hasOption("help")) {
      output.print(subcommand.help());
      return Result.SUCCESS;
    }
    if (line.hasOption("version")) {
      output.println("shallothold " + ProductVersion.text());
      return Result.SUCCESS;
    }
    boolean json = isJson(line.getOptionValue("output", "text"));
    Result result = subcommand.run(line);
    result.notes().forEach(error::println);
    output.print(json ? pretty(result) : result.text());
    return result.exitCode();
  }

  /** Returns the subcommands that begin with a word, if the line is that word and --help. */
  private static List<Subcommand> groupAskedFor(String[] arguments) {
    if (arguments.length != 2 || !arguments[1].equals("--help")) {
      return List.of();
    }
    return SUBCOMMANDS.stream().filter(one -> one.name().startsWith(arguments[0] + " ")).toList();
  }

  private static Optional<Subcommand> find(String[] arguments) {
    String line = String.join(" ", arguments) + " ";
    return SUBCOMMANDS.stream().filter(one -> line.startsWith(one.name() + " ")).findFirst();
  }

  private static boolean isJson(String format) {
    return switch (format) {
      case "text" -> false;
      case "json" -> true;
      default -> throw new UsageException("--output is " + format + "; allowed are text, json");
    };
  }

  private static String pretty(Result result) {
    try {
      return MAPPER.writerWithDefaultPrettyPrinter().writeValueAsString(result.json()) + "\n";
    } catch (JsonProcessingException e) {
      throw new IllegalStateException("a JSON tree can always be written", e);
    }
  }

  private static String help(List<Subcommand> subcommands) {
    StringBuilder text = new StringBuilder("usage: shallothold SUBCOMMAND [OPTION...]\n\n");
    for (Subcommand subcommand : subcommands) {
      text.append("  ").append(subcommand.usage()).append('\n');
      text.append("      ").append(subcommand.purpose()).append('\n');
    }
    return text.append(
            """

            All subcommands take --output text|json, --help and --version. Nothing is written
            anywhere; a patch document goes to standard output and is published with the
            platform's own tools.

            Exit codes: 0 success, 1 negative result, 2 wrong command line or settings, 3 a
            process or the platform could not be reached.
            """)
        .toString();
  }
}
