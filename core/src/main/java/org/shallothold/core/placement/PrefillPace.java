package org.shallothold.core.placement;

/**
 * The share of its time for which an engine gets prompts to prefill, and for how long it gets none
 * after its prefills so that its running streams catch up. Stateless.
 */
public final class PrefillPace {

  /** Share of prefills while the running streams need no more than the rest. */
  public static final double MAX_SHARE = 0.85;

  /** Share that prefills get whatever the running streams need. */
  public static final double MIN_SHARE = 0.4;

  // Limit by which the paced backlog may exceed the prefill time of the prompts that wait for their
  // first event: estimates that were too high must not keep work away from an engine that has
  // finished its prefills.
  private static final double MAX_PACED_EXCESS_MILLIS = 100;
  // Added to the limit as prefills get a smaller share: the decode time that goes with the longest
  // usual prefill, of somewhat less than a second.
  private static final double MAX_DECODE_EXCESS_MILLIS = 1_000;

  private PrefillPace() {}

  /** Largest share of decode steps that an engine leaves to its running streams. */
  public static final double MAX_DECODE_SHARE = 1 - MIN_SHARE;

  /**
   * Returns the share of prefills.
   *
   * @param decodeShare share of the engine's time that its running streams need for decode steps
   */
  public static double share(double decodeShare) {
    return Math.clamp(1 - decodeShare, MIN_SHARE, MAX_SHARE);
  }

  /**
   * Returns by how much the paced backlog may exceed the prefill time of the prompts that wait for
   * their first event, in milliseconds.
   *
   * @param prefillShare share of prefills
   */
  static double maxExcessMillis(double prefillShare) {
    return MAX_PACED_EXCESS_MILLIS
        + MAX_DECODE_EXCESS_MILLIS * (MAX_SHARE - prefillShare) / MAX_SHARE;
  }
}
