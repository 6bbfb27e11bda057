package org.shallothold.runtime.settings;

import java.io.PrintStream;
import java.nio.file.Path;
import java.util.function.Function;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.shallothold.runtime.ProductVersion;

/**
 * The command line of a process that reads a settings file: {@code --settings FILE}, {@code --help}
 * and {@code --version}. Used once by a process's main; a process that passes its settings to
 * {@link #readOrExit} has them checked before anything else starts.
 */
public final class SettingsCommandLine {

  /** Exit code of a process that did what was asked. */
  public static final int EXIT_SUCCESS = 0;

  /** Exit code of a process with a wrong command line or wrong settings. */
  public static final int EXIT_USAGE = 2;

  private static final Options OPTIONS =
      new Options()
          .addOption(Option.builder().longOpt("settings").hasArg().argName("FILE").get())
          .addOption(Option.builder().longOpt("help").get())
          .addOption(Option.builder().longOpt("version").get());

  private final String program;
  private final String purpose;

  private SettingsCommandLine(String program, String purpose) {
    this.program = program;
    this.purpose = purpose;
  }

  /** What the command line asks for. */
  public sealed interface Result<S> {

    /** The process goes on with these settings. */
    record Start<S>(S settings) implements Result<S> {}

    /** The process ends with this code; everything was printed. */
    record Exit<S>(int code) implements Result<S> {}
  }

  /**
   * Returns a command line.
   *
   * @param program name of the program, as {@code shallothold-gateway}
   * @param purpose one sentence for the help text
   */
  public static SettingsCommandLine of(String program, String purpose) {
    return new SettingsCommandLine(program, purpose);
  }

  /**
   * Returns the settings, or ends the process: with code 0 after help or version, with code 2 and
   * one message per problem on standard error if the command line or the settings are wrong.
   *
   * @param reader reads all keys; whether it calls {@link SettingsDocument#finish} makes no
   *     difference
   */
  public <S> S readOrExit(String[] arguments, Function<SettingsDocument, S> reader) {
    return switch (read(arguments, reader, System.out, System.err)) {
      case Result.Start<S>(S settings) -> settings;
      case Result.Exit<S>(int code) -> {
        System.exit(code);
        throw new IllegalStateException("the process has ended");
      }
    };
  }

  /** As {@link #readOrExit}, but prints to the given streams and doesn't end the process. */
  public <S> Result<S> read(
      String[] arguments,
      Function<SettingsDocument, S> reader,
      PrintStream output,
      PrintStream error) {
    try {
      CommandLine line = new DefaultParser(false).parse(OPTIONS, arguments);
      if (line.hasOption("help")) {
        output.println(help());
        return new Result.Exit<>(EXIT_SUCCESS);
      }
      if (line.hasOption("version")) {
        output.println(program + " " + ProductVersion.text());
        return new Result.Exit<>(EXIT_SUCCESS);
      }
      if (!line.getArgList().isEmpty()) {
        throw new ParseException("Unexpected argument: " + line.getArgList().get(0));
      }
      if (!line.hasOption("settings")) {
        throw new ParseException("Missing required option: --settings FILE");
      }
      SettingsDocument document = SettingsDocument.read(Path.of(line.getOptionValue("settings")));
      S settings = reader.apply(document);
      document.finish();
      return new Result.Start<>(settings);
    } catch (ParseException e) {
      error.println(program + ": " + e.getMessage() + "; see --help");
    } catch (SettingsException e) {
      e.problems().forEach(problem -> error.println(program + ": " + problem));
    }
    return new Result.Exit<>(EXIT_USAGE);
  }

  private String help() {
    return """
    usage: %s --settings FILE
    %s

      --settings FILE  settings in TOML; a sample is under conf/
      --help           prints this text
      --version        prints the version

    Exit codes: 0 success, 2 wrong command line or settings."""
        .formatted(program, purpose);
  }
}
