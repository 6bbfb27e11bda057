package org.shallothold.core.placement;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.shallothold.core.hash.Hashing;
import org.shallothold.core.membership.ServerEntry;

/**
 * What a gateway believes of one backend server: its own open requests there, its peers' and what
 * the server's answers told. Made when the server is first listed; owned by one thread.
 */
public final class ServerModel {

  // A report of the server's load is used for as long as a typical answer takes.
  private static final long REPORT_LIFE_MILLIS = 1_000;
  // Peers repeat their open work more than once a second; older news is of a peer that is cut off.
  private static final long PEER_NEWS_LIFE_MILLIS = 1_500;
  private static final double SLOWNESS_WEIGHT = 0.2;
  private static final double MIN_SLOWNESS = 0.5;
  private static final double MAX_SLOWNESS = 20;
  private static final long FIRST_SUSPENSION_MILLIS = 400;
  private static final long LONGEST_SUSPENSION_MILLIS = 4_000;
  private static final double FAILURE_WEIGHT = 0.1;
  // Below this, delays of the network and of the engine's steps hide the time to read.
  private static final double MIN_EXPECTED_MILLIS = 30;
  // Bursts alone make first events differ by two to three times between servers. Engines known as
  // slow take four times as long and more.
  private static final double STRAGGLER_RATIO = 3;
  // Part of its time for which an engine reads prompts; the rest is for its running streams.
  private static final double READING_PART = 0.85;
  // Paced reading beyond the prompts that are known to wait for their first event, in milliseconds:
  // estimates that were too high must not keep work away from an engine that has read everything.
  private static final double MAX_PACED_DEBT_MILLIS = 100;
  // Sums over the peers are used for as long as a round of choices takes.
  private static final long PEER_SUM_LIFE_MILLIS = 20;
  // Pauses of more streams than one tell the same of their engine.
  private static final long PAUSE_SAMPLE_SPACING_MILLIS = 40;
  // Of the prompts being read a part has been read already.
  private static final double REST_OF_READ = 0.8;

  private ServerEntry entry;
  private final long idHash;
  private final PrefixCacheEstimate cache = new PrefixCacheEstimate();

  private final Map<Long, OpenWork> open = new HashMap<>();
  // Sums over the open work, which every choice of a server asks for.
  private double unreadMillis;
  private int tightStreams;
  private final Map<String, PeerLoad> peers = new HashMap<>();
  private final Map<String, Double> peersSentMillis = new HashMap<>();
  private PeerSum peerSum = PeerSum.NONE;
  private double sentReadMillis;
  private double pacedMillis;
  private long pacedAtMillis;
  private long heardMillis = Long.MIN_VALUE / 2;
  private int reportedRunning;
  private int reportedWaiting;
  private int openAtReport;
  private long reportMillis = Long.MIN_VALUE / 2;
  private double slowness = 1;
  private double relativeSlowness = 1;
  private double failureRate;
  private int failuresInRow;
  private long suspendedUntilMillis = Long.MIN_VALUE / 2;
  private long pauseSampleMillis = Long.MIN_VALUE / 2;
  private boolean saidLeaving;
  private long closedUntilMillis = Long.MIN_VALUE / 2;

  private record OpenWork(double readMillis, boolean tight, long sentMillis, boolean started) {

    private OpenWork begun() {
      return new OpenWork(0, tight, sentMillis, true);
    }
  }

  /**
   * Open work of one peer at the server.
   *
   * @param requests requests that have no end yet
   * @param readMillis time to read the prompts whose first event has not come, in milliseconds
   * @param tightStreams streams whose pause target reading puts at risk
   * @param receivedMillis when the news came
   */
  public record PeerLoad(int requests, double readMillis, int tightStreams, long receivedMillis) {}

  private record PeerSum(int requests, double readMillis, int tightStreams, long madeMillis) {
    private static final PeerSum NONE = new PeerSum(0, 0, 0, Long.MIN_VALUE / 2);
  }

  private ServerModel(ServerEntry entry) {
    this.entry = entry;
    this.idHash = Hashing.of(entry.id());
  }

  /** Returns a model of a server that nothing is known of. */
  public static ServerModel of(ServerEntry entry) {
    return new ServerModel(entry);
  }

  /** Sets the tokens that the server's memory holds; 0 for plain services. */
  public void cacheCapacity(long tokens) {
    cache.capacity(tokens);
  }

  /** Returns the server as listed. */
  public ServerEntry entry() {
    return entry;
  }

