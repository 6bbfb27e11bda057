package org.shallothold.core.placement;

/**
 * Measures the inter-event gaps of one stream for which the activity of its engine is known: it
 * prefilled during the whole gap, or it had nothing to prefill. One instance per run of a stream;
 * owned by one thread.
 */
public final class PauseSampler {

  // A prompt counts as being prefilled from this time after it was sent until its first event.
  private static final long PROMPT_DELIVERY_MILLIS = 40;
  // With more streams, the size of the batch lengthens a decode step, and a loaded engine would
  // seem
  // slow.
  private static final double MAX_SPEED_SLOT_FRACTION = 0.25;
  private static final long NOT_SAMPLING = Long.MIN_VALUE;

  private long startMillis = NOT_SAMPLING;
  private boolean idleAtStart;
  private double sentPrefillMillisAtStart;

  private PauseSampler() {}

  /** Returns a sampler for a stream that has had no events. */
  public static PauseSampler create() {
    return new PauseSampler();
  }

  /**
   * Records events that arrived together. If there are several, the gaps between them are unknown
   * and none is measured.
   *
   * @param events number of events
   * @param server server that runs the stream
   * @param estimator receives the measured gap
   * @param nowMillis time of arrival
   */
  public void recordEvents(
      int events, TrackedServer server, EngineEstimator estimator, long nowMillis) {
    if (startMillis != NOT_SAMPLING && events == 1) {
      completeSample(server, estimator, nowMillis);
    }
    startMillis = NOT_SAMPLING;
    if (server.relativeSlowness() <= 1 && server.beginPauseSample(nowMillis)) {
      startMillis = nowMillis;
      idleAtStart = server.backlogMillis(nowMillis) == 0;
      sentPrefillMillisAtStart = server.sentPrefillMillis();
    }
  }

  private void completeSample(TrackedServer server, EngineEstimator estimator, long nowMillis) {
    double pauseMillis = (double) (nowMillis - startMillis);
    double usualMillis = pauseMillis / server.speed().factor(nowMillis);
    if (server.prefillingSince(startMillis - PROMPT_DELIVERY_MILLIS)) {
      // An engine without a free slot does not prefill the prompts that wait there.
      if (server.openRequests(nowMillis) < server.entry().slots()) {
        estimator.recordPrefillPause(usualMillis);
      }
    } else if (idleAtStart
        && server.sentPrefillMillis() == sentPrefillMillisAtStart
        && server.backlogMillis(nowMillis) == 0) {
      estimator.recordIdlePause(usualMillis);
      if (server.openRequests(nowMillis) <= server.entry().slots() * MAX_SPEED_SLOT_FRACTION) {
        server.speed().recordIdlePause(pauseMillis, nowMillis);
      }
    }
  }
}
