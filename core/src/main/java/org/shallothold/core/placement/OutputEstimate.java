package org.shallothold.core.placement;

/**
 * Estimated length of a stream's output.
 *
 * @param expectedTokens expected tokens of the whole output
 * @param maxTokens tokens after which the engine ends the output
 */
public record OutputEstimate(int expectedTokens, int maxTokens) {

  /** Estimate for requests without an output. */
  public static final OutputEstimate NONE = new OutputEstimate(0, 0);

  // Callers' estimates are right at the median only, and the lengths of a route's answers vary: an
  // answer that is longer than expected goes on for about half of the expected length.
  private static final double MIN_REMAINING_FRACTION = 0.5;

  /**
   * Returns the expected number of tokens that are still to be produced.
   *
   * @param producedTokens tokens that have been produced
   */
  public double remainingTokens(int producedTokens) {
    double expectedRemaining =
        Math.max((double) expectedTokens - producedTokens, expectedTokens * MIN_REMAINING_FRACTION);
    return Math.clamp(expectedRemaining, 0.0, Math.max(0.0, (double) maxTokens - producedTokens));
  }
}