  /** Takes a changed entry of the same server; a new life forgets what the former one held. */
  public void entry(ServerEntry changed) {
    if (changed.startedMillis() != entry.startedMillis()) {
      cache.clear();
      failuresInRow = 0;
      suspendedUntilMillis = Long.MIN_VALUE / 2;
      saidLeaving = false;
      closedUntilMillis = Long.MIN_VALUE / 2;
    }
    entry = changed;
  }

  /**
   * Notes that a request is sent to the server.
   *
   * @param tight whether reading puts its pause target at risk
   */
  public void sent(long request, Work work, double readMillis, boolean tight, long nowMillis) {
    ended(request);
    open.put(request, new OpenWork(readMillis, tight, nowMillis, false));
    unreadMillis += readMillis;
    tightStreams += tight ? 1 : 0;
    sentReadMillis += readMillis;
    addPaced(readMillis, nowMillis);
    long[] chain = work.chain();
    for (int i = 0; i < chain.length; i++) {
      cache.used(chain[i], work.parts().get(i).tokens());
    }
    cache.displaced(work.outputTokens());
  }

  /** Returns the time to read all prompts that this gateway sent there since it was listed. */
  public double sentReadMillis() {
    return sentReadMillis;
  }

  /**
   * Takes a peer's {@link #sentReadMillis}; what it sent before its first news is not counted.
   *
   * @param peer name of the peer's process; a restarted peer counts from zero again
   * @param tokenMillis time to read one prompt token, in milliseconds
   */
  public void peerSentReadMillis(String peer, double total, double tokenMillis, long nowMillis) {
    Double before = peersSentMillis.put(peer, total);
    if (before != null) {
      double read = total >= before ? total - before : total;
      // Shared parts are in here and in the peer's news of its reads: counted twice, they make the
      // estimate forget early rather than late.
      addPaced(read, nowMillis);
      cache.displaced((int) (read / tokenMillis));
    }
  }

  /** Notes the first event of a request. */
  public void started(long request, double expectedMillis, long nowMillis) {
    OpenWork work = open.get(request);
    if (work == null || work.started()) {
      return;
    }
    open.put(request, work.begun());
    unreadMillis -= work.readMillis();
    double observed = Math.max(1, nowMillis - work.sentMillis());
    double ratio = observed / Math.max(MIN_EXPECTED_MILLIS, expectedMillis);
    slowness += SLOWNESS_WEIGHT * (Math.clamp(ratio, MIN_SLOWNESS, MAX_SLOWNESS) - slowness);
  }

  /** Notes that a request has ended at the server, or that it was never sent. */
  public void ended(long request) {
    OpenWork work = open.remove(request);
    if (work == null) {
      return;
    }
    unreadMillis -= work.readMillis();
    tightStreams -= work.tight() ? 1 : 0;
    if (open.isEmpty()) {
      // Drops the rounding errors of many additions.
      unreadMillis = 0;
    }
  }

  /** Notes a whole answer. */
  public void succeeded() {
    failuresInRow = 0;
    failureRate -= FAILURE_WEIGHT * failureRate;
  }

  /** Notes an answer that says that the request failed. */
  public void failed() {
    failureRate += FAILURE_WEIGHT * (1 - failureRate);
  }

  /** Notes that the server can't be reached or fell silent; it is left alone for a time. */
  public void unreachable(long nowMillis) {
    failed();
    if (nowMillis < suspendedUntilMillis) {
      return;
    }
    long pause =
        Math.min(LONGEST_SUSPENSION_MILLIS, FIRST_SUSPENSION_MILLIS << Math.min(failuresInRow, 6));
    failuresInRow++;
    suspendedUntilMillis = nowMillis + pause;
  }

  /** Notes that an answer of the server said that it leaves; only a new life takes that back. */
  public void saysLeaving() {
    saidLeaving = true;
  }

  /** Returns whether the server leaves, as its entry or one of its answers says. */
  public boolean isLeaving() {
    return saidLeaving || entry.leaving();
  }

  /** Notes that the server asked this gateway to send it nothing until a time. */
  public void closedUntil(long millis) {
    closedUntilMillis = Math.max(closedUntilMillis, millis);
  }

  /** Returns for how long the server wants nothing from this gateway; 0 if it takes requests. */
  public long closedMillis(long nowMillis) {
    return Math.max(0, closedUntilMillis - nowMillis);
  }

  /** Notes that bytes of an answer came from the server. */
  public void heard(long nowMillis) {
    heardMillis = nowMillis;
  }

  /** Returns whether nothing came from the server since a time. */
  public boolean silentSince(long millis) {
    return heardMillis < millis;
  }

  /** Notes what the server said of its load in an answer. */
  public void reported(int running, int waiting, long nowMillis) {
    reportedRunning = running;
    reportedWaiting = waiting;
    openAtReport = open.size();
    reportMillis = nowMillis;
  }

