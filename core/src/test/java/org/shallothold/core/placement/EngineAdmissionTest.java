package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Who is sent, who waits and who is refused under a burst of long prompts. */
class EngineAdmissionTest {

  private static final RequestProfile DIGEST =
      new RequestProfile(List.of(), 17_000, 120, Rank.of(2), 1_500, 800);
  private static final RequestProfile SHEET =
      new RequestProfile(List.of(), 9_000, 50, Rank.of(1), 500, 300);

  private static Placement engineWithBacklog(double backlogMillis) {
    TrackedServer server =
        TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
    return new Placement(
        server, 80, backlogMillis + 80, backlogMillis, 0, null, false, Placement.NO_BACKLOG_LIMIT);
  }

  /** Returns the choice of an engine whose streams have pause targets that reading can break. */
  private static Placement reservedEngine(RequestProfile query, double backlogMillis) {
    TrackedServer server =
        TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
    EnginePlacementPolicy policy = EnginePlacementPolicy.of(TestEngines.denseModel(), "north");
    policy.requestArrived(query, 0);
    Placement choice = policy.choose(query, List.of(server), other -> false, 0).orElseThrow();
    return new Placement(
        server,
        choice.prefillMillis(),
        backlogMillis + choice.prefillMillis(),
        backlogMillis,
        0,
        null,
        choice.pauseSensitive(),
        choice.pauseBacklogLimitMillis());
  }

  private static AdmissionDecision decide(
      RequestProfile profile,
      long waitedMillis,
      long remainingMillis,
      double backlogMillis,
      double queuedAheadMillis,
      boolean urgent) {
    return EngineAdmission.decide(
        new EngineAdmission.AdmissionRequest(profile, waitedMillis, remainingMillis, false),
        engineWithBacklog(backlogMillis),
        queuedAheadMillis,
        urgent);
  }

  @Nested
  class LeastUrgent {

    /** Guards against refusals while engines are free. */
    @Test
    void isSentToAFreeEngine() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(DIGEST, 0, 8_000, 0, 0, false));
    }

    /** Guards against engines that read without a break and starve their running streams. */
    @Test
    void waitsWhileItsEngineHasEnoughToRead() {
      assertInstanceOf(AdmissionDecision.Wait.class, decide(DIGEST, 0, 8_000, 400, 200, false));
    }

    /** Guards against holding requests that can't be on time until their callers give up. */
    @Test
    void isRefusedAtOnceWhenItCannotBeOnTime() {
      AdmissionDecision decision = decide(DIGEST, 0, 8_000, 900, 3_000, false);
      AdmissionDecision.Refuse refuse = assertInstanceOf(AdmissionDecision.Refuse.class, decision);
      assertTrue(refuse.retryAfterMillis() <= 8_000 / 3);
      assertTrue(refuse.retryAfterMillis() >= 300);
    }

    /** Guards against refusing a late request that an idle engine could serve. */
    @Test
    void isSentLateToAnIdleEngine() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(DIGEST, 1_600, 6_000, 20, 0, false));
    }

    /** Guards against late requests taking the place of those that can be on time. */
    @Test
    void yieldsWhenItIsLate() {
      assertInstanceOf(AdmissionDecision.Refuse.class, decide(DIGEST, 1_600, 6_000, 90, 0, false));
    }
  }

  @Nested
  class MoreUrgent {

    /** Guards against refusing urgent requests at once while less urgent ones are served. */
    @Test
    void waitsForHalfOfItsCallersPatience() {
      for (long waitedMillis = 0; waitedMillis < 1_200; waitedMillis += 100) {
        AdmissionDecision decision =
            decide(SHEET, waitedMillis, 5_000 - waitedMillis, 2_000, 5_000, true);
        assertInstanceOf(AdmissionDecision.Wait.class, decision, "after " + waitedMillis + " ms");
      }
    }

    /**
     * Guards against late prompts pushed onto engines that read without a break: in a burst of long
     * prompts with a third of the engines gone, a quarter of the running streams broke off.
     */
    @Test
    void isRefusedWellBeforeItsCallerLeaves() {
      assertInstanceOf(AdmissionDecision.Wait.class, decide(SHEET, 1_100, 3_900, 500, 0, true));
      assertInstanceOf(AdmissionDecision.Refuse.class, decide(SHEET, 1_250, 3_750, 500, 0, true));
      assertInstanceOf(AdmissionDecision.Send.class, decide(SHEET, 1_250, 3_750, 20, 0, true));
    }

    /** Guards against a stream that waits, or is refused, after its caller got events. */
    @Test
    void goesOnAtOnceAfterABreak() {
      EngineAdmission.AdmissionRequest interrupted =
          new EngineAdmission.AdmissionRequest(DIGEST, 2_000, 6_000, true);
      assertInstanceOf(
          AdmissionDecision.Send.class,
          EngineAdmission.decide(interrupted, engineWithBacklog(900), 3_000, false));
    }

    /** Guards against a clump of short requests that breaks the pauses of those before it. */
    @Test
    void withShortPausesWaitsForABreakInReading() {
      RequestProfile query = new RequestProfile(List.of(), 1_450, 170, Rank.of(0), 300, 200);
      EngineAdmission.AdmissionRequest applicant =
          new EngineAdmission.AdmissionRequest(query, 0, 10_000, false);
      assertInstanceOf(
          AdmissionDecision.Send.class,
          EngineAdmission.decide(applicant, reservedEngine(query, 80), 0, true));
      assertInstanceOf(
          AdmissionDecision.Wait.class,
          EngineAdmission.decide(applicant, reservedEngine(query, 120), 0, true));
    }

    /** Guards against urgent prompts waiting as long as others for the same engine. */
    @Test
    void mayEnterAFullerEngine() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(SHEET, 0, 5_000, 200, 0, true));
      assertInstanceOf(AdmissionDecision.Wait.class, decide(SHEET, 0, 5_000, 200, 0, false));
    }
  }

  @Test
  void retryTimeFollowsTheQueue() {
    AdmissionDecision.Refuse refuse =
        assertInstanceOf(
            AdmissionDecision.Refuse.class, decide(DIGEST, 0, 8_000, 1_000, 1_000, false));
    assertEquals(1_900, refuse.retryAfterMillis());
  }
}
