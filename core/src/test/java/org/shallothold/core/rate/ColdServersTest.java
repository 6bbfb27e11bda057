package org.shallothold.core.rate;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertInstanceOf;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Objects;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.rate.ColdServers.Change;

/** Until when a server counts as cold, by the statements of several sources. */
class ColdServersTest {

  private static final String SERVER = "engine-1";

  private final ColdServers servers = ColdServers.create();

  private static PublishedPosition at(long revision) {
    return PublishedPosition.withoutEra(revision);
  }

  private static ColdReport report(ColdSource source, long remainingMillis, long revision) {
    return new ColdReport(
        1, 5, List.of(new ColdReport.Time(source, remainingMillis, 0, at(revision))));
  }

  /** Guards against a restored platform whose entries are taken for old by their revisions. */
  @Test
  void entryOfALaterEraIsNew() {
    servers.recordEntry(SERVER, 1, PublishedPosition.of(1, 50), 0, 0);
    servers.recordEntry(SERVER, 1, PublishedPosition.of(2, 40), 3_000, 1_000);
    assertTrue(servers.isCold(SERVER, 3_999));
  }

  private Change entry(long revision, long remainingMillis, long nowMillis) {
    return servers.recordEntry(SERVER, 1, at(revision), remainingMillis, nowMillis);
  }

  @Nested
  class Sources {

    /** Guards against a flood at a server that one source calls warm and another cold. */
    @Test
    void latestEndApplies() {
      servers.recordStart(SERVER, 1, 8_000, 0);
      servers.recordResponse(SERVER, 1, 2_000, 1_000);
      entry(7, 0, 2_000);
      assertTrue(servers.isCold(SERVER, 7_999));
      assertFalse(servers.isCold(SERVER, 8_000));
    }

    /** Guards against a server that becomes cold again under the same id unnoticed. */
    @Test
    void serverBecomesColdAgain() {
      assertEquals(Change.BEGUN, entry(7, 1_000, 0));
      assertFalse(servers.isCold(SERVER, 1_000));
      assertEquals(Change.BEGUN, entry(8, 5_000, 20_000));
      assertTrue(servers.isCold(SERVER, 24_999));
    }

    /** Guards against a flood through gateways that still list the former instance. */
    @Test
    void stateOfOneInstanceCountsForTheId() {
      servers.recordStart(SERVER, 2, 8_000, 0);
      servers.recordResponse(SERVER, 1, 400, 100);
      assertTrue(servers.isCold(SERVER, 7_999));
    }

    /** Guards against a message and a log line for each response of a cold server. */
    @Test
    void sameEndIsNoChange() {
      servers.recordResponse(SERVER, 1, 8_000, 0);
      assertEquals(Change.NONE, servers.recordResponse(SERVER, 1, 8_000, 40));
      assertEquals(Change.EXTENDED, servers.recordResponse(SERVER, 1, 9_000, 90));
    }
  }

  @Nested
  class Entries {

    /** Guards against a server that stays cold as long as its entry is read again. */
    @Test
    void entryThatIsReadAgainExtendsNothing() {
      entry(7, 5_000, 0);
      assertEquals(Change.NONE, entry(7, 5_000, 4_000));
      assertEquals(Change.NONE, entry(7, 5_000, 9_000));
      assertFalse(servers.isCold(SERVER, 9_000));
    }

    /** Guards against an older list, from a peer or a store that went back in time. */
    @Test
    void olderEntryIsIgnored() {
      entry(7, 0, 0);
      assertEquals(Change.NONE, entry(6, 5_000, 10));
      assertFalse(servers.isCold(SERVER, 20));
    }
  }

  @Nested
  class LateGateways {

    /** Guards against a gateway that reads an old entry and makes its server cold for all. */
    @Test
    void reportOfAKnownEntryExtendsNothing() {
      entry(7, 5_000, 0);
      servers.recordReport(SERVER, report(ColdSource.ENTRY, 5_000, 7), 4_000);
      assertFalse(servers.isCold(SERVER, 5_000));
      servers.recordReport(SERVER, report(ColdSource.ENTRY, 5_000, 7), 90_000);
      assertFalse(servers.isCold(SERVER, 90_000));
    }

