package org.shallothold.standin.options;

import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/** Values of a subcommand's options. Immutable. */
public final class Arguments {

  private final CommandLine commandLine;
  private final Map<String, OptionSpec> specs;

  private Arguments(CommandLine commandLine, Map<String, OptionSpec> specs) {
    this.commandLine = commandLine;
    this.specs = specs;
  }

  /**
   * Reads a command line.
   *
   * @throws UsageException if an option is unknown or lacks its value, or an argument is left over
   */
  public static Arguments parse(List<OptionSpec> specs, String... arguments) {
    try {
      CommandLine commandLine = new DefaultParser(false).parse(toOptions(specs), arguments);
      if (!commandLine.getArgList().isEmpty()) {
        throw UsageException.of("unexpected argument: " + commandLine.getArgList().getFirst());
      }
      Map<String, OptionSpec> byName = new HashMap<>();
      specs.forEach(spec -> byName.put(spec.name(), spec));
      return new Arguments(commandLine, byName);
    } catch (ParseException e) {
      throw UsageException.of(String.valueOf(e.getMessage()));
    }
  }

  /** Returns the options in the form that Commons CLI needs. */
  public static Options toOptions(List<OptionSpec> specs) {
    Options options = new Options();
    for (OptionSpec spec : specs) {
      String description =
          spec.defaultValue() == null || spec.defaultValue().isEmpty()
              ? spec.description()
              : spec.description() + " (default: " + spec.defaultValue() + ")";
      options.addOption(
          Option.builder()
              .longOpt(spec.name())
              .hasArg(spec.defaultValue() != null)
              .desc(description)
              .get());
    }
    return options;
  }

  /** Returns whether an option without a value was given. */
  public boolean flag(String name) {
    return commandLine.hasOption(name);
  }

  /** Returns an option's text; empty if it was not given and its default is empty. */
  public String text(String name) {
    OptionSpec spec = specs.get(name);
    if (spec == null || spec.defaultValue() == null) {
      throw new IllegalArgumentException("no option with a value: " + name);
    }
    return commandLine.getOptionValue(name, spec.defaultValue());
  }

  /** Returns the non-empty parts of a text that are separated by commas. */
  public List<String> list(String name) {
    return Arrays.stream(text(name).split(",", -1))
        .map(String::strip)
        .filter(part -> !part.isEmpty())
        .toList();
  }

  /**
   * Returns an option's whole number.
   *
   * @throws UsageException if it is none or out of range
   */
  public int integer(String name, int minimum, int maximum) {
    String text = text(name);
    try {
      int value = Integer.parseInt(text);
      if (value >= minimum && value <= maximum) {
        return value;
      }
    } catch (NumberFormatException e) {
      // Falls through to the same message as a number out of range.
    }
    throw UsageException.of(
        "--%s must be a whole number from %d to %d: %s".formatted(name, minimum, maximum, text));
  }
}
