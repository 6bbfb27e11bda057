package org.shallothold.core.placement;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.shallothold.core.hash.Hashing;

/**
 * What an engine probably caches: the parts that requests took there, the least recently used
 * dropped first when the engine's memory is full. Owned by one thread.
 */
final class PrefixCacheEstimate {

  // Keeps the number of entries small; a shared part has a few thousand tokens.
  private static final int DISPLACED_ENTRY_TOKENS = 1_024;

  private final Map<Long, Integer> tokensByChain = new LinkedHashMap<>(16, 0.75f, true);
  private long capacityTokens;
  private long usedTokens;
  private int displacedTokens;
  private long displacedEntries;

  void capacity(long tokens) {
    capacityTokens = tokens;
  }

  /** Returns how many tokens at the start of the prompt are probably cached. */
  int cachedTokens(long[] chain, List<PromptPart> parts) {
    int cached = 0;
    for (int i = 0; i < chain.length && tokensByChain.containsKey(chain[i]); i++) {
      cached += parts.get(i).tokens();
    }
    return cached;
  }

  /** Notes that the engine reads or uses a part at the end of a chain. */
  void used(long chainHash, int tokens) {
    Integer known = tokensByChain.put(chainHash, tokens);
    usedTokens += tokens - (known == null ? 0 : known);
    Iterator<Integer> eldest = tokensByChain.values().iterator();
    while (usedTokens > capacityTokens && eldest.hasNext()) {
      usedTokens -= eldest.next();
      eldest.remove();
    }
  }

  /**
   * Notes tokens that came into the engine's memory and are not asked for again: they take the
   * place of parts that are.
   */
  void displaced(int tokens) {
    displacedTokens += tokens;
    if (displacedTokens >= DISPLACED_ENTRY_TOKENS) {
      used(Hashing.mix(--displacedEntries), displacedTokens);
      displacedTokens = 0;
    }
  }

  void clear() {
    tokensByChain.clear();
    usedTokens = 0;
    displacedTokens = 0;
  }
}
