package org.shallothold.core.placement;

import java.nio.charset.StandardCharsets;
import java.util.zip.CRC32C;

/** Hashes that all gateways compute alike. */
final class Hashing {

  private Hashing() {}

  /** Returns a hash of a text. */
  static long of(String text) {
    CRC32C checksum = new CRC32C();
    checksum.update(text.getBytes(StandardCharsets.UTF_8));
    return mix(checksum.getValue());
  }

  /** Finalizer of SplitMix64: spreads close inputs over all bits. */
  static long mix(long value) {
    long mixed = (value ^ (value >>> 30)) * 0xbf58476d1ce4e5b9L;
    mixed = (mixed ^ (mixed >>> 27)) * 0x94d049bb133111ebL;
    return mixed ^ (mixed >>> 31);
  }

  /** Returns a number in [0, 1) for a pair of hashes. */
  static double unit(long first, long second) {
    return (mix(first * 31 + second) >>> 11) * 0x1.0p-53;
  }
}
