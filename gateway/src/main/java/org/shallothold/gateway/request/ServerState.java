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
 * This gateway's state of one sidecar: its connection, latest load report and current requests.
 * Created by {@link ServerTable}; confined to the router thread.
 */
final class ServerState {

  /**
   * Weight of the latest report in the moving average. Reports come once a second, so a straggler
   * is detected within seconds.
   */
  private static final double INTERVAL_SMOOTHING_WEIGHT = 0.3;

  /** Older measurements are ignored, so that the server is treated like an unmeasured one. */
  private static final long MAX_INTERVAL_AGE_MILLIS = 15_000;

  private final LinkKey key;
  private final Map<Long, ActiveRequest> requests = new HashMap<>();

  private BackendServer server;
  private @Nullable PeerConnection connection;
  private ByteString incarnation = ByteString.EMPTY;
  private boolean leaving;
  private boolean retired;
  private long lastFrameMillis;
  private long reportMillis;
  private LoadReport report = LoadReport.getDefaultInstance();
  private long outstandingTokens;
  private double intervalMicros;
  private long intervalMeasuredMillis;

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

  /** Marks the connection as no longer required; it is closed after its last request ends. */
  void retire() {
    retired = true;
  }

  boolean isRetired() {
    return retired;
  }

  /**
   * Replaces the connection. If the sidecar has a new incarnation, the leaving mark, the interval
   * and the load report are reset, since they describe the former incarnation.
   */
  void connected(PeerConnection opened, ByteString newIncarnation, boolean isLeaving, long now) {
    if (!incarnation.isEmpty() && !newIncarnation.equals(incarnation)) {
      leaving = false;
      intervalMicros = 0;
      report = LoadReport.getDefaultInstance();
    }
    connection = opened;
    incarnation = newIncarnation;
    leaving = leaving || isLeaving;
    lastFrameMillis = now;
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

  /**
   * Returns whether new work may be sent: the connection is open and writable, and the server is
   * neither leaving, retired nor draining.
   */
  boolean acceptsWork() {
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

  void recordFrame(long now) {
    lastFrameMillis = now;
  }

  long silenceMillis(long now) {
    return now - lastFrameMillis;
  }

  void report(LoadReport latest, long now) {
    report = latest;
    reportMillis = now;
    if (latest.getTokenIntervalMicros() > 0) {
      updateInterval(latest.getTokenIntervalMicros(), now);
    }
  }

  LoadReport report() {
    return report;
  }

  int waiting() {
    return report.getWaitingByTierList().stream().mapToInt(Integer::intValue).sum();
  }

  private void updateInterval(long micros, long now) {
    intervalMicros = intervalMicros(now);
    intervalMeasuredMillis = now;
    intervalMicros =
        intervalMicros == 0
            ? micros
            : intervalMicros + INTERVAL_SMOOTHING_WEIGHT * (micros - intervalMicros);
  }

  /** Returns the smoothed token interval in microseconds; 0 if there is no recent measurement. */
  double intervalMicros(long now) {
    return now - intervalMeasuredMillis > MAX_INTERVAL_AGE_MILLIS ? 0 : intervalMicros;
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

  void reduceOutstandingTokens(long tokens) {
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
