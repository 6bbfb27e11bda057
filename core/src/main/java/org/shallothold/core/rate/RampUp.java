package org.shallothold.core.rate;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;

/**
 * The window of open requests of one server that started or recovered. It starts small, grows by
 * one with each first event that was on time and halves at once when the server lags, refuses a
 * request or breaks one off. Every gateway counts what its own requests met and tells the others;
 * the server's coordinator lets no more requests be open than the window. Not thread-safe.
 */
public final class RampUp {

  /** Longest duration, in milliseconds. */
  public static final long MAX_DURATION_MILLIS = 10_000;

  /** Window of a server that has no open requests. */
  public static final int INITIAL_WINDOW = 4;

  /**
   * Difference up to which two gateways mean the same ramp-up, in milliseconds: they learn of a
   * start one after the other, from the platform or from each other.
   */
  public static final long SAME_START_MILLIS = 2_000;

  // Times to first events differ by this factor between servers that don't lag.
  private static final double LATE_RATIO = 3;
  // In shorter times the delays of the network and of other requests dominate.
  private static final double MIN_EXPECTED_MILLIS = 50;
  // A permit takes this long to become an open request that the coordinator knows of.
  private static final long PERMIT_VISIBLE_MILLIS = 150;
  private static final int MIN_WINDOW = 1;
  // After a halving, more requests may be open than the window allows, for as long as streams last.
  // One request in this time then shows whether the server still lags.
  private static final long PROBE_INTERVAL_MILLIS = 500;
  // Expected time to a first event at gateways whose requests were late, if this one sent none.
  private static final double DEFAULT_EXPECTED_MILLIS = 300;

  private final long instanceStartMillis;
  private final long startedMillis;
  // By number, the time until which the first event is on time.
  private final Map<Long, Long> pendingRequests = new LinkedHashMap<>();
  private final Map<String, Counts> countsByPeer = new HashMap<>();
  private final Deque<Long> issuedMillis = new ArrayDeque<>();
  private double window;
  private long shrunkMillis = Long.MIN_VALUE / 2;
  private long lastIssuedMillis = Long.MIN_VALUE / 2;
  private double expectedMillis = DEFAULT_EXPECTED_MILLIS;
  private Counts own = Counts.NONE;

  /**
   * Answers that one gateway counted since the start of the ramp-up.
   *
   * @param onTime requests whose first event was on time
   * @param late requests that were late, refused or broken off
   */
  public record Counts(int onTime, int late) {
    private static final Counts NONE = new Counts(0, 0);
  }

  private RampUp(long instanceStartMillis, long startedMillis, int window) {
    this.instanceStartMillis = instanceStartMillis;
    this.startedMillis = startedMillis;
    this.window = window;
  }

  /**
   * Returns the ramp-up of a server.
   *
   * @param instanceStartMillis start time of the server's instance, by the server's clock
   * @param startedMillis time at which the server started or recovered
   * @param safeRequests requests that may be open at once without harm; the window isn't smaller
   */
  public static RampUp of(long instanceStartMillis, long startedMillis, int safeRequests) {
    return new RampUp(instanceStartMillis, startedMillis, Math.max(INITIAL_WINDOW, safeRequests));
  }

  /** Returns the start time of the server's instance, by the server's clock. */
  public long instanceStartMillis() {
    return instanceStartMillis;
  }

  /** Returns the time since the server started or recovered, in milliseconds. */
  public long ageMillis(long nowMillis) {
    return Math.max(0, nowMillis - startedMillis);
  }

  /** Returns the number of requests that may be open. */
  public int window() {
    return (int) window;
  }

  /** Returns what this gateway's own requests met. */
  public Counts ownCounts() {
    return own;
  }

  /**
   * Returns whether the server may get as many requests as any other.
   *
   * @param slots number of requests that the server runs at once
   */
  public boolean isOver(int slots, long nowMillis) {
    return window >= slots || ageMillis(nowMillis) >= MAX_DURATION_MILLIS;
  }

