package org.shallothold.standin.engine;

import java.util.ArrayList;
import java.util.HexFormat;
import java.util.Iterator;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Set;

/**
 * Least-recently-used cache of prefix blocks. A block stands for 16 words and all words before
 * them, so two contexts share exactly the blocks of their common prefix. Not to be shared between
 * threads.
 */
final class PrefixCache {

  /** Words in a block; a remainder at the end of a context is not cached. */
  static final int BLOCK_WORDS = 16;

  private static final int HASH_BYTES = 8;

  /** Told about each change. */
  interface Listener {

    /** Blocks came into the cache. */
    void stored(List<String> blocks);

    /** Blocks were displaced. */
    void removed(List<String> blocks);
  }

  private final int maxBlocks;
  private final Listener listener;

  /** Least recently used first. */
  private final Set<String> blocks = new LinkedHashSet<>();

  PrefixCache(int maxTokens, Listener listener) {
    this.maxBlocks = maxTokens / BLOCK_WORDS;
    this.listener = listener;
  }

  /** Returns how many leading words are cached and marks their blocks as used. */
  int lookUp(String model, List<String> words) {
    int cached = 0;
    for (String block : blocks(model, words)) {
      if (!blocks.contains(block)) {
        break;
      }
      touch(block);
      cached += BLOCK_WORDS;
    }
    return cached;
  }

  /** Adds the blocks of a context. */
  void store(String model, List<String> words) {
    List<String> added = new ArrayList<>();
    for (String block : blocks(model, words)) {
      if (!blocks.contains(block)) {
        added.add(block);
      }
      touch(block);
    }
    if (!added.isEmpty()) {
      listener.stored(added);
    }
    List<String> removed = new ArrayList<>();
    for (Iterator<String> oldest = blocks.iterator(); blocks.size() > maxBlocks; ) {
      removed.add(oldest.next());
      oldest.remove();
    }
    if (!removed.isEmpty()) {
      listener.removed(removed);
    }
  }

  /** Returns the number of tokens in the cache. */
  int tokens() {
    return blocks.size() * BLOCK_WORDS;
  }

  /**
   * Returns the names of a context's blocks: the first 8 bytes, in hexadecimal, of SHA-256 over the
   * name of the block before (the model for the first one) and the block's words, all separated by
   * single spaces.
   */
  static List<String> blocks(String model, List<String> words) {
    List<String> names = new ArrayList<>();
    String previous = model;
    for (int start = 0; start + BLOCK_WORDS <= words.size(); start += BLOCK_WORDS) {
      String text = previous + " " + String.join(" ", words.subList(start, start + BLOCK_WORDS));
      previous = HexFormat.of().formatHex(Digests.sha256(text), 0, HASH_BYTES);
      names.add(previous);
    }
    return names;
  }

  private void touch(String block) {
    blocks.remove(block);
    blocks.add(block);
  }
}
