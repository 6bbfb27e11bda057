package org.shallothold.core.config;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.HexFormat;

/**
 * A version of the configuration: its number and the digest of the history that led to it. Two
 * histories that differ anywhere have different digests from there on.
 *
 * @param number 0 for the empty configuration, then one more for each accepted patch
 * @param digest SHA-256 in lower-case hexadecimal
 */
public record ConfigurationVersion(long number, String digest)
    implements Comparable<ConfigurationVersion> {

  /** The version of the empty configuration. */
  public static final ConfigurationVersion INITIAL =
      new ConfigurationVersion(
          0, sha256(new byte[0], "shallothold".getBytes(StandardCharsets.UTF_8)));

  /** Returns the version that an accepted patch makes of this one. */
  public ConfigurationVersion next(byte[] patchBody) {
    return new ConfigurationVersion(number + 1, sha256(HexFormat.of().parseHex(digest), patchBody));
  }

  /** Returns whether both versions have one number but come from different histories. */
  public boolean contradicts(ConfigurationVersion other) {
    return number == other.number && !digest.equals(other.digest);
  }

  @Override
  public int compareTo(ConfigurationVersion other) {
    return Long.compare(number, other.number);
  }

  private static String sha256(byte[] before, byte[] body) {
    try {
      MessageDigest digest = MessageDigest.getInstance("SHA-256");
      digest.update(before);
      digest.update(body);
      return HexFormat.of().formatHex(digest.digest());
    } catch (NoSuchAlgorithmException e) {
      throw new IllegalStateException("every Java platform has SHA-256", e);
    }
  }
}
