package org.shallothold.standin.engine;

import com.fasterxml.jackson.databind.JsonNode;
import java.nio.ByteBuffer;
import java.util.OptionalInt;

/**
 * The answer to a request, a pure function of its messages and length fields. So every engine gives
 * the same answer, and a test can tell what the right answer is. Immutable.
 */
public final class AnswerText {

  /** Cap on the derived length if the request has no {@code max_tokens}. */
  static final int DEFAULT_MAX_TOKENS = 1_024;

  // Bounded Pareto distribution: median 27 tokens, 95th percentile 160, 99th 553.
  private static final double SHORTEST_TOKENS = 16;
  private static final double TAIL_EXPONENT = 1.3;

  private static final String CONSONANTS = "bdfgklmnprstvz";
  private static final String VOWELS = "aeiou";
  private static final long GOLDEN_GAMMA = 0x9e3779b97f4a7c15L;

  private final long seed;
  private final int length;
  private final boolean capped;

  private AnswerText(long seed, int length, boolean capped) {
    this.seed = seed;
    this.length = length;
    this.capped = capped;
  }

  /**
   * Returns the answer to messages.
   *
   * @param messages the request's {@code messages}
   * @param maxTokens cap on the length, if the request has one
   * @param lengthHint length in place of the derived one, if the request has one
   */
  public static AnswerText of(JsonNode messages, OptionalInt maxTokens, OptionalInt lengthHint) {
    ByteBuffer digest = ByteBuffer.wrap(Digests.sha256(messages.toString()));
    long seed = digest.getLong();
    double uniform = ((digest.getLong() >>> 11) + 1) * 0x1.0p-53;
    int derived = (int) Math.min(1e9, SHORTEST_TOKENS / Math.pow(uniform, 1 / TAIL_EXPONENT));
    int wanted = lengthHint.orElse(derived);
    int cap = maxTokens.orElse(lengthHint.isPresent() ? Integer.MAX_VALUE : DEFAULT_MAX_TOKENS);
    return new AnswerText(seed, Math.min(wanted, cap), wanted > cap);
  }

  /** Returns the number of tokens of the whole answer. */
  public int length() {
    return length;
  }

  /** Returns {@code length} if the answer was capped, else {@code stop}. */
  public String finishReason() {
    return capped ? "length" : "stop";
  }

  /** Returns the token at an index from 0: a word, after a space unless it is the first. */
  public String token(int index) {
    long bits = mix(seed + GOLDEN_GAMMA * (index + 1L));
    StringBuilder word = new StringBuilder(index == 0 ? "" : " ");
    for (int syllable = 0; syllable < 2; syllable++) {
      word.append(CONSONANTS.charAt((int) Long.remainderUnsigned(bits, CONSONANTS.length())));
      bits = Long.divideUnsigned(bits, CONSONANTS.length());
      word.append(VOWELS.charAt((int) Long.remainderUnsigned(bits, VOWELS.length())));
      bits = Long.divideUnsigned(bits, VOWELS.length());
    }
    return word.toString();
  }

  /** The output function of SplitMix64. */
  private static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }
}
