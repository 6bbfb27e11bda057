package org.shallothold.core.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the candidates in turn, regardless of their load. */
final class RoundRobinSelector implements ServerSelector {

  private int next;

  @Override
  public Optional<ServerView> select(List<ServerView> candidates, RandomGenerator random) {
    if (candidates.isEmpty()) {
      return Optional.empty();
    }
    next = (next + 1) & Integer.MAX_VALUE;
    return candidates.stream().sorted(BY_ID).skip(next % candidates.size()).findFirst();
  }
}
