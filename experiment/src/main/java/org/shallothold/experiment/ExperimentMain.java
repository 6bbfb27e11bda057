package org.shallothold.experiment;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.Arrays;
import java.util.List;
import java.util.Locale;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;
import org.shallothold.experiment.capacity.Capacity;
import org.shallothold.experiment.load.Fault;
import org.shallothold.experiment.load.LoadOptions;
import org.shallothold.experiment.load.LoadRun;
import org.shallothold.experiment.load.Overhead;
import org.shallothold.experiment.load.SetUp;
import org.shallothold.experiment.rate.StatedRateRun;

/** Main class of {@code bin/experiment}. */
public final class ExperimentMain {

  private static final int EXIT_USAGE = 2;
  private static final int LONGEST_SECONDS = 25;
  private static final int MAX_GATEWAYS = 24;
  private static final List<String> ROUTING = List.of("own_counts", "round_robin", "reported_load");
  private static final List<String> QUEUE = List.of("tiers", "arrival");

  private static final String USAGE =
      """
      usage: bin/experiment NAME --seed N [OPTIONS]
      Starts processes on loopback, loads them and prints a table and, as the last line, one JSON
      object. A run takes less than a minute.

      NAME is one of
        mill, agency  the two deployments of docs/design.md, section 2
        overhead      what gateway and sidecar add to the first token
        capacity      what one process costs at doubling sizes
        rate          requests that an engine with a stated rate gets from several gateways
        benchmark     JMH micro-benchmarks of the core's decisions

      Option of capacity:
        --part P      sidecar_peers, gateway_peers, configuration, streams, platform or start

      Options of rate:
        --gateways N  1 to 24 (default 5)
        --stated F    requests a second that the engine states (default 4.4)
        --calls F     calls a second over all gateways (default 60)
        --skew F      part of the calls that go to the first gateway beyond its share (default 0)
        --seconds S   measured time, 5 to 25 (default 20)

      Options of mill and agency:
        --load F      offered tokens over capacity (default 1.0)
        --burst F     factor on the bulk class in the middle third (default 1)
        --routing P   own_counts, round_robin or reported_load (default own_counts)
        --queue P     tiers or arrival (default tiers)
        --max-preemptions N
                      after which a request is preempted no more (default 2)
        --fault X     none, straggler, crash, late_reports, partition or retrying_callers
        --seconds S   measured time, 5 to 25 (default 20)
      """;

  private ExperimentMain() {}

  /** Runs the experiment that the first argument names. */
  public static void main(String[] arguments) {
    if (arguments.length == 1 && arguments[0].equals("--help")) {
      System.out.print(USAGE);
      return;
    }
    try {
      run(arguments);
    } catch (IOException e) {
      throw new UncheckedIOException(e);
    } catch (ParseException | IllegalArgumentException e) {
      System.err.println(e.getMessage());
      System.err.print(USAGE);
      System.exit(EXIT_USAGE);
    }
    System.exit(0);
  }

  private static void run(String[] arguments) throws ParseException, IOException {
    if (arguments.length == 0) {
      throw new ParseException("the name of an experiment is missing");
    }
    CommandLine line =
        new DefaultParser(false)
            .parse(options(), Arrays.copyOfRange(arguments, 1, arguments.length));
    if (!line.getArgList().isEmpty()) {
      throw new ParseException("unexpected argument: " + line.getArgList().getFirst());
    }
    long seed = Long.parseLong(line.getOptionValue("seed"));
    switch (arguments[0]) {
      case "mill", "agency" -> LoadRun.run(load(arguments[0], seed, line)).print(System.out);
      case "capacity" ->
          Capacity.run(
              Capacity.Part.valueOf(line.getOptionValue("part", "start").toUpperCase(Locale.ROOT)),
              seed,
              System.out);
      case "benchmark" -> {
        // Short iterations in one fork, so that the 12 cases take half a minute.
        org.openjdk.jmh.Main.main(
            new String[] {
              "CoreBenchmark",
              "-f",
              "1",
              "-foe",
              "true",
              "-wi",
              "3",
              "-w",
              "300ms",
              "-i",
              "3",
              "-r",
              "300ms"
            });
      }
      case "overhead" -> Overhead.run(seed, System.out);
      case "rate" -> StatedRateRun.run(rate(seed, line), System.out);
      default -> throw new ParseException("unknown experiment: " + arguments[0]);
    }
  }

  private static StatedRateRun.Plan rate(long seed, CommandLine line) throws ParseException {
    int gateways = Integer.parseInt(line.getOptionValue("gateways", "5"));
    if (gateways < 1 || gateways > MAX_GATEWAYS) {
      throw new ParseException("--gateways must be from 1 to " + MAX_GATEWAYS);
    }
    return new StatedRateRun.Plan(
        seed,
        gateways,
        Double.parseDouble(line.getOptionValue("stated", "4.4")),
        Double.parseDouble(line.getOptionValue("calls", "60")),
        Double.parseDouble(line.getOptionValue("skew", "0")),
        seconds(line));
  }

  private static int seconds(CommandLine line) throws ParseException {
    int seconds = Integer.parseInt(line.getOptionValue("seconds", "20"));
    if (seconds < 5 || seconds > LONGEST_SECONDS) {
      throw new ParseException("--seconds must be from 5 to " + LONGEST_SECONDS);
    }
    return seconds;
  }

  private static LoadOptions load(String name, long seed, CommandLine line) throws ParseException {
    int seconds = seconds(line);
    return new LoadOptions(
        SetUp.valueOf(name.toUpperCase(Locale.ROOT)),
        seed,
        positive(line, "load"),
        positive(line, "burst"),
        choice(line, "routing", ROUTING),
        choice(line, "queue", QUEUE),
        Integer.parseInt(line.getOptionValue("max-preemptions", "2")),
        Fault.valueOf(line.getOptionValue("fault", "none").toUpperCase(Locale.ROOT)),
        seconds);
  }

  private static double positive(CommandLine line, String option) throws ParseException {
    double value = Double.parseDouble(line.getOptionValue(option, "1"));
    if (!(value > 0)) {
      throw new ParseException("--" + option + " must be above 0");
    }
    return value;
  }

  private static String choice(CommandLine line, String option, List<String> allowed)
      throws ParseException {
    String value = line.getOptionValue(option, allowed.getFirst());
    if (!allowed.contains(value)) {
      throw new ParseException("--" + option + " is '" + value + "'; allowed are " + allowed);
    }
    return value;
  }

  private static Options options() {
    Options options = new Options();
    options.addOption(Option.builder().longOpt("seed").hasArg().required().get());
    for (String name :
        List.of(
            "load",
            "burst",
            "routing",
            "queue",
            "fault",
            "seconds",
            "part",
            "max-preemptions",
            "gateways",
            "stated",
            "calls",
            "skew")) {
      options.addOption(Option.builder().longOpt(name).hasArg().get());
    }
    return options;
  }
}
