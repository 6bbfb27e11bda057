package org.shallothold.core.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Which part of the fleet a gateway believes to reach. */
class KnownGatewaysTest {

  private final KnownGateways known = KnownGateways.create();

  /** Guards against the whole rate of a cold server at each of many gateways without contact. */
  @Test
  void gatewayWithoutContactKeepsToItsShare() {
    known.changed(List.of("a", "b", "c", "d"), List.of(), 0);
    assertEquals(1.0, known.liveFraction(0));
    known.changed(List.of("a"), List.of(), 5_000);
    assertEquals(0.25, known.liveFraction(60_000));
    known.changed(List.of("a", "b", "c", "d"), List.of(), 90_000);
    assertEquals(1.0, known.liveFraction(90_000));
  }

  /** Guards against a share that shrinks with each rollout. */
  @Test
  void gatewaysThatLeaveAreForgotten() {
    known.changed(List.of("a", "b"), List.of(), 0);
    known.changed(List.of("a", "c"), List.of("b"), 5_000);
    assertEquals(1.0, known.liveFraction(5_000));
  }

  /** Guards against a share that stays small after gateways ended. */
  @Test
  void gatewaysThatVanishedAreForgottenAfterATime() {
    known.changed(List.of("a", "b"), List.of(), 0);
    known.changed(List.of("a"), List.of(), 5_000);
    assertEquals(0.5, known.liveFraction(KnownGateways.MEMORY_MILLIS));
    assertEquals(1.0, known.liveFraction(5_001 + KnownGateways.MEMORY_MILLIS));
  }

  @Test
  void emptyFleetHasTheWholeShare() {
    assertEquals(1.0, known.liveFraction(0));
  }
}
