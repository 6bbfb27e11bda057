package org.shallothold.gateway.request;

import com.google.protobuf.ByteString;
import java.util.HashMap;
import java.util.Map;
import org.jspecify.annotations.Nullable;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.routing.ServerView;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.proto.LoadReport;

/**
 * What this gateway holds of one sidecar: its connection, its latest report and the requests there.
 * Made by {@link ServerTable}; owned by the thread of the requests.
 */
final class ServerState {

  /** Weight of the latest report; reports come once a second, so a straggler shows in seconds. */
  private static final double INTERVAL_SMOOTHING = 0.3;

  /** A speed measured longer ago says nothing, and the server is tried like one without a speed. */
  private static final long INTERVAL_KEPT_MILLIS = 15_000;

  private final LinkKey key;
  private final Map<Long, ActiveRequest> requests = new HashMap<>();

  private BackendServer server;
  private @Nullable PeerConnection connection;
  private ByteString incarnation = ByteString.EMPTY;
  private boolean leaving;
  private boolean retired;
  private long heardMillis;
  private long reportMillis;
  private LoadReport report = LoadReport.getDefaultInstance();
  private long outstandingTokens;
  private double intervalMicros;
  private long measuredMillis;

  ServerState(LinkKey key, BackendServer server) {
    this.key = key;
    this.server = server;
  }

  LinkKey key() {
    return key;
  }

  String id() {
    return key.serverId();
  }

  BackendServer server() {
    return server;
  }

  void server(BackendServer updated) {
    server = updated;
    retired = false;
  }

  /** Marks the link as no longer wanted; it closes once its last request is done. */
  void retire() {
    retired = true;
  }

  boolean isRetired() {
    return retired;
  }

  /** Takes a new connection; a new incarnation of the sidecar is not the one that was leaving. */
  void connected(PeerConnection opened, ByteString newIncarnation, boolean isLeaving, long now) {
    if (!incarnation.isEmpty() && !newIncarnation.equals(incarnation)) {
      leaving = false;
      intervalMicros = 0;
      report = LoadReport.getDefaultInstance();
    }
    connection = opened;
    incarnation = newIncarnation;
    leaving = leaving || isLeaving;
    heardMillis = now;
    reportMillis = now;
  }

  void disconnected() {
    connection = null;
  }

  @Nullable PeerConnection connection() {
    return connection;
  }

  boolean isConnected() {
    PeerConnection open = connection;
    return open != null && open.isOpen();
  }

  /** Returns whether new work may be sent: connected, not leaving and not backed up. */
  boolean takesWork() {
    PeerConnection open = connection;
    return open != null
        && open.isOpen()
        && open.isWritable()
        && !leaving
        && !retired
        && !server.draining();
  }

  boolean isLeaving() {
    return leaving;
  }

  void leaving(boolean isLeaving) {
    leaving = isLeaving;
  }

  void heard(long now) {
    heardMillis = now;
  }

  long silenceMillis(long now) {
    return now - heardMillis;
  }

  void report(LoadReport latest, long now) {
    report = latest;
    reportMillis = now;
    if (latest.getTokenIntervalMicros() > 0) {
      measured(latest.getTokenIntervalMicros(), now);
    }
  }

  LoadReport report() {
    return report;
  }

  int waiting() {
    return report.getWaitingByTierList().stream().mapToInt(Integer::intValue).sum();
  }

  private void measured(long micros, long now) {
    intervalMicros = intervalMicros(now);
    measuredMillis = now;
    intervalMicros =
        intervalMicros == 0
            ? micros
            : intervalMicros + INTERVAL_SMOOTHING * (micros - intervalMicros);
  }

  /** Returns the smoothed time between tokens, in microseconds; 0 if it isn't known now. */
  double intervalMicros(long now) {
    return now - measuredMillis > INTERVAL_KEPT_MILLIS ? 0 : intervalMicros;
  }

  void add(ActiveRequest request, long tokens) {
    requests.put(request.number(), request);
    outstandingTokens += tokens;
  }

  void remove(ActiveRequest request, long tokens) {
    if (requests.remove(request.number()) != null) {
      outstandingTokens -= tokens;
    }
  }

  void delivered(long tokens) {
    outstandingTokens -= tokens;
  }

  Map<Long, ActiveRequest> requests() {
    return requests;
  }

  ServerView view(boolean prefixCached, long now) {
    return new ServerView(
        id(),
        outstandingTokens,
        requests.size(),
        report.getRunning(),
        waiting(),
        now - reportMillis,
        report.getEngineRunning(),
        server.maxRunning(),
        (long) intervalMicros(now),
        prefixCached);
  }
}
