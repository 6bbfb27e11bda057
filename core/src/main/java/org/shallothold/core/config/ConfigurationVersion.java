package org.shallothold.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A version of the configuration: its number and a digest that chains all accepted patches up to
 * it. Two histories that differ in one patch have different digests from that version on. Ordered
 * by number.
 *
 * @param number 0 for the empty configuration, incremented by each accepted patch
 * @param digest SHA-256 of the previous digest and the patch body, in lower-case hexadecimal
 */
public record ConfigurationVersion(long number, String digest)
    implements Comparable<ConfigurationVersion> {

  /** The version of the empty configuration. */
  public static final ConfigurationVersion INITIAL =
      new ConfigurationVersion(
          0, sha256(new byte[0], "shallothold".getBytes(StandardCharsets.UTF_8)));

  /** Returns the version that follows this one when a patch with the given body is accepted. */
  public ConfigurationVersion next(byte[] patchBody) {
    return new ConfigurationVersion(number + 1, sha256(HexFormat.of().parseHex(digest), patchBody));
  }

  /** Returns whether both versions have the same number but come from different histories. */
  public boolean contradicts(ConfigurationVersion other) {
    return number == other.number && !digest.equals(other.digest);
  }

  @Override
  public int compareTo(ConfigurationVersion other) {
    return Long.compare(number, other.number);
  }

  private static String sha256(byte[] previousDigest, byte[] body) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(previousDigest);
      digest.update(body);
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("SHA-256 is not available", e);
    }
  }
}
