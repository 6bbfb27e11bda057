package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Which server of a plain service a request is placed at. */
class PlainPlacementPolicyTest {

  private static final RequestProfile CALL = RequestProfile.ofPlainService(Rank.of(2), 150);

  private final TrackedServer near = server("near", "north", false);
  private final TrackedServer far = server("far", "south", false);
  private final PlainPlacementPolicy policy = PlainPlacementPolicy.in("north");

  private static TrackedServer server(String id, String domain, boolean leaving) {
    return TrackedServer.of(new ServerEntry(id, "desk", "10.0.0.1", 80, domain, 6, leaving, 1));
  }

  private TrackedServer choose(TrackedServer... servers) {
    return policy.choose(CALL, List.of(servers), server -> false, 0).orElseThrow().server();
  }

  @Test
  void prefersItsOwnFailureDomain() {
    assertEquals(near, choose(near, far));
  }

  /** Guards against a burst that fills the nearest server while others are idle. */
  @Test
  void choosesAnotherFailureDomainWhenItsServerIsLessBusy() {
    near.recordSent(1, CALL, 0, false, 0);
    near.recordSent(2, CALL, 0, false, 0);
    assertEquals(far, choose(near, far));
  }

  /**
   * Guards against placing requests at a server that fails them although its health checks pass.
   */
  @Test
  void avoidsAServerWithFailedRequests() {
    for (int i = 0; i < 5; i++) {
      near.recordFailure();
    }
    assertEquals(far, choose(near, far));
  }

  /** Guards against new work for a leaving server. */
  @Test
  void choosesNoLeavingServer() {
    assertTrue(policy.choose(CALL, List.of(server("x", "north", true)), s -> false, 0).isEmpty());
  }

  /** Guards against new work for a server whose failure domain the operators evacuate. */
  @Test
  void choosesNoEvacuatedServer() {
    near.setEvacuated(true);
    assertEquals(far, choose(near, far));
    near.setEvacuated(false);
    assertEquals(near, choose(near, far));
  }

  /** Guards against refusals when all servers were recently unreachable. */
  @Test
  void choosesAnUnreachableServerWhenThereIsNoOther() {
    near.recordUnreachable(0);
    assertEquals(near, choose(near));
    assertNotEquals(near, choose(near, far));
  }

  /** Guards against suspending a server because of one slow request while it answers others. */
  @Test
  void serverThatAnswersOtherRequestsIsNotSilent() {
    near.recordBytesReceived(100);
    assertFalse(near.silentSince(50));
    assertTrue(near.silentSince(150));
  }
}
