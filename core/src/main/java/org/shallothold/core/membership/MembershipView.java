package org.shallothold.core.membership;

import java.util.List;

/**
 * The platform's list of VMs as last read, which may be out of date. Immutable.
 *
 * @param members entries of the list
 */
public record MembershipView(List<Member> members) {

  /** The view before the first read, without members. */
  public static final MembershipView EMPTY = new MembershipView(List.of());

  /** Makes an immutable copy of the list. */
  public MembershipView {
    members = List.copyOf(members);
  }

  /** Returns the number of listed gateways that are not leaving, but at least 1. */
  public int liveGatewayCount() {
    long count =
        members.stream()
            .filter(member -> member.role() == Member.Role.GATEWAY && !member.leaving())
            .count();
    return (int) Math.max(1, count);
  }

  /** Returns whether a process is listed as leaving; false if it is not listed. */
  public boolean isLeaving(String processId) {
    return members.stream()
        .anyMatch(member -> member.processId().equals(processId) && member.leaving());
  }
}
