package org.shallothold.core.placement;

import java.util.List;
import org.shallothold.core.hash.Hashing;
import org.shallothold.core.route.Rank;

/**
 * What a request asks of a backend server.
 *
 * @param parts parts of the prompt in order; empty for plain services
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens expected tokens of the answer
 * @param rank how urgent it is
 * @param latencyTargetMillis time in which the first event is on time
 * @param pauseTargetMillis longest pause between events that is on time; 0 if there is no target
 */
public record Work(
    List<PromptPart> parts,
    int promptTokens,
    int outputTokens,
    Rank rank,
    long latencyTargetMillis,
    long pauseTargetMillis) {

  /** Work of a plain service. */
  public static Work plain(Rank rank, long latencyTargetMillis) {
    return new Work(List.of(), 0, 0, rank, latencyTargetMillis, 0);
  }

  /** Returns the tokens of all parts but the last, which belongs to the request itself. */
  public int sharedTokens() {
    return parts.stream().limit(Math.max(0, parts.size() - 1)).mapToInt(PromptPart::tokens).sum();
  }

  /**
   * Returns, for each part, a hash of it and of all parts before it: an engine can use a cached
   * part only if it caches all before it.
   */
  public long[] chain() {
    long[] hashes = new long[parts.size()];
    long hash = 0;
    for (int i = 0; i < hashes.length; i++) {
      hash = Hashing.mix(hash * 31 + parts.get(i).id());
      hashes[i] = hash;
    }
    return hashes;
  }
}
