package org.shallothold.core.placement;

import java.util.List;
import java.util.stream.Collectors;
import org.shallothold.core.hash.Hashing;
import org.shallothold.core.route.Rank;

/**
 * Properties of a request that decide its placement and its order in the queue.
 *
 * @param parts parts of the prompt in order; empty for plain services
 * @param promptTokens tokens of the whole prompt
 * @param outputTokens expected tokens of the answer
 * @param rank urgency among the requests for the same service
 * @param latencyTargetMillis latency target: time until the first event or the whole answer, in
 *     milliseconds
 * @param pauseTargetMillis pause target: longest inter-event gap, in milliseconds; 0 if there is
 *     none
 */
public record RequestProfile(
    List<PromptPart> parts,
    int promptTokens,
    int outputTokens,
    Rank rank,
    long latencyTargetMillis,
    long pauseTargetMillis) {

  /**
   * Returns the profile of a request to a plain service, which has no prompt and no pause target.
   */
  public static RequestProfile ofPlainService(Rank rank, long latencyTargetMillis) {
    return new RequestProfile(List.of(), 0, 0, rank, latencyTargetMillis, 0);
  }

  /** Returns the tokens of all parts but the last, which belongs to this request alone. */
  public int sharedTokens() {
    return sharedParts().stream().mapToInt(PromptPart::tokens).sum();
  }

  /** Returns all parts but the last, which belongs to this request or its session alone. */
  public List<PromptPart> sharedParts() {
    return parts.subList(0, Math.max(0, parts.size() - 1));
  }

  /** Returns the ids of the shared parts. */
  public List<Long> sharedPartIds() {
    return sharedParts().stream().map(PromptPart::id).toList();
  }

  /** Returns the ids of the shared parts for logs: hexadecimal, separated by commas. */
  public String sharedPartsText() {
    return sharedParts().stream()
        .map(part -> Long.toHexString(part.id()))
        .collect(Collectors.joining(","));
  }

  /**
   * Returns one hash per part, each covering that part and all parts before it: an engine can reuse
   * a cached part only if all parts before it are cached too.
   */
  public long[] chainHashes() {
    long[] hashes = new long[parts.size()];
    long hash = 0;
    for (int i = 0; i < hashes.length; i++) {
      hash = Hashing.mix(hash * 31 + parts.get(i).id());
      hashes[i] = hash;
    }
    return hashes;
  }
}
