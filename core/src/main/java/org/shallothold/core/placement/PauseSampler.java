package org.shallothold.core.placement;

/**
 * Measures the time between events of one stream where it is known what its engine did meanwhile:
 * read all the while, or nothing at all. Made for each run of a stream; owned by one thread.
 */
public final class PauseSampler {

  // A prompt counts as being read from this time after it was sent until its first event.
  private static final long DELIVERY_MILLIS = 40;
  private static final long NOT_SAMPLING = Long.MIN_VALUE;

  private long sinceMillis = NOT_SAMPLING;
  private boolean quietAtStart;
  private double sentReadAtStart;

  private PauseSampler() {}

  /** Returns a sampler for a stream without events. */
  public static PauseSampler create() {
    return new PauseSampler();
  }

  /**
   * Notes events that arrived together. Of several, the time between them is not known.
   *
   * @param server where the stream runs
   */
  public void arrived(int events, ServerModel server, EngineEstimator estimator, long nowMillis) {
    if (sinceMillis != NOT_SAMPLING && events == 1) {
      finish(server, estimator, nowMillis);
    }
    sinceMillis = NOT_SAMPLING;
    if (server.relativeSlowness() <= 1 && server.beginPauseSample(nowMillis)) {
      sinceMillis = nowMillis;
      quietAtStart = server.backlogMillis(nowMillis) == 0;
      sentReadAtStart = server.sentReadMillis();
    }
  }

  private void finish(ServerModel server, EngineEstimator estimator, long nowMillis) {
    double pause = (double) (nowMillis - sinceMillis);
    if (server.readingSince(sinceMillis - DELIVERY_MILLIS)) {
      // An engine without a free slot doesn't read the prompts that wait there.
      if (server.openRequests(nowMillis) < server.entry().slots()) {
        estimator.readingPause(pause);
      }
    } else if (quietAtStart
        && server.sentReadMillis() == sentReadAtStart
        && server.backlogMillis(nowMillis) == 0) {
      estimator.quietPause(pause);
    }
  }
}
