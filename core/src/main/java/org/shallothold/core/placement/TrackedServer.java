package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import org.shallothold.core.hash.Hashing;
import org.shallothold.core.membership.ServerEntry;

/**
 * State of one backend server as tracked by a gateway: open requests of the gateway and its peers,
 * estimated prefill backlog and cache contents, speed, failures and what the server's answers
 * reported. Created when the server is first listed; owned by one thread.
 */
public final class TrackedServer {

  // The server's reported load is used for the duration of a typical answer.
  private static final long REPORT_MAX_AGE_MILLIS = 1_000;
  // Peers send their open requests more than once a second; older updates are from a disconnected
  // peer.
  private static final long PEER_LOAD_MAX_AGE_MILLIS = 1_500;
  private static final double SLOWNESS_WEIGHT = 0.2;
  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 20;
  private static final long FIRST_SUSPENSION_MILLIS = 400;
  private static final long MAX_SUSPENSION_MILLIS = 4_000;
  private static final double FAILURE_WEIGHT = 0.1;
  // In shorter times the prefill is masked by the delays of the network and of decode steps.
  private static final double MIN_EXPECTED_MILLIS = 30;
  // In bursts the times to first events differ between servers by a factor of two to three without
  // a straggler. Engines known to be slow take at least four times as long.
  private static final double STRAGGLER_RATIO = 3;
  // The needs of running streams change with each event, but little within this time.
  private static final long PACE_INTERVAL_MILLIS = 100;
  // The sums over the peers are reused for the duration of one dispatch round.
  private static final long PEER_TOTALS_MAX_AGE_MILLIS = 20;
  // Simultaneous gaps of several streams carry the same information about their engine.
  private static final long PAUSE_SAMPLE_INTERVAL_MILLIS = 40;
  // The prompts that an engine is prefilling are already partly done.
  private static final double REMAINING_PREFILL_FRACTION = 0.8;

  private ServerEntry entry;
  private final long idHash;
  private final PrefixCacheEstimate cache = new PrefixCacheEstimate();
  private final ServerSpeed speed = ServerSpeed.unmeasured();

  private final Map<Long, OpenRequest> openRequestsById = new HashMap<>();
  // Sums over the open requests, kept up to date since every placement reads them.
  private double pendingPrefillMillis;
  private int pauseSensitiveStreams;
  private final Map<String, PeerLoad> peerLoads = new HashMap<>();
  private final Map<String, Double> peersSentPrefillMillis = new HashMap<>();
  private PeerTotals peerTotals = PeerTotals.NONE;
  private double sentPrefillMillis;
  private double pacedBacklogMillis;
  private long pacedBacklogUpdatedMillis;
  private final DecodeDemand decodeDemand = DecodeDemand.none();
  private double decodeStepMillis;
  private double prefillShare = PrefillPace.MAX_SHARE;
  private long paceUpdatedMillis = Long.MIN_VALUE / 2;
  private long lastReceivedMillis = Long.MIN_VALUE / 2;
  private int reportedRunning;
  private int reportedWaiting;
  private int openRequestsAtReport;
  private long reportReceivedMillis = Long.MIN_VALUE / 2;
  private double slowness = 1;
  private double relativeSlowness = 1;
  private double failureRate;
  private int consecutiveSuspensions;
  private long suspendedUntilMillis = Long.MIN_VALUE / 2;
  private long lastPauseSampleMillis = Long.MIN_VALUE / 2;
  private boolean announcedLeaving;
  private boolean evacuated;
  private long closedUntilMillis = Long.MIN_VALUE / 2;

  /**
   * An open request of this gateway.
   *
   * @param prefillMillis prefill time that is still pending; 0 after the first event
   * @param pauseSensitive whether prefills put its pause target at risk
   * @param sentMillis time at which it was sent
   * @param started whether its first event has arrived
   */
  private record OpenRequest(
      double prefillMillis, boolean pauseSensitive, long sentMillis, boolean started) {

    private OpenRequest withFirstEvent() {
      return new OpenRequest(0, pauseSensitive, sentMillis, true);
    }
  }

  /**
   * Open requests of one gateway at the server.
   *
   * @param openRequests requests that have not ended
   * @param prefillMillis prefill time of the prompts whose first event has not arrived, in
   *     milliseconds
   * @param pauseSensitiveStreams streams whose pause target prefills put at risk
   * @param receivedMillis time at which the update of a peer arrived
   */
  public record PeerLoad(
      int openRequests, double prefillMillis, int pauseSensitiveStreams, long receivedMillis) {}

