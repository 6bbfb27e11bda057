package org.shallothold.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects a backend server among candidates. Not thread-safe; confined to one thread. */
public sealed interface ServerSelector
    permits OwnCountsSelector, RoundRobinSelector, ReportedLoadSelector {

  /**
   * Returns the selected candidate, or empty if there are no candidates.
   *
   * @param candidates servers that can take the request now
   * @param random source of randomness
   */
  Optional<ServerView> select(List<ServerView> candidates, RandomGenerator random);

  /** Creates a selector for a policy. */
  static ServerSelector of(SelectionPolicy policy) {
    return switch (policy) {
      case OWN_COUNTS -> new OwnCountsSelector();
      case ROUND_ROBIN -> new RoundRobinSelector();
      case REPORTED_LOAD -> new ReportedLoadSelector();
    };
  }

  /** Orders servers by id, so that a selection doesn't depend on the order of the candidates. */
  Comparator<ServerView> BY_ID = Comparator.comparing(ServerView::serverId);
}
