package org.shallothold.runtime.sync;

import java.util.List;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.runtime.platform.EntryCodec;
import org.shallothold.wire.proto.ConfigurationEntries;

/** Converts configuration entries from their wire form. */
public final class WireEntries {

  private WireEntries() {}

  /** Returns the entries of a message in its order; a body that can't be read stays malformed. */
  public static List<ConfigurationEntry> fromWire(ConfigurationEntries message) {
    return message.getEntriesList().stream()
        .map(
            entry ->
                EntryCodec.decode(
                    entry.getPosition(), entry.getKind(), entry.getBody().toByteArray()))
        .toList();
  }
}
