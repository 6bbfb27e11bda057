package org.shallothold.standin;

import static java.nio.charset.StandardCharsets.UTF_8;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import java.util.stream.Stream;
import org.apache.commons.cli.help.HelpFormatter;
import org.shallothold.standin.engine.EngineStandin;
import org.shallothold.standin.http.Json;
import org.shallothold.standin.http.LoopbackServer;
import org.shallothold.standin.http.RequestException;
import org.shallothold.standin.http.ServerLoop;
import org.shallothold.standin.http.Standin;
import org.shallothold.standin.options.Arguments;
import org.shallothold.standin.options.OptionSpec;
import org.shallothold.standin.options.UsageException;
import org.shallothold.standin.platform.PlatformStandin;
import org.shallothold.standin.service.ServiceStandin;

/** Main class of {@code bin/standin}. */
public final class StandinMain {

  private static final int EXIT_FAILURE = 1;
  private static final int EXIT_USAGE = 2;

  /** Exit code of a process ended by SIGKILL, as a shell reports it. */
  private static final int EXIT_CRASH = 137;

  private static final int MAX_PORT = 65_535;

  private static final List<OptionSpec> COMMON_OPTIONS =
      List.of(
          OptionSpec.value("port", 0, "TCP port on 127.0.0.1; 0 picks a free one"),
          OptionSpec.value("faults", "{}", "faults from the start, as POST /faults takes them"),
          OptionSpec.flag("help", "print this text"));

  private StandinMain() {}

  private enum Kind {
    PLATFORM,
    ENGINE,
    SERVICE;

    List<OptionSpec> options() {
      List<OptionSpec> own =
          switch (this) {
            case PLATFORM -> PlatformStandin.OPTIONS;
            case ENGINE -> EngineStandin.OPTIONS;
            case SERVICE -> ServiceStandin.OPTIONS;
          };
      return Stream.concat(COMMON_OPTIONS.stream(), own.stream()).toList();
    }

    Standin create(Arguments arguments, ServerLoop loop) {
      Runnable crash = () -> Runtime.getRuntime().halt(EXIT_CRASH);
      return switch (this) {
        case PLATFORM -> PlatformStandin.create(arguments, loop);
        case ENGINE -> EngineStandin.create(arguments, loop, crash);
        case SERVICE -> ServiceStandin.create(arguments, loop, crash);
      };
    }
  }

  /** Starts the stand-in that the first argument names. */
  public static void main(String[] arguments) throws IOException {
    int code = run(arguments, System.out, System.err);
    if (code != 0) {
      System.exit(code);
    }
  }

  /** Returns the exit code; with 0 the process goes on as long as its server runs. */
  static int run(String[] arguments, PrintStream out, PrintStream err) throws IOException {
    String name = arguments.length == 0 ? "" : arguments[0];
    if (name.equals("--help")) {
      out.println("usage: bin/standin platform|engine|service [OPTIONS]; each takes --help");
      return 0;
    }
    for (Kind kind : Kind.values()) {
      if (kind.name().equalsIgnoreCase(name)) {
        return start(kind, Arrays.copyOfRange(arguments, 1, arguments.length), out, err);
      }
    }
    err.println("the first argument must be platform, engine or service: '" + name + "'");
    return EXIT_USAGE;
  }

  private static int start(Kind kind, String[] options, PrintStream out, PrintStream err)
      throws IOException {
    try {
      Arguments arguments = Arguments.parse(kind.options(), options);
      if (arguments.flag("help")) {
        HelpFormatter.builder()
            .setShowSince(false)
            .get()
            .printHelp(
                "bin/standin " + kind.name().toLowerCase(Locale.ROOT),
                "",
                Arguments.toOptions(kind.options()),
                "",
                true);
        return 0;
      }
      LoopbackServer server =
          LoopbackServer.start(
              arguments.integer("port", 0, MAX_PORT),
              loop -> {
                Standin standin = kind.create(arguments, loop);
                standin.applyFaults(Json.parseObject(arguments.text("faults").getBytes(UTF_8)));
                return standin;
              });
      out.println(Json.object().put("listening", server.port()));
      return 0;
    } catch (UsageException | RequestException e) {
      err.println(e.getMessage());
      return EXIT_USAGE;
    } catch (UncheckedIOException e) {
      err.println(e.getMessage());
      return EXIT_FAILURE;
    }
  }
}
