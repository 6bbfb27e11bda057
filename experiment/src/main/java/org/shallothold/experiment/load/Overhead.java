package org.shallothold.experiment.load;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintStream;
import java.net.URI;
import java.util.Random;
import org.HdrHistogram.Histogram;
import org.shallothold.experiment.caller.Caller;
import org.shallothold.experiment.caller.CompletionRequest;
import org.shallothold.experiment.caller.CompletionResult;
import org.shallothold.experiment.fleet.Fleet;
import org.shallothold.experiment.fleet.FleetPlan;
import org.shallothold.experiment.fleet.JsonHttp;

/**
 * Compares the time to the first token straight from an engine with that through gateway and
 * sidecar. Requests follow one another, so that none waits for a step of the engine that another
 * one began; the difference is what the two processes and two more connections add.
 */
public final class Overhead {

  private static final int WARM_UP_ROUNDS = 1_000;
  private static final int ROUNDS = 2_000;
  private static final int TOKENS = 2;

  private Overhead() {}

  /** Runs, and prints a table and, as the last line, one JSON object. */
  public static void run(long seed, PrintStream out) {
    FleetPlan plan =
        FleetPlan.of(1, 1, 0)
            .withEngines(
                16,
                64,
                "--max-batch",
                "16",
                "--step-base-ms",
                "1",
                "--step-per-running-us",
                "0",
                "--prefill-us-per-token",
                "0");
    Histogram direct = new Histogram(3);
    Histogram through = new Histogram(3);
    try (Fleet fleet = Fleet.start(plan);
        Caller caller = Caller.create()) {
      Random random = new Random(seed);
      URI engine = fleet.standin("engine-1");
      URI gateway = fleet.gateway(1);
      // Both kinds alternate, so that other load on the machine meets them alike.
      for (int round = 0; round < WARM_UP_ROUNDS + ROUNDS; round++) {
        boolean measured = round >= WARM_UP_ROUNDS;
        round(caller, engine, random, measured ? direct : new Histogram(3));
        round(caller, gateway, random, measured ? through : new Histogram(3));
      }
    }
    ObjectNode json = JsonHttp.object();
    json.put("experiment", "overhead").put("seed", seed).put("requests_each", ROUNDS);
    json.put("load_average", LoadRun.loadAverage());
    out.printf("%-10s %12s %12s %12s%n", "quantile", "direct ms", "through ms", "added ms");
    for (double percentile : new double[] {50, 95, 99}) {
      double directMillis = direct.getValueAtPercentile(percentile) / 1_000.0;
      double throughMillis = through.getValueAtPercentile(percentile) / 1_000.0;
      out.printf(
          "p%-9.0f %12.2f %12.2f %12.2f%n",
          percentile, directMillis, throughMillis, throughMillis - directMillis);
      json.put("direct_p%.0f_ms".formatted(percentile), directMillis);
      json.put("through_p%.0f_ms".formatted(percentile), throughMillis);
      json.put(
          "added_p%.0f_ms".formatted(percentile),
          Math.round((throughMillis - directMillis) * 1_000) / 1_000.0);
    }
    out.println(json);
  }

  private static void round(Caller caller, URI address, Random random, Histogram histogram) {
    CompletionResult result =
        caller.send(address, CompletionRequest.of("Question " + random.nextLong(), TOKENS)).join();
    if (!result.complete()) {
      throw new IllegalStateException("not complete: " + result.summary());
    }
    histogram.recordValue(result.firstTokenNanos() / 1_000);
  }
}
