package org.shallothold.core.placement;

/**
 * Estimated timings of the model engines of one service.
 *
 * @param millisPerPrefillToken prefill time for each prompt token, in milliseconds
 * @param millisPerMillionPairs additional prefill time for each million pairs of a token with an
 *     earlier one, in milliseconds
 * @param decodeStepMillis time of a decode step, which produces one token for each running stream,
 *     in milliseconds
 * @param prefillPauseMillis time that an uninterrupted prefill adds to an inter-event gap, in
 *     milliseconds; {@link #UNKNOWN_PAUSE_MILLIS} until it has been measured
 * @param tokensPerEvent tokens in one event of a stream
 */
public record EngineTimings(
    double millisPerPrefillToken,
    double millisPerMillionPairs,
    double decodeStepMillis,
    double prefillPauseMillis,
    int tokensPerEvent) {

  /**
   * Prefill pause that has not been measured yet: only the prefill time of the waiting prompts
   * bounds the inter-event gap.
   */
  public static final double UNKNOWN_PAUSE_MILLIS = Double.POSITIVE_INFINITY;

  private static final double PAIRS_PER_MILLION = 1e6;

  /**
   * Returns the time to prefill a prompt, in milliseconds.
   *
   * @param promptTokens tokens of the whole prompt
   * @param cachedTokens tokens at its start that are in the prefix cache
   */
  public double prefillMillis(int promptTokens, int cachedTokens) {
    int uncachedTokens = Math.max(1, promptTokens - cachedTokens);
    return uncachedTokens * millisPerPrefillToken
        + millionPairs(promptTokens, cachedTokens) * millisPerMillionPairs;
  }

  /**
   * Returns the longest expected inter-event gap, in milliseconds, while an engine prefills prompts
   * that take the given time.
   */
  public double pauseMillis(double prefillMillis) {
    return Math.min(prefillMillis, prefillPauseMillis) + tokensPerEvent * decodeStepMillis;
  }

  /**
   * Returns the number of pairs of an uncached token with an earlier token of the prompt, in
   * millions.
   */
  static double millionPairs(int promptTokens, int cachedTokens) {
    int uncachedTokens = Math.max(1, promptTokens - cachedTokens);
    return uncachedTokens * (cachedTokens + uncachedTokens / 2.0) / PAIRS_PER_MILLION;
  }
}
