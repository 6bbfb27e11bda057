package org.shallothold.core.placement;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.route.Rank;

/** The pace at which one engine gets prompts while streams run on it. */
class PrefillPaceTest {

  private static final double STEP_MILLIS = 7;
  private static final double CHUNK_MILLIS = 45;
  private static final long DISPATCH_MILLIS = 20;
  private static final double LONG_PREFILL_MILLIS = 400;
  private static final double MAX_BACKLOG_MILLIS = 100;
  private static final RequestProfile LONG_PROMPT =
      new RequestProfile(List.of(), 17_000, 120, Rank.of(2), 1_500, 800);

  private final TrackedServer engine =
      TrackedServer.of(new ServerEntry("e", "pool", "10.0.0.1", 80, "north", 128, false, 1));

  /** Numbers of streams and prompts that the engine finished. */
  private record Outcome(long finishedStreams, int prefills, double prefillShare) {}

  /**
   * Runs 8 streams on an engine that alternates prefill chunks and decode steps, while more long
   * prompts wait than it can prefill.
   *
   * @param stepMillis duration of a decode step as known to the gateway; 0 if it isn't
   * @param tokens output of each stream
   * @param deadlineMillis deadline of each stream
   * @param estimatedPrefillMillis the gateway's estimate for a prompt
   */
  private Outcome runBurst(
      double stepMillis, int tokens, long deadlineMillis, double estimatedPrefillMillis) {
    int streams = 8;
    for (int stream = 0; stream < streams; stream++) {
      engine.recordSent(stream, LONG_PROMPT, 0, false, 0);
      engine.decodeDemand().add(stream, new OutputEstimate(tokens, tokens), deadlineMillis);
      engine.recordFirstEvent(stream, 1, 1);
    }
    int produced = 0;
    long sent = 100;
    long prefilled = 100;
    double prefillLeftMillis = 0;
    double finishedMillis = Double.POSITIVE_INFINITY;
    double nextDispatchMillis = 0;
    double nowMillis = 1;
    while (nowMillis < deadlineMillis) {
      if (prefillLeftMillis > 0) {
        double chunk = Math.min(CHUNK_MILLIS, prefillLeftMillis);
        prefillLeftMillis -= chunk;
        nowMillis += chunk;
      }
      nowMillis += STEP_MILLIS;
      produced++;
      if (produced == tokens) {
        finishedMillis = nowMillis;
      }
      while (prefilled < sent
          && prefillLeftMillis <= (sent - prefilled - 1) * LONG_PREFILL_MILLIS) {
        engine.recordFirstEvent(prefilled, estimatedPrefillMillis, (long) nowMillis);
        prefilled++;
      }
      for (int stream = 0; stream < streams && produced <= tokens; stream++) {
        if (produced == tokens) {
          engine.recordEnd(stream);
        } else {
          engine.decodeDemand().recordProduced(stream, produced);
        }
      }
      while (nextDispatchMillis <= nowMillis) {
        long dispatchMillis = (long) nextDispatchMillis;
        engine.updatePace(stepMillis, dispatchMillis);
        if (engine.backlogMillis(dispatchMillis) <= MAX_BACKLOG_MILLIS) {
          engine.recordSent(sent, LONG_PROMPT, estimatedPrefillMillis, false, dispatchMillis);
          sent++;
          prefillLeftMillis += LONG_PREFILL_MILLIS;
        }
        nextDispatchMillis += DISPATCH_MILLIS;
      }
    }
    int prefills = (int) (prefilled - 100);
    return new Outcome(
        finishedMillis <= deadlineMillis ? streams : 0,
        prefills,
        prefills * LONG_PREFILL_MILLIS / deadlineMillis);
  }

  @Nested
  class BurstOfLongPromptsOverRunningStreams {

    /** Shows the fault: at the constant share the streams are cut by their deadlines. */
    @Test
    void atTheConstantShareStreamsDoNotFinish() {
      Outcome outcome = runBurst(0, 400, 10_000, LONG_PREFILL_MILLIS);
      assertEquals(0, outcome.finishedStreams());
      assertTrue(outcome.prefillShare() > 0.75, outcome.toString());
    }

