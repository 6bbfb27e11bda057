package org.shallothold.core.routing;

import java.util.Comparator;
import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;

/** Selects the candidate with the lowest load according to the engines' own, delayed reports. */
final class ReportedLoadSelector implements ServerSelector {

  @Override
  public Optional<ServerView> select(List<ServerView> candidates, RandomGenerator random) {
    return candidates.stream()
        .min(
            Comparator.comparingDouble(
                    (ServerView view) ->
                        Math.max(0, view.engineRunning()) / (double) view.maxRunning())
                .thenComparing(BY_ID));
  }
}
