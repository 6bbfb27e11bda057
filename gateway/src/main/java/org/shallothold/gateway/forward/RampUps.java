package org.shallothold.gateway.forward;

import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.rate.RampUp;
import org.shallothold.core.route.ColdStart;
import org.shallothold.runtime.logging.LogLine;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.wire.proto.RampUpState;

/**
 * The windows of open requests of the backend servers that started or recovered lately. Without
 * such servers it causes no work. Owned by the event loop.
 */
final class RampUps {

  private static final int UNKNOWN_SLOTS = Integer.MAX_VALUE;

  private final Function<String, @Nullable TrackedServer> listedServers;
  private final Function<String, ColdStart> coldStartByService;
  private final StructuredLog log;
  private final ForwardMetrics metrics;
  // One that is over is kept until its longest duration has passed, so that news of it which come
  // late don't begin it again.
  private final Map<String, RampUp> rampUpsByServer = new HashMap<>();
  private final Map<String, RampUp> activeByServer = new HashMap<>();
  private boolean enabled;
  private Consumer<String> changeListener = serverId -> {};

  /** Why a ramp-up begins. */
  enum Reason {
    /** The gateway saw the server start. */
    START,
    /** The server became cold. */
    COLD,
    /** The server could not be reached for a time. */
    UNREACHABLE,
    /** Another gateway said so. */
    PEER
  }

  /**
   * Creates an instance without ramp-ups.
   *
   * @param listedServers returns a server by its id, or null if it isn't listed
   * @param coldStartByService returns what the servers of a service tolerate after their start
   */
  RampUps(
      Function<String, @Nullable TrackedServer> listedServers,
      Function<String, ColdStart> coldStartByService,
      StructuredLog log,
      ForwardMetrics metrics) {
    this.listedServers = listedServers;
    this.coldStartByService = coldStartByService;
    this.log = log;
    this.metrics = metrics;
  }

  /** Makes servers ramp up from now on; without it they get requests without a window. */
  void enable() {
    enabled = true;
  }

  /**
   * Sets the listener that is called with a server's id when its coordinator should learn at once
   * of what this gateway sent it or got from it.
   */
  void setChangeListener(Consumer<String> listener) {
    changeListener = listener;
  }

  /** Records that a server started or recovered; ignored if that is known. */
  void began(String serverId, long instanceStartMillis, Reason reason) {
    long nowMillis = MonotonicClock.millis();
    RampUp known = rampUpsByServer.get(serverId);
    boolean isKnown =
        known != null
            && (known.covers(nowMillis)
                || (reason == Reason.UNREACHABLE && activeByServer.containsKey(serverId)));
    if (enabled && (!isKnown || isNewInstance(known, instanceStartMillis, reason))) {
      begin(serverId, instanceStartMillis, nowMillis, reason, nowMillis);
    }
  }

  private static boolean isNewInstance(
      @Nullable RampUp known, long instanceStartMillis, Reason reason) {
    return reason == Reason.START
        && known != null
        && known.instanceStartMillis() != instanceStartMillis;
  }

  private RampUp begin(
      String serverId,
      long instanceStartMillis,
      long startedMillis,
      Reason reason,
      long nowMillis) {
    RampUp former = activeByServer.remove(serverId);
    if (former != null) {
      ended(serverId, former, "restarted", nowMillis);
    }
    TrackedServer server = listedServers.apply(serverId);
    RampUp rampUp =
        RampUp.of(
            instanceStartMillis,
            startedMillis,
            server == null ? 0 : safeRequests(server, instanceStartMillis, reason, nowMillis));
    rampUpsByServer.put(serverId, rampUp);
    activeByServer.put(serverId, rampUp);
    log.add(
        LogLine.of("ramp_up_begun")
            .with("server", serverId)
            .with("instance", instanceStartMillis)
            .with("age_millis", rampUp.ageMillis(nowMillis))
            .with("reason", reason.name().toLowerCase(Locale.ROOT))
            .with("window", rampUp.window()));
    changeListener.accept(serverId);
    return rampUp;
  }

  /** Returns the number of requests that are no flood for a server that started or recovered. */
  private int safeRequests(
      TrackedServer server, long instanceStartMillis, Reason reason, long nowMillis) {
    double toleratedInOneSecond =
        coldStartByService.apply(server.entry().service()).requestsPerSecond();
    // What is open may be open at the former instance.
    boolean justStarted =
        reason == Reason.START || server.entry().startedMillis() != instanceStartMillis;
    return Math.max(
        justStarted ? 0 : server.openRequests(nowMillis), (int) Math.ceil(toleratedInOneSecond));
  }

