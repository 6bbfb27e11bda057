package org.shallothold.core.placement;

/**
 * Speed of a model engine of ordinary build. Only ratios between engines and requests follow from
 * it; what an engine really does is measured and scales it.
 *
 * @param promptTokensPerMilli prompt tokens read in a millisecond
 * @param attentionMillisPerMillionPairs extra time to read a prompt, for each million pairs of a
 *     token with one before it
 * @param stepMillis time to produce one token for every running stream
 * @param chunkTokens prompt tokens read between two steps of the running streams
 * @param tokensPerEvent tokens that one event of a stream holds
 */
public record EngineFigures(
    double promptTokensPerMilli,
    double attentionMillisPerMillionPairs,
    double stepMillis,
    int chunkTokens,
    int tokensPerEvent) {

  // Attention makes a chunk of a long prompt slower than its tokens alone.
  private static final double READ_OVERHEAD = 1.2;

  /** Figures of the deployments' engines, from the users' description of them. */
  public static final EngineFigures DEFAULT = new EngineFigures(61.8, 0.367, 4.0, 2_048, 5);

  /**
   * Returns the time to read a prompt, in milliseconds.
   *
   * @param cachedTokens tokens at its start that need not be read
   */
  public double readMillis(int promptTokens, int cachedTokens) {
    int fresh = Math.max(1, promptTokens - cachedTokens);
    double pairs = fresh * (cachedTokens + fresh / 2.0) / 1e6;
    return fresh / promptTokensPerMilli + pairs * attentionMillisPerMillionPairs;
  }

  /** Returns the pause between two events while prompts of the given reading time are read. */
  public double pauseMillis(double readMillis) {
    double chunkMillis = chunkTokens / promptTokensPerMilli;
    double read = Math.min(readMillis, tokensPerEvent * chunkMillis * READ_OVERHEAD);
    return read + tokensPerEvent * stepMillis;
  }
}
