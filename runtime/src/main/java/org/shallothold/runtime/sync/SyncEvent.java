package org.shallothold.runtime.sync;

import java.util.List;
import java.util.concurrent.CompletableFuture;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.ConfigurationEntry;
import org.shallothold.core.config.ConfigurationVersion;
import org.shallothold.wire.connection.PeerConnection;

/** An event of the thread that owns the configuration. */
sealed interface SyncEvent {

  /** Entries arrived from the platform; the reader waits for what became of them. */
  record PlatformEntries(List<ConfigurationEntry> entries, CompletableFuture<Applied> applied)
      implements SyncEvent {}

  /** A peer connected or named its version in a message. */
  record PeerVersion(PeerConnection connection, ConfigurationVersion version, boolean isNew)
      implements SyncEvent {}

  /** A peer asks for entries. */
  record PeerRequest(PeerConnection connection, long afterPosition) implements SyncEvent {}

  /**
   * A peer sent entries.
   *
   * @param base version in force at the peer before the first entry, or null if it didn't say
   */
  record PeerEntries(
      PeerConnection connection,
      List<ConfigurationEntry> entries,
      @Nullable ConfigurationVersion base)
      implements SyncEvent {}

  /** A peer is gone. */
  record PeerGone(PeerConnection connection) implements SyncEvent {}

  /** Time passed; a request to a peer may be overdue. */
  record Tick() implements SyncEvent {}

  /**
   * What became of entries.
   *
   * @param progress whether any of them was new and taken
   * @param contradiction whether one contradicts what this process holds
   */
  record Applied(boolean progress, boolean contradiction) {}
}