    /** Guards against an end that moves when a gateway reads what others told it before. */
    @Test
    void entryThatOthersReportedExtendsNothing() {
      servers.recordReport(SERVER, report(ColdSource.ENTRY, 5_000, 7), 0);
      assertEquals(Change.NONE, entry(7, 5_000, 4_000));
      assertFalse(servers.isCold(SERVER, 5_000 + ColdServers.SAME_END_MILLIS));
    }

    /** Guards against a gateway that learns late of a start and makes its server cold for all. */
    @Test
    void startCountsOnce() {
      servers.recordStart(SERVER, 1, 5_000, 0);
      servers.recordReport(SERVER, report(ColdSource.START, 5_000, 0), 60_000);
      assertFalse(servers.isCold(SERVER, 60_000));
      assertEquals(Change.BEGUN, servers.recordStart(SERVER, 2, 5_000, 70_000));
    }
  }

  @Nested
  class EndOfEvacuation {

    @Test
    void laterEntryThatSaysWarmEndsTheAssumedTime() {
      servers.recordEvacuationEnd(SERVER, 1, at(20), 8_000, 0);
      assertTrue(servers.isCold(SERVER, 100));
      entry(21, 0, 100);
      assertFalse(servers.isCold(SERVER, 101));
    }

    /** Guards against an entry that was written during the evacuation ending the assumed time. */
    @Test
    void earlierEntryDoesNotEndIt() {
      entry(19, 0, 0);
      servers.recordEvacuationEnd(SERVER, 1, at(20), 8_000, 0);
      assertTrue(servers.isCold(SERVER, 7_999));
    }

    /** Guards against taking an unreadable figure for the statement that the server is warm. */
    @Test
    void entryWithoutFigureDoesNotEndIt() {
      servers.recordEvacuationEnd(SERVER, 1, at(20), 8_000, 0);
      servers.recordEntryWithoutFigure(SERVER, at(21));
      assertTrue(servers.isCold(SERVER, 7_999));
      assertFalse(servers.isNewEntry(SERVER, at(21)));
    }

    /** Guards against losing what the server itself states. */
    @Test
    void entryThatSaysWarmEndsNoOtherSource() {
      servers.recordEvacuationEnd(SERVER, 1, at(20), 8_000, 0);
      servers.recordResponse(SERVER, 1, 3_000, 0);
      entry(21, 0, 100);
      assertTrue(servers.isCold(SERVER, 2_999));
      assertFalse(servers.isCold(SERVER, 3_000));
    }

    /** Guards against peers that bring back a time which an entry ended. */
    @Test
    void reportOfTheEvacuationIsIgnoredAfterTheEntry() {
      entry(21, 0, 0);
      servers.recordReport(SERVER, report(ColdSource.EVACUATION_END, 7_000, 20), 10);
      assertFalse(servers.isCold(SERVER, 11));
    }
  }

  @Nested
  class Reports {

    /** Guards against gateways that keep a server cold by telling it to each other. */
    @ParameterizedTest
    @CsvSource({"3, 5", "3, 200", "6, 400", "6, 900"})
    void echoesEnd(int gateways, int delayMillis) {
      List<ColdServers> fleet = new ArrayList<>();
      for (int i = 0; i < gateways; i++) {
        fleet.add(ColdServers.create());
      }
      fleet.getFirst().recordResponse(SERVER, 1, 5_000, 0);
      long lastColdMillis = 0;
      for (long now = 0; now < 60_000; now += 100) {
        for (ColdServers sender : fleet) {
          ColdReport report = sender.report(SERVER, 5, now);
          for (ColdServers receiver : fleet) {
            if (report != null && receiver != sender) {
              receiver.recordReport(SERVER, report, now + delayMillis);
            }
          }
        }
        long time = now;
        if (fleet.stream().anyMatch(servers -> servers.isCold(SERVER, time))) {
          lastColdMillis = now;
        }
        if (now % 500 == 0) {
          fleet.forEach(servers -> servers.removeEnded(time));
        }
      }
      long allowedMillis =
          5_000 + (long) ColdServers.MAX_DISTANCE * delayMillis + ColdServers.SAME_END_MILLIS;
      assertTrue(lastColdMillis < allowedMillis, "cold until " + lastColdMillis);
    }

