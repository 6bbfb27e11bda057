package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;

/**
 * Compares the persistent speeds of one service's servers and sets the ratio of each to the median.
 * All ratios are exactly 1 while the speeds hardly differ or too little is measured. Owned by one
 * thread.
 */
public final class ServerSpeeds {

  // With fewer samples, servers of equal speed can seem to differ by a fifth.
  private static final int MIN_SAMPLES = 50;
  private static final int MIN_SAMPLES_OF_KIND = 10;
  private static final int MIN_MEASURED_SERVERS = 3;
  // Ratio of the slowest to the fastest server from which the ratios apply, and below which they no
  // longer do.
  private static final double MIN_SPREAD = 1.2;
  private static final double END_SPREAD = 1.15;
  private static final double MIN_RATIO = 0.4;
  private static final double MAX_RATIO = 3;
  private static final long UPDATE_INTERVAL_MILLIS = 250;

  private boolean applied;
  private long updatedMillis = Long.MIN_VALUE / 2;
  private int measuredServers;
  private double spread = 1;
  private List<TrackedServer> order = List.of();

  private ServerSpeeds() {}

  /** Returns an instance with nothing measured. */
  static ServerSpeeds create() {
    return new ServerSpeeds();
  }

  /** Sets the ratio of each server of the service; does nothing within a short time after that. */
  void update(Collection<TrackedServer> servers, long nowMillis) {
    if (nowMillis - updatedMillis < UPDATE_INTERVAL_MILLIS) {
      return;
    }
    updatedMillis = nowMillis;
    measure(servers);
    List<Double> logRatios =
        servers.stream()
            .filter(ServerSpeeds::isMeasured)
            .map(server -> server.speed().measuredLogRatio())
            .sorted()
            .toList();
    measuredServers = logRatios.size();
    boolean comparable = measuredServers >= comparableServers(servers);
    spread = comparable ? Math.exp(logRatios.getLast() - logRatios.getFirst()) : 1;
    applied = spread > (applied ? END_SPREAD : MIN_SPREAD);
    double medianLogRatio = comparable ? logRatios.get(measuredServers / 2) : 0;
    servers.forEach(
        server ->
            server.setSpeedRatio(
                applied && isMeasured(server)
                    ? Math.clamp(
                        Math.exp(server.speed().measuredLogRatio() - medianLogRatio),
                        MIN_RATIO,
                        MAX_RATIO)
                    : 1,
                nowMillis));
  }

  /**
   * Sets this gateway's own measurement of each server: the ratio to the median server in the most
   * reliable kind of times that was measured there. The median is over servers, not over samples,
   * and is not derived from earlier ratios, so that there is no feedback.
   */
  private static void measure(Collection<TrackedServer> servers) {
    Map<SpeedMeter.Kind, Double> medians = new EnumMap<>(SpeedMeter.Kind.class);
    for (SpeedMeter.Kind kind : SpeedMeter.Kind.values()) {
      List<Double> means =
          servers.stream()
              .map(server -> server.speed().times(kind))
              .filter(ServerSpeeds::hasEnough)
              .map(SmoothedLog::mean)
              .sorted()
              .toList();
      if (means.size() >= comparableServers(servers)) {
        medians.put(kind, means.get(means.size() / 2));
      }
    }
    servers.forEach(server -> measure(server.speed(), medians));
  }

  private static void measure(ServerSpeed speed, Map<SpeedMeter.Kind, Double> medians) {
    medians.entrySet().stream()
        .filter(median -> hasEnough(speed.times(median.getKey())))
        .findFirst()
        .ifPresentOrElse(
            median -> {
              SmoothedLog times = speed.times(median.getKey());
              speed.setOwn(times.mean() - median.getValue(), times.samples());
            },
            () -> speed.setOwn(0, 0));
  }

  private static boolean hasEnough(SmoothedLog times) {
    return times.samples() >= MIN_SAMPLES_OF_KIND;
  }

  /** Returns how many of the servers must be measured, so that their median is that of all. */
  private static int comparableServers(Collection<TrackedServer> servers) {
    return Math.max(MIN_MEASURED_SERVERS, (servers.size() + 1) / 2);
  }

  /**
   * Returns the servers with those that are persistently slow last, so that slow engines aren't
   * reserved for streams with short pause targets.
   *
   * @param inService servers that accept new work, in an order that all gateways share
   */
  List<TrackedServer> slowLast(List<TrackedServer> inService) {
    order =
        applied
            ? inService.stream()
                .sorted(Comparator.comparing(server -> server.speed().isSlow()))
                .toList()
            : inService;
    return order;
  }

  /**
   * Returns how many of the last servers of {@link #slowLast} do the work of the given number of
   * median servers.
   */
  long serversForLoad(double medianServers) {
    double remaining = medianServers;
    long count = 0;
    for (TrackedServer server : order.reversed()) {
      if (remaining <= 0) {
        return count;
      }
      remaining -= 1 / server.speed().ratio();
      count++;
    }
    return count + (long) Math.ceil(Math.max(0, remaining));
  }

  /** Returns whether the servers' speeds differ so much that the ratios apply. */
  public boolean isApplied() {
    return applied;
  }

  /** Returns the ratio of the slowest to the fastest measured server; 1 if too few are measured. */
  public double spread() {
    return spread;
  }

  /** Returns the number of servers with enough samples. */
  public int measuredServers() {
    return measuredServers;
  }

  private static boolean isMeasured(TrackedServer server) {
    return server.speed().measuredSamples() >= MIN_SAMPLES;
  }
}
