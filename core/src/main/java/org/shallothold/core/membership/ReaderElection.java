package org.shallothold.core.membership;

import java.util.Comparator;
import org.shallothold.core.hash.Hashing;

/**
 * Decides which processes of a failure domain keep a watch on the platform. Every process decides
 * for itself from its own view of the list, without any message; two views that differ make a few
 * readers more or fewer, which does no harm.
 */
public final class ReaderElection {

  /** Readers wanted in each failure domain. */
  public static final int DEFAULT_READERS_PER_DOMAIN = 3;

  private ReaderElection() {}

  /** Returns whether a process should keep a watch; true while the list doesn't name it. */
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
            Comparator.comparingLong((Member member) -> weight(domain, member.processId()))
                .thenComparing(Member::processId))
        .limit(readersPerDomain)
        .anyMatch(member -> member.processId().equals(processId));
  }

  private static long weight(String domain, String processId) {
    return Hashing.checksum(domain + '\n' + processId);
  }
}