    /** Guards against a repeated message that moves the end by its delay. */
    @Test
    void repeatedReportMovesNothing() {
      servers.recordReport(SERVER, report(ColdSource.RESPONSE, 5_000, 0), 0);
      for (long now = 0; now < 5_000; now += 100) {
        servers.recordReport(SERVER, report(ColdSource.RESPONSE, 5_000 - now, 0), now + 200);
      }
      assertFalse(servers.isCold(SERVER, 5_000 + ColdServers.SAME_END_MILLIS));
    }

    /** Guards against gateways that don't learn of a server from others than those that saw it. */
    @Test
    void reportsArePassedOn() {
      ColdServers first = ColdServers.create();
      ColdServers second = ColdServers.create();
      first.recordStart(SERVER, 1, 5_000, 0);
      second.recordReport(SERVER, Objects.requireNonNull(first.report(SERVER, 7, 10)), 10);
      ColdReport passedOn = second.report(SERVER, 0, 20);
      assertEquals(
          new ColdReport(1, 7, List.of(new ColdReport.Time(ColdSource.START, 4_980, 1, at(0)))),
          passedOn);
    }

    /** Guards against odd messages of another version. */
    @Test
    void oddReportsDoNoHarm() {
      servers.recordReport(SERVER, report(ColdSource.RESPONSE, -5, 0), 0);
      assertFalse(servers.isCold(SERVER, 0));
      servers.recordReport(
          SERVER,
          new ColdReport(
              1,
              5,
              List.of(
                  new ColdReport.Time(
                      ColdSource.RESPONSE, Long.MAX_VALUE, Integer.MAX_VALUE, at(0)))),
          0);
      assertTrue(servers.isCold(SERVER, 59_999));
      assertFalse(servers.isCold(SERVER, 61_000));
    }
  }

  @Nested
  class Figures {

    @ParameterizedTest
    @ValueSource(strings = {"-1", "-1e300", "-Infinity"})
    void negativeFigureIsZero(String text) {
      assertEquals(new ColdFigure.OutOfRange(0, text), ColdFigure.parse(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"60001", "1e300", "Infinity", "99999999999999999999"})
    void hugeFigureIsTruncated(String text) {
      assertEquals(new ColdFigure.OutOfRange(60_000, text), ColdFigure.parse(text));
    }

    @ParameterizedTest
    @ValueSource(strings = {"", "soon", "NaN", "1,000"})
    void figureThatIsNoNumberIsUnusable(String text) {
      assertEquals(new ColdFigure.Unusable(text), ColdFigure.parse(text));
    }

    @Test
    void missingFigureIsAbsent() {
      assertInstanceOf(ColdFigure.Absent.class, ColdFigure.parse(null));
      assertEquals(new ColdFigure.Stated(1_500), ColdFigure.parse(" 1500 "));
    }
  }

  @Test
  void endedServersAreReportedOnce() {
    servers.recordStart(SERVER, 1, 5_000, 0);
    assertTrue(servers.removeEnded(4_999).isEmpty());
    ColdServers.ColdTime time = servers.removeEnded(5_000).get(SERVER);
    assertEquals(new ColdServers.ColdTime(1, 0, 5_000, ColdSource.START, ColdSource.START), time);
    assertTrue(servers.removeEnded(5_000).isEmpty());
    assertNull(servers.coldTime(SERVER, 5_000));
  }
}