  /** Records what a peer reported. */
  void reported(String serverId, RampUpState state, String peer) {
    if (!enabled || state.getAgeMillis() >= RampUp.MAX_DURATION_MILLIS) {
      return;
    }
    long nowMillis = MonotonicClock.millis();
    long startedMillis = nowMillis - Math.max(0, state.getAgeMillis());
    RampUp rampUp = rampUpsByServer.get(serverId);
    if (rampUp == null || !rampUp.covers(startedMillis)) {
      rampUp = begin(serverId, state.getInstanceStart(), startedMillis, Reason.PEER, nowMillis);
    }
    boolean isSame = rampUp.startedMillis() <= startedMillis + RampUp.SAME_START_MILLIS;
    if (isSame) {
      rampUp.recordPeer(
          peer,
          new RampUp.Counts(Math.max(0, state.getOnTime()), Math.max(0, state.getLate())),
          nowMillis);
    }
  }

  /** Returns the ramp-up of a server; null if the server gets requests without a window. */
  @Nullable RampUp active(String serverId, long nowMillis) {
    if (activeByServer.isEmpty()) {
      return null;
    }
    RampUp rampUp = activeByServer.get(serverId);
    if (rampUp == null || !rampUp.isOver(slots(serverId), nowMillis)) {
      return rampUp;
    }
    activeByServer.remove(serverId);
    ended(
        serverId,
        rampUp,
        rampUp.ageMillis(nowMillis) < RampUp.MAX_DURATION_MILLIS ? "full" : "time",
        nowMillis);
    return null;
  }

  private void ended(String serverId, RampUp rampUp, String outcome, long nowMillis) {
    TrackedServer server = listedServers.apply(serverId);
    RampUp.Counts counts = rampUp.allCounts();
    metrics.rampUps.labelValues(server == null ? "" : server.entry().service(), outcome).inc();
    log.add(
        LogLine.of("ramp_up_ended")
            .with("server", serverId)
            .with("outcome", outcome)
            .with("duration_millis", rampUp.ageMillis(nowMillis))
            .with("window", rampUp.window())
            .with("on_time", counts.onTime())
            .with("late", counts.late()));
  }

  private int slots(String serverId) {
    TrackedServer server = listedServers.apply(serverId);
    return server == null ? UNKNOWN_SLOTS : server.entry().slots();
  }

  /** Ends the ramp-ups whose time is over. */
  void maintain() {
    if (rampUpsByServer.isEmpty()) {
      return;
    }
    long nowMillis = MonotonicClock.millis();
    List.copyOf(activeByServer.keySet()).forEach(serverId -> active(serverId, nowMillis));
    activeByServer.values().forEach(rampUp -> rampUp.recordOverdue(nowMillis));
    rampUpsByServer
        .values()
        .removeIf(rampUp -> rampUp.ageMillis(nowMillis) >= 2 * RampUp.MAX_DURATION_MILLIS);
  }

  // Requests of this gateway

  /**
   * Records that a request is sent to a server.
   *
   * @param expectedMillis expected time to its first event
   */
  void sent(String serverId, long requestNumber, double expectedMillis) {
    RampUp rampUp = activeByServer.get(serverId);
    if (rampUp != null) {
      rampUp.recordSent(requestNumber, expectedMillis, MonotonicClock.millis());
      changeListener.accept(serverId);
    }
  }

  /** Records the first event of a request, or its whole answer. */
  void firstEvent(String serverId, long requestNumber) {
    RampUp rampUp = activeByServer.get(serverId);
    if (rampUp != null && rampUp.recordFirstEvent(requestNumber, MonotonicClock.millis())) {
      changeListener.accept(serverId);
    }
  }

  /** Records that a server refused a request or broke it off. */
  void failed(String serverId, long requestNumber) {
    RampUp rampUp = activeByServer.get(serverId);
    if (rampUp != null) {
      rampUp.recordFailure(requestNumber, MonotonicClock.millis());
      changeListener.accept(serverId);
    }
  }

  /** Records that a request ended without telling anything of its server. */
  void abandoned(String serverId, long requestNumber) {
    RampUp rampUp = activeByServer.get(serverId);
    if (rampUp != null) {
      rampUp.recordAbandoned(requestNumber);
    }
  }

  /** Returns what to tell peers about a server; null if it does not ramp up. */
  @Nullable RampUpState toProto(String serverId, long nowMillis) {
    RampUp rampUp = activeByServer.get(serverId);
    if (rampUp == null || rampUp.ageMillis(nowMillis) >= RampUp.MAX_DURATION_MILLIS) {
      return null;
    }
    rampUp.recordOverdue(nowMillis);
    return RampUpState.newBuilder()
        .setInstanceStart(rampUp.instanceStartMillis())
        .setAgeMillis(rampUp.ageMillis(nowMillis))
        .setOnTime(rampUp.ownCounts().onTime())
        .setLate(rampUp.ownCounts().late())
        .build();
  }
}