  /** Sums of the loads of all peers at one time. */
  private record PeerTotals(
      int openRequests, double prefillMillis, int pauseSensitiveStreams, long computedMillis) {
    private static final PeerTotals NONE = new PeerTotals(0, 0, 0, Long.MIN_VALUE / 2);
  }

  private TrackedServer(ServerEntry entry) {
    this.entry = entry;
    this.idHash = Hashing.of(entry.id());
  }

  /** Returns the state of a server without requests, measurements or reports. */
  public static TrackedServer of(ServerEntry entry) {
    return new TrackedServer(entry);
  }

  /** Sets the number of tokens that the server's memory holds; 0 for plain services. */
  public void setCacheCapacityTokens(long tokens) {
    cache.setCapacityTokens(tokens);
  }

  /** Returns the server's current entry in the list of servers. */
  public ServerEntry entry() {
    return entry;
  }

  /**
   * Replaces the entry of this server. A new instance, recognized by its start time, resets the
   * cache contents, the suspension, the measured slowness and failures, and the announcements of
   * its predecessor. The persistent speed belongs to the machine and is kept at the same address.
   */
  public void updateEntry(ServerEntry changed) {
    if (changed.startedMillis() != entry.startedMillis()) {
      cache.clear();
      slowness = 1;
      failureRate = 0;
      consecutiveSuspensions = 0;
      suspendedUntilMillis = Long.MIN_VALUE / 2;
      announcedLeaving = false;
      closedUntilMillis = Long.MIN_VALUE / 2;
      speed.restarted();
    }
    if (!changed.host().equals(entry.host())) {
      speed.moved();
    }
    entry = changed;
  }

  /**
   * Records that a request is sent to the server. An open request with the same id is replaced.
   *
   * @param requestId id that this gateway gave the request
   * @param profile properties of the request
   * @param prefillMillis estimated prefill time, in milliseconds
   * @param pauseSensitive whether prefills put its pause target at risk
   * @param nowMillis current time
   */
  public void recordSent(
      long requestId,
      RequestProfile profile,
      double prefillMillis,
      boolean pauseSensitive,
      long nowMillis) {
    recordEnd(requestId);
    openRequestsById.put(
        requestId, new OpenRequest(prefillMillis, pauseSensitive, nowMillis, false));
    pendingPrefillMillis += prefillMillis;
    pauseSensitiveStreams += pauseSensitive ? 1 : 0;
    sentPrefillMillis += prefillMillis;
    addPacedBacklog(prefillMillis, nowMillis);
    long[] chain = profile.chainHashes();
    for (int i = 0; i < chain.length; i++) {
      cache.recordUse(chain[i], profile.parts().get(i).tokens());
    }
    cache.recordUnsharedTokens(profile.outputTokens());
  }

  /**
   * Returns the sum of the estimated prefill times of all requests that this gateway sent to the
   * server since it was listed, in milliseconds.
   */
  public double sentPrefillMillis() {
    return sentPrefillMillis;
  }

  /**
   * Updates a peer's {@link #sentPrefillMillis}. The first value of a peer is only a baseline: what
   * the peer sent before does not count.
   *
   * @param peer process id of the peer; a restarted peer counts from zero again
   * @param totalMillis sum that the peer reported, in milliseconds
   * @param millisPerPrefillToken prefill time for each prompt token, in milliseconds
   * @param nowMillis current time
   */
  public void updatePeerSentPrefillMillis(
      String peer, double totalMillis, double millisPerPrefillToken, long nowMillis) {
    Double previousMillis = peersSentPrefillMillis.put(peer, totalMillis);
    if (previousMillis != null) {
      double addedMillis =
          totalMillis >= previousMillis ? totalMillis - previousMillis : totalMillis;
      // The sum includes the shared parts that the peer also reports one by one. Counting them
      // twice makes the cache estimate drop entries too early rather than too late.
      addPacedBacklog(addedMillis, nowMillis);
      cache.recordUnsharedTokens((int) (addedMillis / millisPerPrefillToken));
    }
  }

