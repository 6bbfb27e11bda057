package org.shallothold.core.hash;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/**
 * Deterministic hash functions whose results are the same in every process, so that processes agree
 * on choices without coordination.
 */
public final class Hashing {

  private Hashing() {}

  /**
   * Returns the CRC-32C of the text's UTF-8 bytes, in [0, 2^32). Similar texts can have similar
   * values; see {@link #of} for a hash with well distributed bits.
   */
  public static long checksum(String text) {
    CRC32C checksum = new CRC32C();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }

  /** Returns a well distributed 64-bit hash of a text, with at most 2^32 distinct values. */
  public static long of(String text) {
    return mix(checksum(text));
  }

  /**
   * Returns the value mixed by the finalizer of SplitMix64, a bijection that distributes similar
   * inputs over all 64 bits.
   */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns a deterministic pseudo-random number in [0, 1) for a pair of hashes. */
  public static double unit(long first, long second) {
    return (mix(first * 31 + second) >>> 11) * 0x1.0p-53;
  }
}
