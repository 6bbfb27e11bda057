package org.shallothold.core.hash;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Hashes that all processes compute alike. */
public final class Hashing {

  private Hashing() {}

  /** Returns the CRC-32C of a text; close texts have close values. */
  public static long checksum(String text) {
    CRC32C checksum = new CRC32C();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return checksum.getValue();
  }

  /** Returns a hash of a text. */
  public static long of(String text) {
    return mix(checksum(text));
  }

  /** Finalizer of SplitMix64: spreads close inputs over all bits. */
  public static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns a number in [0, 1) for a pair of hashes. */
  public static double unit(long first, long second) {
    return (mix(first * 31 + second) >>> 11) * 0x1.0p-53;
  }
}