  /**
   * Returns whether the ramp-up of a gateway that states its age is this one or an earlier one.
   *
   * @param otherStartedMillis time of its start, by this gateway's clock
   */
  public boolean covers(long otherStartedMillis) {
    return otherStartedMillis <= startedMillis + SAME_START_MILLIS;
  }

  /**
   * Records that this gateway sends a request to the server.
   *
   * @param firstEventMillis expected time to its first event
   */
  public void recordSent(long requestNumber, double firstEventMillis, long nowMillis) {
    expectedMillis = Math.max(MIN_EXPECTED_MILLIS, firstEventMillis);
    pendingRequests.put(requestNumber, nowMillis + (long) (LATE_RATIO * expectedMillis));
  }

  /**
   * Records the first event of a request.
   *
   * @return whether it was on time and not recorded before
   */
  public boolean recordFirstEvent(long requestNumber, long nowMillis) {
    recordOverdue(nowMillis);
    if (pendingRequests.remove(requestNumber) == null) {
      return false;
    }
    own = new Counts(own.onTime() + 1, own.late());
    window += 1;
    return true;
  }

  /** Records that the server refused a request or broke it off before its first event. */
  public void recordFailure(long requestNumber, long nowMillis) {
    if (pendingRequests.remove(requestNumber) != null) {
      recordLate(nowMillis);
    }
  }

  /** Records that a request ended without telling anything of the server. */
  public void recordAbandoned(long requestNumber) {
    pendingRequests.remove(requestNumber);
  }

  /** Counts the requests as late whose first event is overdue. */
  public void recordOverdue(long nowMillis) {
    Iterator<Long> dueMillis = pendingRequests.values().iterator();
    while (dueMillis.hasNext()) {
      if (dueMillis.next() < nowMillis) {
        dueMillis.remove();
        recordLate(nowMillis);
      }
    }
  }

  /**
   * Records what another gateway counted.
   *
   * @param peer process id of the gateway
   */
  public void recordPeer(String peer, Counts counts, long nowMillis) {
    Counts former = countsByPeer.getOrDefault(peer, Counts.NONE);
    countsByPeer.put(peer, counts);
    window += Math.max(0, counts.onTime() - former.onTime());
    if (counts.late() > former.late()) {
      halve(nowMillis);
    }
  }

  private void recordLate(long nowMillis) {
    own = new Counts(own.onTime(), own.late() + 1);
    halve(nowMillis);
  }

  /** Halves the window, at most once while the requests of the larger window are answered. */
  private void halve(long nowMillis) {
    if (nowMillis - shrunkMillis < expectedMillis) {
      return;
    }
    shrunkMillis = nowMillis;
    window = Math.max(MIN_WINDOW, window / 2);
  }

  /**
   * Returns whether a permit for one more request may be issued.
   *
   * @param openRequests open requests of all gateways at the server, as this gateway knows them
   * @param share part of the window that this gateway may issue, since it can't reach the others
   */
  public boolean hasRoom(int openRequests, double share, long nowMillis) {
    recordOverdue(nowMillis);
    issuedMillis.removeIf(millis -> nowMillis - millis > PERMIT_VISIBLE_MILLIS);
    boolean probes = nowMillis - Math.max(lastIssuedMillis, shrunkMillis) >= PROBE_INTERVAL_MILLIS;
    return probes
        || openRequests + issuedMillis.size() < Math.max(MIN_WINDOW, (int) (window * share));
  }

  /** Returns the time at which the ramp-up began, by this gateway's clock. */
  public long startedMillis() {
    return startedMillis;
  }

  /** Records that a permit was issued. */
  public void recordIssued(long nowMillis) {
    issuedMillis.addLast(nowMillis);
    lastIssuedMillis = nowMillis;
  }

  /** Returns what all gateways are known to have counted. */
  public Counts allCounts() {
    return new Counts(
        own.onTime() + countsByPeer.values().stream().mapToInt(Counts::onTime).sum(),
        own.late() + countsByPeer.values().stream().mapToInt(Counts::late).sum());
  }
}
