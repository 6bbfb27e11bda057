package org.shallothold.core.placement;

/**
 * Speed of the model engines of one service.
 *
 * @param tokenMillis time to read one prompt token, in milliseconds
 * @param pairMillis extra time to read a prompt, in milliseconds for each million pairs of a token
 *     with one before it
 * @param stepMillis time to produce one token for every running stream
 * @param readingPauseMillis what reading without a break adds to the time between two events;
 *     {@link #UNKNOWN_PAUSE} until it was seen
 * @param tokensPerEvent tokens that one event of a stream holds
 */
public record EngineFigures(
    double tokenMillis,
    double pairMillis,
    double stepMillis,
    double readingPauseMillis,
    int tokensPerEvent) {

  /** Nothing bounds the pause but the prompts that wait to be read. */
  public static final double UNKNOWN_PAUSE = Double.POSITIVE_INFINITY;

  private static final double PAIRS_UNIT = 1e6;

  /**
   * Returns the time to read a prompt, in milliseconds.
   *
   * @param cachedTokens tokens at its start that need not be read
   */
  public double readMillis(int promptTokens, int cachedTokens) {
    int fresh = Math.max(1, promptTokens - cachedTokens);
    return fresh * tokenMillis + millionPairs(promptTokens, cachedTokens) * pairMillis;
  }

  /** Returns the pause between two events while prompts of the given reading time are read. */
  public double pauseMillis(double readMillis) {
    return Math.min(readMillis, readingPauseMillis) + tokensPerEvent * stepMillis;
  }

  /** Returns the pairs of a token that is read with one before it, in millions. */
  static double millionPairs(int promptTokens, int cachedTokens) {
    int fresh = Math.max(1, promptTokens - cachedTokens);
    return fresh * (cachedTokens + fresh / 2.0) / PAIRS_UNIT;
  }
}
