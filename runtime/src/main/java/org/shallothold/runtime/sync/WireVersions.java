package org.shallothold.runtime.sync;

import com.google.protobuf.ByteString;
import java.util.HexFormat;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.wire.proto.Version;

/** Converts configuration versions to and from their wire form. */
public final class WireVersions {

  private WireVersions() {}

  /** Returns the wire form. */
  public static Version toWire(ConfigurationVersion version) {
    return Version.newBuilder()
        .setNumber(version.number())
        .setDigest(ByteString.copyFrom(HexFormat.of().parseHex(version.digest())))
        .build();
  }

  /** Returns the version that a wire form stands for. */
  public static ConfigurationVersion fromWire(Version version) {
    return new ConfigurationVersion(
        version.getNumber(), HexFormat.of().formatHex(version.getDigest().toByteArray()));
  }
}
