package org.shallothold.core.placement;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.OptionalDouble;

/**
 * Compares the persistent speeds of one service's servers and sets the ratio of each to the median.
 * All ratios are exactly 1 while the speeds hardly differ or too little is measured. Owned by one
 * thread.
 */
public final class ServerSpeeds {

  // With fewer samples, servers of equal speed can seem to differ by a fifth.
  private static final int MIN_SAMPLES = 50;
  private static final int MIN_OWN_SAMPLES = 10;
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

  /**
   * Sets the ratio of each server of the service; does nothing within a short time after that.
   *
   * @param servers all servers of the service
   * @param usualPauseMillis usual time between two events at an engine without prefills, the same
   *     at all gateways; empty if it is not known
   * @param nowMillis current time
   */
  void update(Collection<TrackedServer> servers, OptionalDouble usualPauseMillis, long nowMillis) {
    if (nowMillis - updatedMillis < UPDATE_INTERVAL_MILLIS) {
      return;
    }
    updatedMillis = nowMillis;
    servers.forEach(server -> measure(server.speed(), usualPauseMillis));
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
   * Sets this gateway's own measurement of a server: the ratio of its times between events to those
   * usual at the service. The smoothed times don't contain earlier ratios, so that ratios don't act
   * on themselves.
   */
  private static void measure(ServerSpeed speed, OptionalDouble usualPauseMillis) {
    SmoothedLog pauses = speed.idlePauses();
    if (usualPauseMillis.isPresent() && pauses.samples() >= MIN_OWN_SAMPLES) {
      speed.setOwn(pauses.mean() - Math.log(usualPauseMillis.getAsDouble()), pauses.samples());
    } else {
      speed.setOwn(0, 0);
    }
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
