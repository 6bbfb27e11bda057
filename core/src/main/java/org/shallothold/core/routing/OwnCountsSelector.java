package org.shallothold.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Compares two random candidates, and the one that probably caches the prefix, by the work expected
 * before a new request is through.
 */
final class OwnCountsSelector implements ServerSelector {

  /** A server this many times slower than the median of its peers is a straggler. */
  private static final double STRAGGLER_FACTOR = 2.5;

  /** Share of choices that may still fall on a straggler, so that its recovery is measured. */
  private static final double TRICKLE = 0.02;

  /** Work of another gateway's request, in tokens, where only its number is known. */
  private static final double TOKENS_PER_FOREIGN_REQUEST = 128;

  /** A report loses half of its weight in this time. */
  private static final double REPORT_HALF_LIFE_MILLIS = 1_000;

  /** Worth of a cached prefix, as a share of a slot's work. */
  private static final double PREFIX_WORTH_TOKENS = 64;

  private static final double UNMEASURED_INTERVAL_MICROS = 1;

  @Override
  public Optional<ServerView> select(List<ServerView> candidates, RandomGenerator random) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double median = medianInterval(candidates);
    List<ServerView> pool = pool(candidates, median, random);
    ServerView best = pool.get(random.nextInt(pool.size()));
    if (pool.size() > 1) {
      int other = random.nextInt(pool.size() - 1);
      ServerView second = pool.get(other);
      best = better(best, second.equals(best) ? pool.get(pool.size() - 1) : second, median);
    }
    for (ServerView view : pool) {
      best = view.prefixCached() ? better(best, view, median) : best;
    }
    return Optional.of(best);
  }

  private static List<ServerView> pool(
      List<ServerView> candidates, double median, RandomGenerator random) {
    List<ServerView> ordered = candidates.stream().sorted(BY_ID).toList();
    List<ServerView> healthy = new ArrayList<>();
    List<ServerView> stragglers = new ArrayList<>();
    for (ServerView view : ordered) {
      (isStraggler(view, median) ? stragglers : healthy).add(view);
    }
    if (stragglers.isEmpty() || healthy.isEmpty()) {
      return ordered;
    }
    return random.nextDouble() < TRICKLE ? stragglers : healthy;
  }

  private static boolean isStraggler(ServerView view, double median) {
    return median > 0 && view.tokenIntervalMicros() > STRAGGLER_FACTOR * median;
  }

  /** Lower median, so that one straggler of two servers is seen; 0 if nothing was measured. */
  private static double medianInterval(List<ServerView> candidates) {
    long[] measured =
        candidates.stream()
            .mapToLong(ServerView::tokenIntervalMicros)
            .filter(interval -> interval > 0)
            .sorted()
            .toArray();
    return measured.length == 0 ? 0 : measured[(measured.length - 1) / 2];
  }

  private static ServerView better(ServerView left, ServerView right, double median) {
    return cost(right, median) < cost(left, median) ? right : left;
  }

  private static double cost(ServerView view, double median) {
    double weight = Math.pow(0.5, Math.max(0, view.reportAgeMillis()) / REPORT_HALF_LIFE_MILLIS);
    int foreign =
        Math.max(0, view.reportedRunning() + view.reportedWaiting() - view.outstandingRequests());
    double tokens = view.outstandingTokens() + weight * foreign * TOKENS_PER_FOREIGN_REQUEST + 1;
    double interval =
        view.tokenIntervalMicros() > 0
            ? view.tokenIntervalMicros()
            : Math.max(median, UNMEASURED_INTERVAL_MICROS);
    double perSlot = tokens / Math.max(1, view.maxRunning());
    double worth = view.prefixCached() ? PREFIX_WORTH_TOKENS / Math.max(1, view.maxRunning()) : 0;
    return (perSlot - worth) * interval;
  }
}
