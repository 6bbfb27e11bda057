package org.shallothold.runtime.sync;

import org.shallothold.core.membership.ReaderElection;

/**
 * How often the platform is read.
 *
 * @param readersPerDomain processes of a failure domain that keep a watch
 * @param watchMillis how long one watch waits, in milliseconds
 * @param pollMillis pause between reads of a process that keeps no watch, in milliseconds
 * @param membersMillis pause between reads of the membership list by a reader, in milliseconds
 */
public record SyncOptions(
    int readersPerDomain, long watchMillis, long pollMillis, long membersMillis) {

  /** Three readers a failure domain; others poll every 30 s. */
  public static final SyncOptions DEFAULT =
      new SyncOptions(ReaderElection.DEFAULT_READERS_PER_DOMAIN, 10_000, 30_000, 1_000);
}
