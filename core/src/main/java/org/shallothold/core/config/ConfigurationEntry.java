package org.shallothold.core.config;

import java.util.Arrays;

/**
 * One entry of the platform's ordered list of configuration changes. The body is kept as the
 * published bytes because the history digest is computed over them. Immutable.
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

  /** The decoded body of an entry. */
  public sealed interface Content {

    /** A well-formed patch; it may still be refused. */
    record PatchContent(Patch patch) implements Content {}

    /**
     * A complete configuration from which a process can start without earlier entries.
     *
     * @param configuration the configuration, with its version
     * @param position position of the last entry that the configuration includes
     */
    record SnapshotContent(Configuration configuration, long position) implements Content {}

    /**
     * A body that could not be decoded.
     *
     * @param problem description of the failure, for operators
     */
    record Malformed(String problem) implements Content {}
  }

  /**
   * Creates an entry.
   *
   * @param position position that the platform assigned, greater than 0
   * @param kind kind as published; forwarded unchanged, so that every process decodes the entry in
   *     the same way
   * @param body body as published, in bytes; copied
   * @param content the decoded body
   */
  public static ConfigurationEntry of(long position, String kind, byte[] body, Content content) {
    return new ConfigurationEntry(position, kind, body.clone(), content);
  }

  /** Returns the position that the platform assigned. */
  public long position() {
    return position;
  }

  /** Returns the kind as published. */
  public String kind() {
    return kind;
  }

  /** Returns a copy of the body as published. */
  public byte[] body() {
    return body.clone();
  }

  /** Returns the length of the body in bytes. */
  public int bodyLength() {
    return body.length;
  }

  /** Returns the decoded body. */
  public Content content() {
    return content;
  }

  /** Returns whether both entries have the same kind and the same body, byte for byte. */
  public boolean hasSameKindAndBody(ConfigurationEntry other) {
    return kind.equals(other.kind) && Arrays.equals(body, other.body);
  }
}
