package org.shallothold.core.placement;

/**
 * Records the times of decode steps and prefills that tell how fast a server is. Times that depend
 * on the server's load are left out, so that a loaded server isn't taken for a slow one. Stateless.
 */
public final class SpeedMeter {

  // With more streams, the size of the batch lengthens a decode step.
  private static final double MAX_SLOT_FRACTION = 0.25;
  // With a longer known backlog, the time to the first event includes queueing behind other
  // prompts.
  private static final double MAX_IDLE_BACKLOG_MILLIS = 1;
  // Shorter prefills are masked by the delays of the network and of decode steps.
  private static final double MIN_FIRST_EVENT_MILLIS = 80;

  /**
   * Kinds of times, each of which is compared only with others of its kind, the most reliable
   * first. Times between events during prefills are none of them: they depend on the prompts, and
   * servers that get long prompts would seem slow.
   */
  enum Kind {
    /** Time between two events while the engine has nothing to prefill. */
    IDLE_PAUSE,
    /** Time to the first event of an uncontended prompt, relative to the estimate for it. */
    PREFILL
  }

  private SpeedMeter() {}

  /**
   * Records the time to the first event of a request. It is ignored if the server had a backlog or
   * if the prefill is too short to be measured.
   *
   * @param server server that prefilled the prompt
   * @param usualMillis time to the first event at the median server without a backlog
   * @param backlogMillis known prefill backlog when the prompt was sent
   * @param elapsedMillis time from sending the prompt to the first event
   * @param nowMillis current time
   */
  public static void recordPrefill(
      TrackedServer server,
      double usualMillis,
      double backlogMillis,
      double elapsedMillis,
      long nowMillis) {
    if (backlogMillis <= MAX_IDLE_BACKLOG_MILLIS && usualMillis >= MIN_FIRST_EVENT_MILLIS) {
      record(Kind.PREFILL, server, elapsedMillis / usualMillis, nowMillis);
    }
  }

  /** Records a time of the given kind at a server. */
  static void record(Kind kind, TrackedServer server, double time, long nowMillis) {
    if (server.openRequests(nowMillis) <= server.entry().slots() * MAX_SLOT_FRACTION) {
      server.speed().recordTime(kind, time, nowMillis);
    }
  }
}