  /** Takes a peer's news of its open work. */
  public void peerLoad(String peer, PeerLoad load) {
    peers.put(peer, load);
    peerSum = PeerSum.NONE;
  }

  /** Forgets what a peer told of its open work. */
  public void forgetPeer(String peer) {
    peers.remove(peer);
    peerSum = PeerSum.NONE;
  }

  /** Takes a peer's news that the server reads or uses a part at the end of a chain. */
  public void peerRead(long chainHash, int tokens) {
    cache.used(chainHash, tokens);
  }

  /** Returns this gateway's open work, as told to peers. */
  public PeerLoad ownLoad(long nowMillis) {
    return new PeerLoad(open.size(), Math.max(0, unreadMillis), tightStreams, nowMillis);
  }

  /** Returns the open requests of this gateway; each has a connection of its own. */
  public int ownOpenRequests() {
    return open.size();
  }

  /** Returns the open requests of this gateway and its peers. */
  public int openRequests(long nowMillis) {
    int known = open.size() + peerSum(nowMillis).requests();
    if (nowMillis - reportMillis > REPORT_LIFE_MILLIS) {
      return known;
    }
    int reportedNow = reportedRunning + reportedWaiting + open.size() - openAtReport;
    return Math.max(known, reportedNow);
  }

  /** Returns the time to read all prompts that wait or are read now, in milliseconds. */
  public double backlogMillis(long nowMillis) {
    double unread = Math.max(0, unreadMillis) * REST_OF_READ + peerSum(nowMillis).readMillis();
    return Math.max(unread, Math.min(paced(nowMillis), unread + MAX_PACED_DEBT_MILLIS));
  }

  private void addPaced(double readMillis, long nowMillis) {
    pacedMillis = paced(nowMillis) + readMillis;
    pacedAtMillis = nowMillis;
  }

  /**
   * Returns the reading that is left if the engine reads for a fixed part of its time. Prompts sent
   * at this pace leave it the rest to produce tokens for its running streams.
   */
  private double paced(long nowMillis) {
    return Math.max(0, pacedMillis - READING_PART * (nowMillis - pacedAtMillis) / relativeSlowness);
  }

  /** Returns whether the engine has had a prompt to read ever since a time. */
  public boolean readingSince(long millis) {
    return open.values().stream().anyMatch(work -> !work.started() && work.sentMillis() <= millis);
  }

  /** Returns whether a pause of one of the server's streams may be measured from now on. */
  boolean beginPauseSample(long nowMillis) {
    if (nowMillis - pauseSampleMillis < PAUSE_SAMPLE_SPACING_MILLIS) {
      return false;
    }
    pauseSampleMillis = nowMillis;
    return true;
  }

  /** Returns the open streams whose pause target reading puts at risk. */
  int tightStreams(long nowMillis) {
    return tightStreams + peerSum(nowMillis).tightStreams();
  }

  /** Returns the sum of the peers' news, of which the reading done since then is taken off. */
  private PeerSum peerSum(long nowMillis) {
    if (nowMillis - peerSum.madeMillis() >= PEER_SUM_LIFE_MILLIS) {
      List<PeerLoad> fresh =
          peers.values().stream().filter(load -> fresh(load, nowMillis)).toList();
      peerSum =
          new PeerSum(
              fresh.stream().mapToInt(PeerLoad::requests).sum(),
              fresh.stream()
                  .mapToDouble(
                      load -> Math.max(0, load.readMillis() - (nowMillis - load.receivedMillis())))
                  .sum(),
              fresh.stream().mapToInt(PeerLoad::tightStreams).sum(),
              nowMillis);
    }
    return peerSum;
  }

  int cachedTokens(long[] chain, Work work) {
    return cache.cachedTokens(chain, work.parts());
  }

  /** Returns how much longer than estimated first events take; 1 if as estimated. */
  double slowness() {
    return slowness;
  }

  /** Returns how much slower than its peers the server is; 1 if it is no straggler. */
  public double relativeSlowness() {
    return relativeSlowness;
  }

  /** Compares the server with the usual slowness of its service. */
  void compareSlowness(double usual) {
    double ratio = slowness / usual;
    relativeSlowness = ratio < STRAGGLER_RATIO ? 1 : ratio;
  }

  double failureRate() {
    return failureRate;
  }

  /** Returns whether the server was out of reach shortly before. */
  public boolean suspended(long nowMillis) {
    return nowMillis < suspendedUntilMillis;
  }

  long idHash() {
    return idHash;
  }

  private static boolean fresh(PeerLoad load, long nowMillis) {
    return nowMillis - load.receivedMillis() <= PEER_NEWS_LIFE_MILLIS;
  }
}