  /**
   * Records the first event of a request, which ends its prefill and updates the server's slowness.
   * Does nothing if the request is not open or had its first event.
   *
   * @param requestId id that this gateway gave the request
   * @param expectedMillis estimated time from sending the request to its first event
   * @param nowMillis current time
   */
  public void recordFirstEvent(long requestId, double expectedMillis, long nowMillis) {
    OpenRequest request = openRequestsById.get(requestId);
    if (request == null || request.started()) {
      return;
    }
    openRequestsById.put(requestId, request.withFirstEvent());
    pendingPrefillMillis -= request.prefillMillis();
    double observedMillis = Math.max(1, nowMillis - request.sentMillis());
    if (isPrefillSlowed()) {
      // The engine can't have prefilled the prompt for longer than that.
      addPacedBacklog(-Math.max(0, request.prefillMillis() - observedMillis), nowMillis);
    }
    double ratio = observedMillis / Math.max(MIN_EXPECTED_MILLIS, expectedMillis);
    slowness += SLOWNESS_WEIGHT * (Math.clamp(ratio, MIN_SLOWNESS, MAX_SLOWNESS) - slowness);
  }

  /**
   * Records that a request has ended at the server or was never sent; does nothing if it is not
   * open.
   */
  public void recordEnd(long requestId) {
    decodeDemand.remove(requestId);
    OpenRequest request = openRequestsById.remove(requestId);
    if (request == null) {
      return;
    }
    pendingPrefillMillis -= request.prefillMillis();
    pauseSensitiveStreams -= request.pauseSensitive() ? 1 : 0;
    if (openRequestsById.isEmpty()) {
      // Discards the accumulated rounding errors.
      pendingPrefillMillis = 0;
    }
  }

  /** Records a complete answer. */
  public void recordSuccess() {
    consecutiveSuspensions = 0;
    failureRate -= FAILURE_WEIGHT * failureRate;
  }

  /** Records an answer that reported a failure of the request. */
  public void recordFailure() {
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
  }

  /**
   * Records that the server is unreachable or stopped sending, and suspends it. The suspension
   * doubles each time until the server gives a complete answer, up to a limit.
   */
  public void recordUnreachable(long nowMillis) {
    recordFailure();
    if (nowMillis < suspendedUntilMillis) {
      return;
    }
    long suspensionMillis =
        Math.min(
            MAX_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS << Math.min(consecutiveSuspensions, 6));
    consecutiveSuspensions++;
    suspendedUntilMillis = nowMillis + suspensionMillis;
  }

  /** Returns whether the server was unreachable more than once since its last complete answer. */
  public boolean isRepeatedlyUnreachable() {
    return consecutiveSuspensions > 1;
  }

  /**
   * Records that the server announced in an answer that it is leaving; only a new instance resets
   * this.
   */
  public void markLeaving() {
    announcedLeaving = true;
  }

  /** Returns whether the server is leaving, according to its entry or to one of its answers. */
  public boolean isLeaving() {
    return announcedLeaving || entry.leaving();
  }

  /** Sets whether the operators evacuate the server's failure domain. */
  public void setEvacuated(boolean evacuated) {
    this.evacuated = evacuated;
  }

  /** Returns whether the operators evacuate the server's failure domain. */
  public boolean isEvacuated() {
    return evacuated;
  }

  /** Returns whether the server may get new requests: it neither leaves nor is evacuated. */
  public boolean acceptsNewWork() {
    return !isLeaving() && !evacuated;
  }

  /** Records that the server asked this gateway to send it nothing until the given time. */
  public void recordClosedUntil(long millis) {
    closedUntilMillis = Math.max(closedUntilMillis, millis);
  }

  /**
   * Returns how long the server still wants no requests from this gateway, in milliseconds; 0 if it
   * accepts requests.
   */
  public long closedMillis(long nowMillis) {
    return Math.max(0, closedUntilMillis - nowMillis);
  }

  /** Records that a part of an answer arrived from the server. */
  public void recordBytesReceived(long nowMillis) {
    lastReceivedMillis = nowMillis;
  }

  /** Returns whether nothing has arrived from the server since the given time. */
  public boolean silentSince(long millis) {
    return lastReceivedMillis < millis;
  }

  /**
   * Records the load that the server reported in an answer.
   *
   * @param running requests that the server runs
   * @param waiting requests that wait at the server
   * @param nowMillis current time
   */
  public void recordReportedLoad(int running, int waiting, long nowMillis) {
    reportedRunning = running;
    reportedWaiting = waiting;
    openRequestsAtReport = openRequestsById.size();
    reportReceivedMillis = nowMillis;
  }

  /** Returns the server's speed compared with the others of its service. */
  public ServerSpeed speed() {
    return speed;
  }

  /**
   * Records how long work takes at the server at the moment, as it stated in an answer.
   *
   * @param percent time that work takes, in per cent of the usual time
   * @param nowMillis current time
   */
  public void recordMomentarySlowness(int percent, long nowMillis) {
    addPacedBacklog(0, nowMillis);
    speed.recordStatement(percent, nowMillis);
  }