    /** Guards against streams that are cut by their deadlines because prompts are prefilled. */
    @Test
    void streamsFinishAndPrefillsGetTheRest() {
      Outcome outcome = runBurst(STEP_MILLIS, 400, 10_000, LONG_PREFILL_MILLIS);
      assertEquals(8, outcome.finishedStreams(), outcome.toString());
      assertTrue(outcome.prefillShare() > 0.55, outcome.toString());
    }

    /** Guards against slower prefills for streams that finish in time anyway. */
    @Test
    void shortStreamsDoNotSlowPrefills() {
      Outcome outcome = runBurst(STEP_MILLIS, 120, 10_000, LONG_PREFILL_MILLIS);
      assertEquals(8, outcome.finishedStreams(), outcome.toString());
      assertTrue(outcome.prefillShare() > 0.75, outcome.toString());
    }

    /** Guards against prefills that stop for streams which need all of the engine's time. */
    @Test
    void prefillsKeepTheirLeastShare() {
      Outcome outcome = runBurst(STEP_MILLIS, 1_200, 10_000, LONG_PREFILL_MILLIS);
      assertTrue(outcome.prefillShare() > 0.33, outcome.toString());
    }

    /** Guards against an engine that idles because prompts were taken to be twice as long. */
    @Test
    void estimatesThatAreTooHighCostLittle() {
      Outcome outcome = runBurst(STEP_MILLIS, 400, 10_000, 2 * LONG_PREFILL_MILLIS);
      assertEquals(8, outcome.finishedStreams(), outcome.toString());
      assertTrue(outcome.prefillShare() > 0.45, outcome.toString());
    }
  }

  @Nested
  class Share {

    @Test
    void leavesWhatStreamsNeedWithinItsBounds() {
      assertEquals(PrefillPace.MAX_SHARE, PrefillPace.share(0));
      assertEquals(PrefillPace.MAX_SHARE, PrefillPace.share(0.1));
      assertEquals(0.7, PrefillPace.share(0.3), 1e-9);
      assertEquals(PrefillPace.MIN_SHARE, PrefillPace.share(1));
    }

    /** Guards against an engine that stays slowed after its last stream ended. */
    @Test
    void isTheUsualOneAgainWithoutStreams() {
      engine.recordSent(1, LONG_PROMPT, 0, false, 0);
      engine.decodeDemand().add(1, new OutputEstimate(480, 480), 6_000);
      engine.decodeDemand().recordProduced(1, 4);
      engine.updatePace(STEP_MILLIS, 0);
      assertTrue(engine.isPrefillSlowed());
      engine.recordEnd(1);
      engine.updatePace(STEP_MILLIS, 100);
      assertFalse(engine.isPrefillSlowed());
    }

    /** Guards against a bound that is taken for a backlog of the past, and goes down twice. */
    @Test
    void boundedBacklogGoesDownAtTheShareOfPrefills() {
      engine.recordSent(1, LONG_PROMPT, 0, false, 0);
      engine.decodeDemand().add(1, new OutputEstimate(480, 480), 4_000);
      engine.decodeDemand().recordProduced(1, 4);
      engine.updatePace(STEP_MILLIS, 0);
      assertEquals(PrefillPace.MIN_SHARE, engine.prefillShare());
      engine.recordSent(2, LONG_PROMPT, 60_000, false, 10);
      engine.recordEnd(2);
      engine.updatePace(STEP_MILLIS, 100);
      double backlogMillis = engine.backlogMillis(100);
      assertEquals(PrefillPace.maxExcessMillis(PrefillPace.MIN_SHARE), backlogMillis, 1e-6);
      assertEquals(backlogMillis - PrefillPace.MIN_SHARE * 50, engine.backlogMillis(150), 1e-6);
    }

    /**
     * Guards against an engine that gets nothing for seconds after prompts for a former instance.
     */
    @Test
    void pauseAfterPrefillsIsBounded() {
      engine.recordSent(1, LONG_PROMPT, 0, false, 0);
      engine.decodeDemand().add(1, new OutputEstimate(480, 480), 6_000);
      engine.decodeDemand().recordProduced(1, 4);
      engine.recordSent(2, LONG_PROMPT, 60_000, false, 0);
      engine.recordEnd(2);
      engine.updatePace(STEP_MILLIS, 100);
      assertTrue(engine.backlogMillis(100) < 700, "backlog " + engine.backlogMillis(100));
    }
  }
}
