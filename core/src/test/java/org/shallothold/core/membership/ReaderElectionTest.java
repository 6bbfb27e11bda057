package org.shallothold.core.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against too many processes that watch the platform, and against none. */
class ReaderElectionTest {

  private static final List<String> DOMAINS = List.of("hopper-hall", "quay-shed");

  private static MembershipView fleet(int perDomain) {
    List<Member> members = new ArrayList<>();
    for (String domain : DOMAINS) {
      for (int number = 0; number < perDomain; number++) {
        members.add(new Member(domain + number, Member.Role.GATEWAY, domain, false));
      }
    }
    return new MembershipView(members);
  }

  private static List<String> readers(MembershipView view) {
    return view.members().stream()
        .map(Member::processId)
        .filter(id -> ReaderElection.isReader(id, view, 3))
        .toList();
  }

  @Test
  void eachFailureDomainHasThreeReaders() {
    List<String> readers = readers(fleet(100));
    for (String domain : DOMAINS) {
      assertEquals(3, readers.stream().filter(id -> id.startsWith(domain)).count());
    }
  }

  @Test
  void allProcessesOfASmallFleetRead() {
    assertEquals(4, readers(fleet(2)).size());
  }

  @Test
  void onlyALeavingReaderIsReplaced() {
    MembershipView before = fleet(100);
    String leaving = readers(before).getFirst();
    MembershipView after =
        new MembershipView(
            before.members().stream()
                .map(
                    member ->
                        member.processId().equals(leaving)
                            ? new Member(
                                member.processId(), member.role(), member.failureDomain(), true)
                            : member)
                .toList());
    List<String> readers = readers(after);
    assertEquals(6, readers.size());
    assertTrue(readers.containsAll(readers(before).stream().skip(1).toList()));
  }

  @Test
  void unlistedProcessReads() {
    assertTrue(ReaderElection.isReader("new", fleet(100), 3));
    assertTrue(ReaderElection.isReader("new", MembershipView.EMPTY, 3));
  }

  @Test
  void liveGatewayCountIsAtLeastOne() {
    assertEquals(1, MembershipView.EMPTY.liveGatewayCount());
    assertEquals(200, fleet(100).liveGatewayCount());
  }
}