  /**
   * Records how long work took at the server, as it stated to a peer.
   *
   * @param percent time that work took, in per cent of the usual time
   * @param ageMillis time since the statement
   * @param nowMillis current time
   */
  public void recordPeerMomentarySlowness(int percent, long ageMillis, long nowMillis) {
    addPacedBacklog(0, nowMillis);
    speed.recordPeerStatement(percent, nowMillis - Math.max(0, ageMillis));
  }

  /** Sets the persistent ratio of the time that work takes here to the median server's time. */
  void setSpeedRatio(double ratio, long nowMillis) {
    if (ratio != speed.ratio()) {
      addPacedBacklog(0, nowMillis);
      speed.setRatio(ratio);
    }
  }

  /** Replaces the open requests of a peer at this server. */
  public void updatePeerLoad(String peer, PeerLoad load) {
    peerLoads.put(peer, load);
    peerTotals = PeerTotals.NONE;
  }

  /** Removes the open requests of a peer; does nothing if there are none. */
  public void removePeer(String peer) {
    peerLoads.remove(peer);
    decodeDemand.removePeer(peer);
    peerTotals = PeerTotals.NONE;
  }

  /**
   * Records that a peer's request makes the server prefill or reuse the part at the end of a chain.
   */
  public void recordPeerPrefill(long chainHash, int tokens) {
    cache.recordUse(chainHash, tokens);
  }

  /** Returns the open requests of this gateway, as sent to peers. */
  public PeerLoad ownLoad(long nowMillis) {
    return new PeerLoad(
        openRequestsById.size(),
        Math.max(0, pendingPrefillMillis),
        pauseSensitiveStreams,
        nowMillis);
  }

  /** Returns the number of open requests of this gateway, each of which uses its own connection. */
  public int ownOpenRequests() {
    return openRequestsById.size();
  }

  /**
   * Returns the number of open requests of this gateway and its peers, or the number derived from a
   * recent report of the server if that is higher.
   */
  public int openRequests(long nowMillis) {
    int openRequests = openRequestsById.size() + peerTotals(nowMillis).openRequests();
    return Math.max(openRequests, reportedOpenRequests(REPORT_MAX_AGE_MILLIS, nowMillis).orElse(0));
  }

  /**
   * Returns the number of open requests derived from the last report of the server; empty if it is
   * older than the given age.
   */
  OptionalInt reportedOpenRequests(long maxAgeMillis, long nowMillis) {
    return nowMillis - reportReceivedMillis > maxAgeMillis
        ? OptionalInt.empty()
        : OptionalInt.of(
            reportedRunning + reportedWaiting + openRequestsById.size() - openRequestsAtReport);
  }

  /**
   * Returns the estimated time to prefill all prompts that wait or are being prefilled, in
   * milliseconds.
   */
  public double backlogMillis(long nowMillis) {
    double pendingMillis = pendingMillis(nowMillis);
    return Math.max(
        pendingMillis,
        Math.min(
            pacedBacklogMillis(nowMillis),
            pendingMillis + PrefillPace.maxExcessMillis(prefillShare)));
  }

  private double pendingMillis(long nowMillis) {
    return Math.max(0, pendingPrefillMillis) * REMAINING_PREFILL_FRACTION
        + peerTotals(nowMillis).prefillMillis();
  }

  private void addPacedBacklog(double prefillMillis, long nowMillis) {
    pacedBacklogMillis = Math.max(0, pacedBacklogMillis(nowMillis) + prefillMillis);
    pacedBacklogUpdatedMillis = nowMillis;
  }

  /**
   * Returns the prefill time that is left if the engine prefills for its share of the time. Prompts
   * sent at this pace leave it the rest for the decode steps of its running streams.
   */
  private double pacedBacklogMillis(long nowMillis) {
    return Math.max(
        0,
        pacedBacklogMillis
            - prefillShare * (nowMillis - pacedBacklogUpdatedMillis) / timeFactor(nowMillis));
  }

  /** Returns the demand of the streams that run at the engine. */
  public DecodeDemand decodeDemand() {
    return decodeDemand;
  }

  /** Returns the share of the engine's time that this gateway's streams need, in [0, 1]. */
  public double ownDecodeShare(long nowMillis) {
    return decodeDemand.ownShare(decodeStepMillis, nowMillis);
  }

  /** Returns the share of its time for which the engine gets prompts to prefill. */
  public double prefillShare() {
    return prefillShare;
  }

  /** Returns whether the engine gets fewer prompts because its running streams need more time. */
  public boolean isPrefillSlowed() {
    return prefillShare < PrefillPace.MAX_SHARE;
  }

