package org.shallothold.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Chooses a backend server among the candidates; owned by one thread. */
public sealed interface ServerSelector
    permits OwnCountsSelector, RoundRobinSelector, ReportedLoadSelector {

  /**
   * Returns the chosen candidate, or empty if there is none.
   *
   * @param candidates servers that can take the request now
   * @param random source of randomness
   */
  Optional<ServerView> select(List<ServerView> candidates, RandomGenerator random);

  /** Returns the selector for a policy. */
  static ServerSelector of(SelectionPolicy policy) {
    return switch (policy) {
      case OWN_COUNTS -> new OwnCountsSelector();
      case ROUND_ROBIN -> new RoundRobinSelector();
      case REPORTED_LOAD -> new ReportedLoadSelector();
    };
  }

  /** Order of server ids, so that a choice doesn't depend on the order of the candidates. */
  Comparator<ServerView> BY_ID = Comparator.comparing(ServerView::serverId);
}
