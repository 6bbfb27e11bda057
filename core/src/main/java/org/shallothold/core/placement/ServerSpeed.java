package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.Map;
import java.util.Optional;

/**
 * How long work takes at one server compared with the others of its service: a persistent ratio,
 * measured by all gateways, and a momentary factor, stated by the server. They are kept apart,
 * since one changes within days and the other within a second. Owned by one thread.
 */
public final class ServerSpeed {

  // A gateway's ratio is weighted by its number of samples, up to this number.
  private static final int MAX_WEIGHT_SAMPLES = 200;
  // A new process at the same address mostly runs on the same machine; few new samples decide.
  private static final int SAMPLES_AFTER_RESTART = 20;

  private static final int MIN_REPORTED_SAMPLES = 10;
  private static final double REPORTED_LOG_CHANGE = 0.03;
  private static final double REPORTED_WEIGHT_GROWTH = 1.5;
  // Peers that missed a message have the ratio after this time.
  private static final long REPEAT_REPORT_MILLIS = 10_000;
  private static final long REPEAT_FOR_NEW_PEERS_MILLIS = 1_000;
  // Older statements of the server hardly count by the time that a peer receives them.
  private static final long MAX_SHARED_STATEMENT_AGE_MILLIS = 300;

  private static final double SLOW_RATIO = 1.25;
  private static final double NO_LONGER_SLOW_RATIO = 1.15;

  private final Map<String, SpeedReport> peerReports = new HashMap<>();
  // Sums over the peers, kept up to date since all servers are compared several times a second.
  private int peerSamples;
  private double peerLogSum;
  private SmoothedLog idlePauses = SmoothedLog.create();
  private final MomentarySlowness momentary = MomentarySlowness.unknown();
  private double ownLogRatio;
  private int ownSamples;
  private double ratio = 1;
  private boolean slow;
  private boolean statedToThisGateway;
  private double reportedLogRatio;
  private int reportedWeight;
  private long reportedMillis = Long.MIN_VALUE / 2;
  private boolean hasNewPeers;

  private ServerSpeed() {}

  /** Returns the speed of a server of which nothing is known: that of the median server. */
  static ServerSpeed unmeasured() {
    return new ServerSpeed();
  }

  /**
   * Records the time between two events of a stream here while there was nothing to prefill.
   *
   * @param millis the time, with the momentary slowness
   * @param nowMillis current time
   */
  void recordIdlePause(double millis, long nowMillis) {
    idlePauses.add(millis / momentaryFactor(nowMillis));
  }

  /** Returns the times between events that were measured here, without momentary slowness. */
  SmoothedLog idlePauses() {
    return idlePauses;
  }

  /**
   * Sets this gateway's own measurement.
   *
   * @param logRatio natural logarithm of the ratio of the times here to those at the median server
   * @param samples number of samples behind it
   */
  void setOwn(double logRatio, int samples) {
    ownLogRatio = logRatio;
    ownSamples = samples;
  }

  /** Replaces the report of a peer; ignores one whose values are impossible. */
  public void updatePeer(String peer, SpeedReport report) {
    if (report.isUsable()) {
      removePeer(peer);
      peerReports.put(peer, report);
      peerSamples += weight(report.samples());
      peerLogSum += Math.log(report.ratio()) * weight(report.samples());
    }
  }

  /** Removes the report of a peer that is gone; does nothing if there is none. */
  public void removePeer(String peer) {
    SpeedReport report = peerReports.remove(peer);
    if (report != null) {
      peerSamples -= weight(report.samples());
      peerLogSum -= Math.log(report.ratio()) * weight(report.samples());
    }
  }

  /** Asks for another report of an unchanged ratio, since there are new peers. */
  public void peersAdded() {
    hasNewPeers = true;
  }