  /**
   * Adapts the pace of prefills to what the running streams need.
   *
   * @param stepMillis duration of a decode step, in milliseconds; 0 if the pace is fixed
   * @param nowMillis current time
   */
  void updatePace(double stepMillis, long nowMillis) {
    if (nowMillis - paceUpdatedMillis < PACE_INTERVAL_MILLIS) {
      return;
    }
    paceUpdatedMillis = nowMillis;
    decodeStepMillis = stepMillis;
    double changedShare = PrefillPace.share(decodeDemand.share(stepMillis, nowMillis));
    if (changedShare != prefillShare || isPrefillSlowed()) {
      // Until now the backlog went down at the former share.
      addPacedBacklog(0, nowMillis);
      prefillShare = changedShare;
    }
    if (isPrefillSlowed()) {
      pacedBacklogMillis =
          Math.min(
              pacedBacklogMillis,
              pendingMillis(nowMillis) + PrefillPace.maxExcessMillis(prefillShare));
    }
  }

  /**
   * Returns whether a prompt that was sent at the given time or earlier still waits for its first
   * event.
   */
  public boolean prefillingSince(long millis) {
    return openRequestsById.values().stream()
        .anyMatch(request -> !request.started() && request.sentMillis() <= millis);
  }

  /**
   * Starts a measurement of an inter-event gap at this server and returns true, or returns false if
   * the last one started too recently.
   */
  boolean beginPauseSample(long nowMillis) {
    if (nowMillis - lastPauseSampleMillis < PAUSE_SAMPLE_INTERVAL_MILLIS) {
      return false;
    }
    lastPauseSampleMillis = nowMillis;
    return true;
  }

  /**
   * Returns the open streams of this gateway and its peers whose pause target prefills put at risk.
   */
  int pauseSensitiveStreams(long nowMillis) {
    return pauseSensitiveStreams + peerTotals(nowMillis).pauseSensitiveStreams();
  }

  /**
   * Returns the sums of the peers' recent updates, less the prefill time that has passed since they
   * arrived.
   */
  private PeerTotals peerTotals(long nowMillis) {
    if (nowMillis - peerTotals.computedMillis() >= PEER_TOTALS_MAX_AGE_MILLIS) {
      List<PeerLoad> fresh =
          peerLoads.values().stream().filter(load -> isFresh(load, nowMillis)).toList();
      peerTotals =
          new PeerTotals(
              fresh.stream().mapToInt(PeerLoad::openRequests).sum(),
              fresh.stream()
                  .mapToDouble(
                      load ->
                          Math.max(
                              0,
                              load.prefillMillis()
                                  - (nowMillis - load.receivedMillis()) / speed.factor(nowMillis)))
                  .sum(),
              fresh.stream().mapToInt(PeerLoad::pauseSensitiveStreams).sum(),
              nowMillis);
    }
    return peerTotals;
  }

  /**
   * Returns how many tokens at the start of the prompt are probably cached here.
   *
   * @param chain {@link RequestProfile#chainHashes} of the profile
   */
  int cachedTokens(long[] chain, RequestProfile profile) {
    return cache.cachedTokens(chain, profile.parts());
  }

  /** Returns the smoothed ratio of measured to estimated times to first events; 1 if they agree. */
  double slowness() {
    return slowness;
  }

  /**
   * Returns the slowness relative to the median of the service's servers; 1 unless the server is a
   * straggler.
   */
  public double relativeSlowness() {
    return relativeSlowness;
  }

  /**
   * Returns the ratio of the time that work takes here now to its usual time at the service, with
   * the slowness of a straggler.
   */
  double timeFactor(long nowMillis) {
    return relativeSlowness * speed.factor(nowMillis);
  }

  /** Updates the relative slowness from the median slowness of the service's servers. */
  void updateRelativeSlowness(double medianSlowness) {
    double ratio = slowness / medianSlowness;
    relativeSlowness = ratio < STRAGGLER_RATIO ? 1 : ratio;
  }

  /** Returns the smoothed fraction of failed requests, in [0, 1]. */
  double failureRate() {
    return failureRate;
  }

  /** Returns whether the server was recently unreachable and should be avoided. */
  public boolean isSuspended(long nowMillis) {
    return nowMillis < suspendedUntilMillis;
  }

  /** Returns the hash of the server's id, equal in all gateways. */
  long idHash() {
    return idHash;
  }

  private static boolean isFresh(PeerLoad load, long nowMillis) {
    return nowMillis - load.receivedMillis() <= PEER_LOAD_MAX_AGE_MILLIS;
  }
}
