package org.shallothold.core.membership;

import java.util.Comparator;
import org.shallothold.core.hash.Hashing;

/**
 * Elects the processes of a failure domain that watch the platform, by the lowest hashes of their
 * ids. Each process computes the result from its own view of the list, without messages. Views that
 * differ lead to a few readers more or fewer, which is harmless.
 */
public final class ReaderElection {

  /** Default number of readers in each failure domain. */
  public static final int DEFAULT_READERS_PER_DOMAIN = 3;

  private ReaderElection() {}

  /** Returns whether a process should watch the platform; true if it is not listed. */
  public static boolean isReader(String processId, MembershipView view, int readersPerDomain) {
    var self =
        view.members().stream().filter(member -> member.processId().equals(processId)).findFirst();
    if (self.isEmpty()) {
      return true;
    }
    String domain = self.get().failureDomain();
    return view.members().stream()
        .filter(member -> member.failureDomain().equals(domain) && !member.leaving())
        .sorted(
            Comparator.comparingLong((Member member) -> hash(domain, member.processId()))
                .thenComparing(Member::processId))
        .limit(readersPerDomain)
        .anyMatch(member -> member.processId().equals(processId));
  }

  private static long hash(String domain, String processId) {
    return Hashing.checksum(domain + '\n' + processId);
  }
}
