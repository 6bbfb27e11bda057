package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.stream.IntStream;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** Which calls of a plain service are sent, wait or are refused while its few slots are taken. */
class PlainAdmissionTest {

  private static final RequestProfile CALL = RequestProfile.ofPlainService(Rank.of(2), 150);
  private static final int SLOTS = 8;

  private final TrackedServer server =
      TrackedServer.of(new ServerEntry("s", "desk", "10.0.0.1", 80, "north", SLOTS, false, 1));

  private final PlainAdmission admission = PlainAdmission.create();

  private void answer(int count, double millis) {
    IntStream.range(0, count).forEach(number -> admission.recordAnswer(millis, 1_000));
  }

  private void open(int requests) {
    IntStream.range(0, requests)
        .forEach(number -> server.recordSent(number, CALL, 0, false, 1_000));
  }

  @Nested
  class Room {

    @BeforeEach
    void answersAreKnown() {
      answer(20, 200);
    }

    /** Guards against calls that wait at a full server, whatever their rank. */
    @Test
    void endsWhenAllSlotsAreTaken() {
      open(SLOTS - 1);
      assertTrue(admission.hasRoom(server, 1, 1_000));
      open(SLOTS);
      assertFalse(admission.hasRoom(server, 1, 1_000));
    }

    /** Guards against idle slots while other gateways leave their shares unused. */
    @Test
    void includesSlotsThatTheServerReportsAsFree() {
      open(4);
      server.recordReportedLoad(4, 0, 1_000);
      assertTrue(admission.hasRoom(server, 4, 1_100));
      server.recordReportedLoad(6, 2, 1_100);
      assertFalse(admission.hasRoom(server, 4, 1_100));
    }

    /** Guards against a gateway that is crowded out by others. */
    @Test
    void isAtLeastTheGatewaysShareOfTheSlots() {
      open(1);
      server.recordReportedLoad(SLOTS, 20, 1_000);
      assertTrue(admission.hasRoom(server, 4, 1_000));
      open(2);
      assertFalse(admission.hasRoom(server, 4, 1_000));
    }

    /** Guards against a service whose slots nobody may use because there are many gateways. */
    @Test
    void isAtLeastOneSlot() {
      server.recordReportedLoad(SLOTS, 20, 1_000);
      assertTrue(admission.hasRoom(server, 300, 1_000));
    }

    /** Guards against idle servers while other requests hold the slots without an end. */
    @Test
    void isNotLimitedWhileNoSlotBecomesFree() {
      open(SLOTS);
      assertFalse(admission.hasRoom(server, 1, 1_600));
      assertTrue(admission.hasRoom(server, 1, 1_601));
      admission.recordAnswer(200, 1_700);
      assertFalse(admission.hasRoom(server, 1, 1_700));
    }

    /** Guards against a burst after a quiet time that is sent to full servers. */
    @Test
    void isLimitedFromTheFirstRequestAfterAQuietTime() {
      admission.recordSent(List.of(server), 5_000);
      open(SLOTS);
      assertFalse(admission.hasRoom(server, 1, 5_100));
      admission.recordSent(List.of(server), 5_500);
      assertTrue(admission.hasRoom(server, 1, 5_700));
    }

    /** Guards against an old report that keeps calls away from an idle server. */
    @Test
    void ignoresAnOldReport() {
      open(4);
      server.recordReportedLoad(SLOTS, 20, 1_000);
      assertFalse(admission.hasRoom(server, 4, 1_250));
      admission.recordAnswer(200, 2_001);
      assertTrue(admission.hasRoom(server, 4, 2_001));
    }
  }

  @Nested
  class BurstOfCalls {

    private AdmissionDecision decide(long remainingMillis, int requestsAhead) {
      return admission.decide(remainingMillis, requestsAhead, List.of(server));
    }

    /** Guards against refusals of calls that can still be answered in time. */
    @Test
    void callsWaitWhileTheyCanBeAnsweredBeforeTheirDeadlines() {
      open(SLOTS);
      answer(20, 200);
      assertInstanceOf(AdmissionDecision.Wait.class, decide(1_000, 30));
    }

    /** Guards against calls that wait until their deadlines in vain. */
    @Test
    void callsAreRefusedEarlyWhenTheyCannot() {
      open(SLOTS);
      answer(20, 200);
      AdmissionDecision.Refuse refuse =
          assertInstanceOf(AdmissionDecision.Refuse.class, decide(1_500, 60));
      assertEquals(450, refuse.retryAfterMillis());
      assertInstanceOf(AdmissionDecision.Refuse.class, decide(150, 0));
    }

    /** Guards against calls that wait for slots although it isn't known when one becomes free. */
    @Test
    void callsAreSentWhileTooFewAnswersWereSeen() {
      open(SLOTS);
      answer(7, 200);
      assertTrue(admission.hasRoom(server, 1, 1_000));
      answer(1, 200);
      assertFalse(admission.hasRoom(server, 1, 1_000));
    }
  }
}