  /** Returns this gateway's report if its peers need it now. */
  public Optional<SpeedReport> takeReport(long nowMillis) {
    if (ownSamples < MIN_REPORTED_SAMPLES) {
      return Optional.empty();
    }
    long ageMillis = nowMillis - reportedMillis;
    boolean changed =
        Math.abs(ownLogRatio - reportedLogRatio) > REPORTED_LOG_CHANGE
            || weight(ownSamples) >= reportedWeight * REPORTED_WEIGHT_GROWTH;
    if (!changed
        && ageMillis < REPEAT_REPORT_MILLIS
        && !(hasNewPeers && ageMillis >= REPEAT_FOR_NEW_PEERS_MILLIS)) {
      return Optional.empty();
    }
    reportedLogRatio = ownLogRatio;
    reportedWeight = weight(ownSamples);
    reportedMillis = nowMillis;
    hasNewPeers = false;
    return Optional.of(new SpeedReport(Math.exp(ownLogRatio), ownSamples));
  }

  /**
   * Records what the server stated in a response to this gateway.
   *
   * @param percent time that work takes at the moment, in per cent of the usual time
   * @param nowMillis current time
   */
  void recordStatement(int percent, long nowMillis) {
    momentary.record(percent, nowMillis);
    statedToThisGateway = true;
  }

  /** Records what the server stated to a peer at the given time. */
  void recordPeerStatement(int percent, long atMillis) {
    if (atMillis >= momentary.statedMillis()) {
      momentary.record(percent, atMillis);
      statedToThisGateway = false;
    }
  }

  /**
   * Returns the age of the last statement, in milliseconds, if peers should learn of it: the server
   * stated it to this gateway a short time ago.
   */
  public Optional<Long> sharedStatementAgeMillis(long nowMillis) {
    long ageMillis = nowMillis - momentary.statedMillis();
    return statedToThisGateway && ageMillis <= MAX_SHARED_STATEMENT_AGE_MILLIS
        ? Optional.of(Math.max(0, ageMillis))
        : Optional.empty();
  }

  /** Returns the last statement, in per cent of the usual time. */
  public int statedPercent() {
    return momentary.statedPercent();
  }

  /** Returns whether the server stated its momentary slowness recently. */
  public boolean statesMomentarySlowness(long nowMillis) {
    return momentary.isKnown(nowMillis);
  }

  /** Returns the expected ratio of the time that work takes now to its time over the day. */
  public double momentaryFactor(long nowMillis) {
    return momentary.factor(nowMillis);
  }

  /**
   * Returns the ratio of the time that work takes here to its time at the median server of the
   * service; exactly 1 unless the speeds of the service's servers are known to differ.
   */
  public double ratio() {
    return ratio;
  }

  /** Returns the ratio of the time that work takes here now to its usual time at the service. */
  public double factor(long nowMillis) {
    return ratio * momentaryFactor(nowMillis);
  }

  /** Returns whether the server is persistently much slower than the median. */
  boolean isSlow() {
    return slow;
  }

  /** Sets the ratio to the median server. */
  void setRatio(double changed) {
    ratio = changed;
    slow = changed > (slow ? NO_LONGER_SLOW_RATIO : SLOW_RATIO);
  }

  /** Returns the number of samples of all gateways, as far as they count. */
  int measuredSamples() {
    return weight(ownSamples) + peerSamples;
  }

  /**
   * Returns the mean of what all gateways measured, weighted by their samples, as the natural
   * logarithm of the ratio; 0 without samples.
   */
  double measuredLogRatio() {
    int samples = measuredSamples();
    return samples == 0 ? 0 : (ownLogRatio * weight(ownSamples) + peerLogSum) / samples;
  }

  /** Lets new samples decide soon, since another process has started at the server's address. */
  void restarted() {
    idlePauses.forgetBeyond(SAMPLES_AFTER_RESTART);
    momentary.clear();
  }

  /** Discards everything, since the server moved to another machine. */
  void moved() {
    idlePauses = SmoothedLog.create();
    ownSamples = 0;
    ownLogRatio = 0;
    reportedWeight = 0;
    peerReports.clear();
    peerSamples = 0;
    peerLogSum = 0;
    setRatio(1);
    momentary.clear();
  }

  private static int weight(int samples) {
    return Math.min(MAX_WEIGHT_SAMPLES, samples);
  }
}
