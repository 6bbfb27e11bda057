package org.shallothold.experiment.load;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.shallothold.experiment.caller.CompletionRequest;

/**
 * Arrivals of requests, a pure function of its seed: Poisson arrivals, lengths from a bounded
 * Pareto distribution, a few large customers, and prompts that share prefixes.
 *
 * @param seed of all draws
 * @param tokensPerSecond offered tokens of answers, without the burst
 * @param burst factor on the rate of the bulk class in the middle third of the measured time
 * @param warmUp time before the measured time, under the same load
 * @param measured measured time
 */
record Workload(
    long seed, double tokensPerSecond, double burst, Duration warmUp, Duration measured) {

  /** Customers; the first have most of the requests. */
  static final List<String> CUSTOMERS =
      IntStream.rangeClosed(1, 10).mapToObj(number -> "customer-" + number).toList();

  /** Longer than any deadline of the classes. */
  private static final Duration CALLER_TIMEOUT = Duration.ofSeconds(65);

  private static final int SHORTEST = 16;
  private static final int LONGEST = 400;
  private static final double TAIL_EXPONENT = 1.3;
  private static final int PREFIXES_PER_CUSTOMER = 3;
  private static final int PREFIX_WORDS = 160;

  /** Share of the offered tokens by class. */
  private enum Share {
    URGENT(0.25),
    STANDARD(0.35),
    BULK(0.40);

    private final double share;

    Share(double share) {
      this.share = share;
    }

    String className() {
      return name().toLowerCase(java.util.Locale.ROOT);
    }
  }

  /** A request and when it is sent, in nanoseconds from the start of the load. */
  record Arrival(long atNanos, CompletionRequest request) {}

  /** Returns the mean length of an answer in tokens. */
  static double meanLength() {
    double a = TAIL_EXPONENT;
    double low = SHORTEST;
    double high = LONGEST;
    double kept = 1 - Math.pow(low / high, a);
    return Math.pow(low, a) / kept * a / (a - 1) * (Math.pow(low, 1 - a) - Math.pow(high, 1 - a));
  }

  /** Returns all arrivals in order of time. */
  List<Arrival> arrivals() {
    List<Arrival> arrivals = new ArrayList<>();
    for (Share share : Share.values()) {
      addClass(share, arrivals);
    }
    arrivals.sort(java.util.Comparator.comparingLong(Arrival::atNanos));
    return List.copyOf(arrivals);
  }

  private void addClass(Share share, List<Arrival> arrivals) {
    Random random = new Random(seed * 31 + share.className().hashCode());
    double baseRate = tokensPerSecond * share.share / meanLength();
    double highestRate = share == Share.BULK ? baseRate * Math.max(1, burst) : baseRate;
    long end = warmUp.plus(measured).toNanos();
    double at = 0;
    while (true) {
      at += -Math.log(1 - random.nextDouble()) / highestRate * 1e9;
      if (at >= end) {
        return;
      }
      CompletionRequest request = request(share, random);
      // Thinning: arrivals at the highest rate are kept with the probability of the rate now.
      double rate = share == Share.BULK && inBurst((long) at) ? baseRate * burst : baseRate;
      if (random.nextDouble() * highestRate < rate) {
        arrivals.add(new Arrival((long) at, request));
      }
    }
  }

  private boolean inBurst(long atNanos) {
    long third = measured.toNanos() / 3;
    long since = atNanos - warmUp.toNanos();
    return since >= third && since < 2 * third;
  }

  private static CompletionRequest request(Share share, Random random) {
    // Squaring the draw gives the first customers most of the requests.
    int customer = (int) (CUSTOMERS.size() * Math.pow(random.nextDouble(), 2));
    int prefix = random.nextInt(PREFIXES_PER_CUSTOMER);
    String prompt = prefix(customer * PREFIXES_PER_CUSTOMER + prefix) + " " + random.nextLong();
    return CompletionRequest.of(prompt, length(random))
        .in(share.className())
        .from(CUSTOMERS.get(customer))
        .withTimeout(CALLER_TIMEOUT);
  }

  private static int length(Random random) {
    double kept = 1 - Math.pow((double) SHORTEST / LONGEST, TAIL_EXPONENT);
    return (int) (SHORTEST / Math.pow(1 - random.nextDouble() * kept, 1 / TAIL_EXPONENT));
  }

  private static String prefix(int number) {
    SplittableRandom words = new SplittableRandom(number);
    return IntStream.range(0, PREFIX_WORDS)
        .mapToObj(index -> Integer.toString(words.nextInt(100_000), Character.MAX_RADIX))
        .collect(Collectors.joining(" "));
  }
}
