package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;
import org.shallothold.core.verdict.ReasonCode;

/** Which requests are sent, wait or are refused during a burst of long prompts. */
class EngineAdmissionTest {

  private static final RequestProfile LONG_PROMPT =
      new RequestProfile(List.of(), 17_000, 120, Rank.of(2), 1_500, 800);
  private static final RequestProfile MEDIUM_PROMPT =
      new RequestProfile(List.of(), 9_000, 50, Rank.of(1), 500, 300);

  private static Placement engineWithBacklog(double backlogMillis) {
    TrackedServer server =
        TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
    return new Placement(
        server,
        80,
        backlogMillis + 80,
        backlogMillis,
        0,
        null,
        false,
        Placement.NO_BACKLOG_LIMIT,
        1);
  }

  /** Returns a placement at an engine whose streams have pause targets that prefills can break. */
  private static Placement reservedEngine(RequestProfile shortPausePrompt, double backlogMillis) {
    TrackedServer server =
        TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 64, false, 1));
    EnginePlacementPolicy policy = EnginePlacementPolicy.of(TestEngines.denseModel(), "north");
    policy.requestArrived(shortPausePrompt, 0);
    Placement chosen =
        policy.choose(shortPausePrompt, List.of(server), other -> false, 0).orElseThrow();
    return new Placement(
        server,
        chosen.prefillMillis(),
        backlogMillis + chosen.prefillMillis(),
        backlogMillis,
        0,
        null,
        chosen.pauseSensitive(),
        chosen.pauseBacklogLimitMillis(),
        chosen.speedFactor());
  }

  private static AdmissionDecision decide(
      RequestProfile profile,
      long waitedMillis,
      long remainingMillis,
      double backlogMillis,
      double queuedAheadMillis,
      boolean urgent) {
    return EngineAdmission.decide(
        new EngineAdmission.AdmissionRequest(profile, waitedMillis, remainingMillis, false, 0),
        engineWithBacklog(backlogMillis),
        queuedAheadMillis,
        urgent);
  }

  @Nested
  class LeastUrgentRequest {

    /** Guards against refusals while engines are idle. */
    @Test
    void isSentToAnIdleEngine() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(LONG_PROMPT, 0, 8_000, 0, 0, false));
    }

    /**
     * Guards against engines that prefill without interruption and starve their running streams.
     */
    @Test
    void waitsWhileTheBacklogOfItsEngineIsLong() {
      assertInstanceOf(
          AdmissionDecision.Wait.class, decide(LONG_PROMPT, 0, 8_000, 400, 200, false));
    }

    /**
     * Guards against holding requests that can't meet their latency target until their callers
     * abandon them.
     */
    @Test
    void isRefusedAtOnceWhenItCannotMeetItsLatencyTarget() {
      AdmissionDecision decision = decide(LONG_PROMPT, 0, 8_000, 900, 3_000, false);
      AdmissionDecision.Refuse refuse = assertInstanceOf(AdmissionDecision.Refuse.class, decision);
      assertTrue(refuse.retryAfterMillis() <= 8_000 / 3);
      assertTrue(refuse.retryAfterMillis() >= 300);
    }

    /** Guards against refusing an overdue request that an almost idle engine could serve. */
    @Test
    void isSentToAnAlmostIdleEngineWhenOverdue() {
      assertInstanceOf(
          AdmissionDecision.Send.class, decide(LONG_PROMPT, 1_600, 6_000, 20, 0, false));
    }

    /**
     * Guards against overdue requests taking the place of those that can still meet their latency
     * target.
     */
    @Test
    void isRefusedByABusyEngineWhenOverdue() {
      assertInstanceOf(
          AdmissionDecision.Refuse.class, decide(LONG_PROMPT, 1_600, 6_000, 90, 0, false));
    }
  }

  @Nested
  class UrgentRequest {

    /** Guards against refusing urgent requests at once while less urgent ones are served. */
    @Test
    void waitsForHalfOfTheTimeUntilItsCallerAbandonsIt() {
      for (long waitedMillis = 0; waitedMillis < 1_200; waitedMillis += 100) {
        AdmissionDecision decision =
            decide(MEDIUM_PROMPT, waitedMillis, 5_000 - waitedMillis, 2_000, 5_000, true);
        assertInstanceOf(AdmissionDecision.Wait.class, decision, "after " + waitedMillis + " ms");
      }
    }

    /**
     * Guards against overdue prompts being sent to engines that prefill without interruption: in a
     * burst of long prompts with a third of the engines down, a quarter of the running streams
     * broke off.
     */
    @Test
    void isRefusedBeforeItsCallerAbandonsIt() {
      assertInstanceOf(
          AdmissionDecision.Wait.class, decide(MEDIUM_PROMPT, 1_100, 3_900, 500, 0, true));
      assertInstanceOf(
          AdmissionDecision.Refuse.class, decide(MEDIUM_PROMPT, 1_250, 3_750, 500, 0, true));
      assertInstanceOf(
          AdmissionDecision.Send.class, decide(MEDIUM_PROMPT, 1_250, 3_750, 20, 0, true));
    }

    /** Guards against a stream that waits or is refused after its caller received events. */
    @Test
    void isSentAtOnceAfterItsStreamBrokeOff() {
      EngineAdmission.AdmissionRequest interrupted =
          new EngineAdmission.AdmissionRequest(LONG_PROMPT, 2_000, 6_000, true, 0);
      assertInstanceOf(
          AdmissionDecision.Send.class,
          EngineAdmission.decide(interrupted, engineWithBacklog(900), 3_000, false));
    }

    /**
     * Guards against several short requests at once whose prefills break the pause targets of those
     * before them.
     */
    @Test
    void withAShortPauseTargetWaitsForAShortBacklog() {
      RequestProfile shortPausePrompt =
          new RequestProfile(List.of(), 1_450, 170, Rank.of(0), 300, 200);
      EngineAdmission.AdmissionRequest request =
          new EngineAdmission.AdmissionRequest(shortPausePrompt, 0, 10_000, false, 0);
      assertInstanceOf(
          AdmissionDecision.Send.class,
          EngineAdmission.decide(request, reservedEngine(shortPausePrompt, 80), 0, true));
      assertInstanceOf(
          AdmissionDecision.Wait.class,
          EngineAdmission.decide(request, reservedEngine(shortPausePrompt, 120), 0, true));
    }

    /** Guards against urgent prompts waiting as long as others for the same engine. */
    @Test
    void isSentToAnEngineWithALongerBacklog() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(MEDIUM_PROMPT, 0, 5_000, 200, 0, true));
      assertInstanceOf(
          AdmissionDecision.Wait.class, decide(MEDIUM_PROMPT, 0, 5_000, 200, 0, false));
    }
  }

  /** Requests of a service whose streams are protected, while engines are busy with prefills. */
  @Nested
  class BurstOfLongPromptsOverRunningStreams {

    private static AdmissionDecision decide(
        long waitedMillis,
        long remainingMillis,
        double decodeMillis,
        double backlogMillis,
        double queuedAheadMillis,
        boolean urgent) {
      return EngineAdmission.decide(
          new EngineAdmission.AdmissionRequest(
              LONG_PROMPT, waitedMillis, remainingMillis, false, decodeMillis),
          engineWithBacklog(backlogMillis),
          queuedAheadMillis,
          urgent);
    }

    /** Guards against starting streams whose work is lost because their deadlines cut them. */
    @Test
    void streamThatCannotFinishAtTheEnginesPaceIsNotStarted() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(0, 8_000, 3_400, 90, 0, false));
      assertInstanceOf(AdmissionDecision.Wait.class, decide(0, 5_000, 3_400, 90, 0, false));
    }

    /** Guards against callers that wait in vain for an answer that can't come in time. */
    @Test
    void streamThatNoEngineCanFinishIsRefusedEarly() {
      AdmissionDecision.Refuse refuse =
          assertInstanceOf(
              AdmissionDecision.Refuse.class, decide(0, 3_000, 3_400, 90, 2_000, false));
      assertEquals(ReasonCode.CANNOT_FINISH, refuse.cause());
      assertEquals(900, refuse.retryAfterMillis());
    }

    /** Guards against refusing a stream by a wrong estimate while engines have time. */
    @Test
    void streamIsStartedOnAnEngineThatIsHardlyBusy() {
      assertInstanceOf(AdmissionDecision.Send.class, decide(0, 3_000, 3_400, 30, 0, false));
    }

    /** Guards against refusals of requests that could still be answered late. */
    @Test
    void requestThatMissesItsLatencyTargetWaitsWhileItCanFinish() {
      assertInstanceOf(AdmissionDecision.Wait.class, decide(0, 10_000, 840, 400, 1_800, false));
      assertInstanceOf(AdmissionDecision.Wait.class, decide(1_600, 8_400, 840, 90, 0, false));
    }

    /** Guards against a wait after which the caller has abandoned the request. */
    @Test
    void requestIsRefusedEarlyWhenItsTurnComesTooLate() {
      assertEquals(
          ReasonCode.QUEUE_FULL,
          assertInstanceOf(
                  AdmissionDecision.Refuse.class, decide(0, 10_000, 840, 400, 4_000, false))
              .cause());
      assertInstanceOf(AdmissionDecision.Refuse.class, decide(3_300, 6_700, 840, 90, 0, false));
      assertInstanceOf(AdmissionDecision.Refuse.class, decide(0, 2_600, 840, 400, 1_800, true));
    }

    /** Guards against retry times after which too little time is left. */
    @Test
    void retryTimeIsAtMostAThirdOfTheRemainingTime() {
      for (long remainingMillis = 100; remainingMillis < 4_000; remainingMillis += 100) {
        AdmissionDecision.Refuse refuse =
            assertInstanceOf(
                AdmissionDecision.Refuse.class,
                decide(0, remainingMillis, 4_000, 300, 4_000, true));
        assertTrue(refuse.retryAfterMillis() <= remainingMillis / 3);
      }
    }

    /** Guards against requests at the back of a long queue that nobody refuses. */
    @Test
    void requestAtTheBackIsRefusedAfterItsLongestWait() {
      assertTrue(EngineAdmission.afterLongestWait(waiting(3_300, 840), 500).isPresent());
      assertTrue(EngineAdmission.afterLongestWait(waiting(3_000, 840), 500).isEmpty());
      assertTrue(EngineAdmission.afterLongestWait(waiting(3_300, 0), 500).isEmpty());
    }

    private static EngineAdmission.AdmissionRequest waiting(
        long waitedMillis, double decodeMillis) {
      return new EngineAdmission.AdmissionRequest(
          LONG_PROMPT, waitedMillis, 10_000 - waitedMillis, false, decodeMillis);
    }
  }

  @Test
  void retryTimeIsTheExpectedWait() {
    AdmissionDecision.Refuse refuse =
        assertInstanceOf(
            AdmissionDecision.Refuse.class, decide(LONG_PROMPT, 0, 8_000, 1_000, 1_000, false));
    assertEquals(1_900, refuse.retryAfterMillis());
  }
}
