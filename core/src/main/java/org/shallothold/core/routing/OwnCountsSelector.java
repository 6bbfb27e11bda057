package org.shallothold.core.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/**
 * Selects the cheapest among two random candidates and all candidates that probably cache the
 * prefix. The cost is the expected time to work off the outstanding tokens and a new request.
 */
final class OwnCountsSelector implements ServerSelector {

  /** Token interval above which a server is a straggler, as a multiple of the median. */
  private static final double STRAGGLER_FACTOR = 2.5;

  /** Share of requests that still go to stragglers, so that a recovery is measured. */
  private static final double STRAGGLER_SHARE = 0.02;

  /** Assumed work of a request of another gateway, of which only the count is known, in tokens. */
  private static final double TOKENS_PER_OTHER_GATEWAY_REQUEST = 128;

  /** Age at which the weight of a sidecar's report has fallen to one half. */
  private static final double REPORT_HALF_LIFE_MILLIS = 1_000;

  /** Work that a cached prefix saves, in tokens. */
  private static final double CACHED_PREFIX_SAVING_TOKENS = 64;

  /** Token interval assumed while no server of the class has been measured. */
  private static final double DEFAULT_INTERVAL_MICROS = 1;

  @Override
  public Optional<ServerView> select(List<ServerView> candidates, RandomGenerator random) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    double medianMicros = medianIntervalMicros(candidates);
    List<ServerView> pool = pool(candidates, medianMicros, random);
    ServerView best = pool.get(random.nextInt(pool.size()));
    if (pool.size() > 1) {
      int other = random.nextInt(pool.size() - 1);
      ServerView second = pool.get(other);
      best = cheaper(best, second.equals(best) ? pool.get(pool.size() - 1) : second, medianMicros);
    }
    for (ServerView view : pool) {
      best = view.prefixCached() ? cheaper(best, view, medianMicros) : best;
    }
    return Optional.of(best);
  }

  private static List<ServerView> pool(
      List<ServerView> candidates, double medianMicros, RandomGenerator random) {
    List<ServerView> sorted = candidates.stream().sorted(BY_ID).toList();
    List<ServerView> healthy = new ArrayList<>();
    List<ServerView> stragglers = new ArrayList<>();
    for (ServerView view : sorted) {
      (isStraggler(view, medianMicros) ? stragglers : healthy).add(view);
    }
    if (stragglers.isEmpty() || healthy.isEmpty()) {
      return sorted;
    }
    return random.nextDouble() < STRAGGLER_SHARE ? stragglers : healthy;
  }

  private static boolean isStraggler(ServerView view, double medianMicros) {
    return medianMicros > 0 && view.tokenIntervalMicros() > STRAGGLER_FACTOR * medianMicros;
  }

  /**
   * Returns the median token interval in microseconds; 0 if none was measured. The lower median is
   * used, so that a straggler among two servers is detected.
   */
  private static double medianIntervalMicros(List<ServerView> candidates) {
    long[] measured =
        candidates.stream()
            .mapToLong(ServerView::tokenIntervalMicros)
            .filter(intervalMicros -> intervalMicros > 0)
            .sorted()
            .toArray();
    return measured.length == 0 ? 0 : measured[(measured.length - 1) / 2];
  }

  private static ServerView cheaper(ServerView left, ServerView right, double medianMicros) {
    return costMicros(right, medianMicros) < costMicros(left, medianMicros) ? right : left;
  }

  private static double costMicros(ServerView view, double medianMicros) {
    double reportWeight =
        Math.pow(0.5, Math.max(0, view.reportAgeMillis()) / REPORT_HALF_LIFE_MILLIS);
    int otherGatewaysRequests =
        Math.max(0, view.reportedRunning() + view.reportedWaiting() - view.outstandingRequests());
    double tokens =
        view.outstandingTokens()
            + reportWeight * otherGatewaysRequests * TOKENS_PER_OTHER_GATEWAY_REQUEST
            + 1;
    double intervalMicros =
        view.tokenIntervalMicros() > 0
            ? view.tokenIntervalMicros()
            : Math.max(medianMicros, DEFAULT_INTERVAL_MICROS);
    double tokensPerSlot = tokens / Math.max(1, view.maxRunning());
    double savingTokensPerSlot =
        view.prefixCached() ? CACHED_PREFIX_SAVING_TOKENS / Math.max(1, view.maxRunning()) : 0;
    return (tokensPerSlot - savingTokensPerSlot) * intervalMicros;
  }
}
