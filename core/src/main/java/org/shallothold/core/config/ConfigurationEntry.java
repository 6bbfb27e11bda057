package org.shallothold.core.config;

import java.util.Arrays;

/**
 * One entry of the platform's ordered list, as published. The body stays as bytes, since the digest
 * of the history is taken over them.
 */
public final class ConfigurationEntry {

  private final long position;
  private final String kind;
  private final byte[] body;
  private final Content content;

  private ConfigurationEntry(long position, String kind, byte[] body, Content content) {
    this.position = position;
    this.kind = kind;
    this.body = body;
    this.content = content;
  }

  /** What the body of an entry holds, once read. */
  public sealed interface Content {

    /** A well-formed patch. */
    record PatchContent(Patch patch) implements Content {}

    /**
     * A whole configuration, to start from.
     *
     * @param configuration the configuration with its version
     * @param position position of the last entry that it covers
     */
    record SnapshotContent(Configuration configuration, long position) implements Content {}

    /** A body that can't be read. */
    record Malformed(String problem) implements Content {}
  }

  /**
   * Returns an entry.
   *
   * @param position position that the platform assigned, greater than 0
   * @param kind kind as published; passed on unchanged, so that every process reads the entry alike
   * @param body the bytes as published
   * @param content what the bytes hold
   */
  public static ConfigurationEntry of(long position, String kind, byte[] body, Content content) {
    return new ConfigurationEntry(position, kind, body.clone(), content);
  }

  /** Returns the platform's position. */
  public long position() {
    return position;
  }

  /** Returns the kind as published. */
  public String kind() {
    return kind;
  }

  /** Returns a copy of the bytes as published. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the number of bytes as published. */
  public int bodyLength() {
    return body.length;
  }

  /** Returns what the bytes hold. */
  public Content content() {
    return content;
  }

  /** Returns whether both entries hold the same bytes. */
  public boolean sameBody(ConfigurationEntry other) {
    return kind.equals(other.kind) && Arrays.equals(body, other.body);
  }
}
