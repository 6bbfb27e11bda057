package org.shallothold.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shallothold.core.hash.Hashing;

/**
 * Estimate of the contents of an engine's prefix cache: the prompt parts that requests used there,
 * with least-recently-used eviction when the engine's memory is full. Owned by one thread.
 */
final class PrefixCacheEstimate {

  // Unshared tokens are grouped into entries of this size to keep the number of entries small; a
  // shared part has a few thousand tokens.
  private static final int UNSHARED_ENTRY_TOKENS = 1_024;

  private final Map<Long, Integer> tokensByChain = new LinkedHashMap<>(16, 0.75f, true);
  private long capacityTokens;
  private long usedTokens;
  private int unsharedTokens;
  private long unsharedEntries;

  /**
   * Sets the number of tokens that the engine's memory holds. Entries beyond it are evicted with
   * the next use.
   */
  void setCapacityTokens(long tokens) {
    capacityTokens = tokens;
  }

  /**
   * Returns how many tokens at the start of the prompt are probably cached.
   *
   * @param chain {@link RequestProfile#chainHashes} of the prompt
   * @param parts parts of the prompt, one for each hash
   */
  int cachedTokens(long[] chain, List<PromptPart> parts) {
    int cached = 0;
    for (int i = 0; i < chain.length && tokensByChain.containsKey(chain[i]); i++) {
      cached += parts.get(i).tokens();
    }
    return cached;
  }

  /**
   * Records that the engine prefills or reuses the part at the end of a chain, and evicts the least
   * recently used parts beyond the capacity.
   */
  void recordUse(long chainHash, int tokens) {
    Integer previousTokens = tokensByChain.put(chainHash, tokens);
    usedTokens += tokens - (previousTokens == null ? 0 : previousTokens);
    Iterator<Integer> leastRecent = tokensByChain.values().iterator();
    while (usedTokens > capacityTokens && leastRecent.hasNext()) {
      usedTokens -= leastRecent.next();
      leastRecent.remove();
    }
  }

  /**
   * Records tokens that occupy the engine's memory and won't be reused, such as those of an answer.
   * They evict parts that would be.
   */
  void recordUnsharedTokens(int tokens) {
    unsharedTokens += tokens;
    if (unsharedTokens >= UNSHARED_ENTRY_TOKENS) {
      recordUse(Hashing.mix(--unsharedEntries), unsharedTokens);
      unsharedTokens = 0;
    }
  }

  /** Removes all entries; the capacity stays. */
  void clear() {
    tokensByChain.clear();
    usedTokens = 0;
    unsharedTokens = 0;
  }
}
