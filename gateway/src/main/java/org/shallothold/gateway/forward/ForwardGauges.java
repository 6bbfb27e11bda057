package org.shallothold.gateway.forward;

import io.prometheus.metrics.core.metrics.Gauge;
import java.util.DoubleSummaryStatistics;
import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Collectors;
import org.shallothold.core.memory.MemoryBudget;
import org.shallothold.core.memory.RequestMemoryBudget;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.rate.RampUp;
import org.shallothold.core.rate.RateObservation;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.gateway.forward.caller.RequestMemoryState;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.metrics.Metrics;

/**
 * Gauges of a gateway, updated when its metrics are scraped. They are labelled by service and not
 * by backend server, since there may be thousands of servers. Owned by the event loop.
 */
final class ForwardGauges {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Gauge configurationVersion;
  private final Gauge publishedAge;
  private final Gauge platformContact;
  private final Gauge backendServers;
  private final Gauge backlog;
  private final Gauge slowedEngines;
  private final Gauge lowestPrefillShare;
  private final Gauge speedRatio;
  private final Gauge demandedEngines;
  private final Gauge usableEngines;
  private final Gauge backendConnections;
  private final Gauge waitingRequests;
  private final Gauge retries;
  private final Gauge liveGateways;
  private final Gauge rateLimitedServers;
  private final Gauge statedRate;
  private final Gauge coldServers;
  private final Gauge coldRate;
  private final Gauge rampingServers;
  private final Gauge rampUpWindow;
  private final Gauge sendPermits;
  private final Gauge restrictedParts;
  private final Gauge partTrials;
  private final Gauge peerUpdateAge;
  private final Gauge bufferBytes;
  private final Gauge requestMemory;
  private final Gauge openRequests;
  private final Gauge callerConnections;
  private final Gauge logLinesDropped;

  private ForwardGauges(Metrics metrics) {
    configurationVersion =
        metrics.gauge("shallothold_configuration_version", "Configuration version in force.");
    publishedAge =
        metrics.gauge(
            "shallothold_published_age_seconds",
            "Time since the platform last answered for a topic.",
            "topic");
    platformContact =
        metrics.gauge(
            "shallothold_platform_contact",
            "1 if the platform's last answer for a topic was no failure.",
            "topic");
    backendServers =
        metrics.gauge(
            "shallothold_backend_servers",
            "Listed backend servers by what the gateway believes of them.",
            "service",
            "state");
    backlog =
        metrics.gauge(
            "shallothold_backend_backlog_seconds",
            "Estimated time to read all prompts that wait at the servers of a service, summed up.",
            "service");
    slowedEngines =
        metrics.gauge(
            "shallothold_slowed_engines",
            "Engines that get fewer prompts so that their running streams finish in time.",
            "service");
    demandedEngines =
        metrics.gauge(
            "shallothold_demanded_engines",
            "Engines that the prompts which arrived at all gateways in the last second keep busy.",
            "service");
    usableEngines =
        metrics.gauge(
            "shallothold_usable_engines",
            "Engines that take new work, each counted by its share of time for prefills.",
            "service");
    lowestPrefillShare =
        metrics.gauge(
            "shallothold_lowest_prefill_share",
            "Smallest share of its time for which an engine of a service gets prompts to prefill.",
            "service");
    speedRatio =
        metrics.gauge(
            "shallothold_server_time_ratio",
            "Time that work takes at the slowest and the fastest server, relative to the median.",
            "service",
            "server");
    backendConnections =
        metrics.gauge("shallothold_backend_connections", "Open connections to backend servers.");
    waitingRequests =
        metrics.gauge(
            "shallothold_waiting_requests", "Requests that wait in the gateway.", "service");
    retries =
        metrics.gauge(
            "shallothold_repeats_in_window",
            "Repeats that this gateway took from the shared budget within its window.",
            "service");
    rateLimitedServers =
        metrics.gauge(
            "shallothold_rate_limited_servers",
            "Listed backend servers that state a rate limit.",
            "service");
    statedRate =
        metrics.gauge(
            "shallothold_stated_rate_requests_per_second",
            "Sum of the rate limits that backend servers state for all gateways together.",
            "service");
    coldServers =
        metrics.gauge(
            "shallothold_cold_servers", "Listed backend servers that are cold.", "service");
    coldRate =
        metrics.gauge(
            "shallothold_cold_rate_requests_per_second",
            "Sum of the rates at which all gateways may send to cold backend servers.",
            "service");
    rampingServers =
        metrics.gauge(
            "shallothold_ramping_servers",
            "Listed backend servers that started or recovered and have a window.",
            "service");
    rampUpWindow =
        metrics.gauge(
            "shallothold_ramp_up_window_requests",
            "Sum of the open requests that the windows of such servers allow.",
            "service");
    sendPermits =
        metrics.gauge(
            "shallothold_send_permits", "Permits for sends to servers that state a rate limit.");
    restrictedParts =
        metrics.gauge(
            "shallothold_restricted_prompt_parts",
            "Prompt parts that are quarantined or blocked because servers ended on them.",
            "standing");
    partTrials =
        metrics.gauge(
            "shallothold_prompt_part_trials",
            "Quarantined prompt parts that a request is tried with; at the coordinator only.");
    liveGateways =
        metrics.gauge("shallothold_gateways", "Gateways heard of lately, with this one.");
    peerUpdateAge =
        metrics.gauge(
            "shallothold_peer_news_age_seconds",
            "Time since the news of the peer that was heard longest ago.");
    bufferBytes =
        metrics.gauge(
            "shallothold_buffer_bytes",
            "Memory of buffered requests and responses: in use, highest use, and limit.",
            "kind");
    requestMemory =
        metrics.gauge(
            "shallothold_request_memory_bytes",
            "Memory that callers' requests occupy: by state, highest use, and limit.",
            "kind");
    openRequests =
        metrics.gauge("shallothold_forwarded_open_requests", "Requests without an end yet.");
    callerConnections =
        metrics.gauge("shallothold_caller_connections", "Open connections of callers.");
    logLinesDropped =
        metrics.gauge("shallothold_log_lines_dropped", "Log lines that did not fit the ring.");
  }

  static ForwardGauges register(Metrics metrics) {
    return new ForwardGauges(metrics);
  }

  /** Updates the gauges of the platform, the configuration and the backend servers. */
  void updateRoutingState(RoutingState state, long nowMillis) {
    configurationVersion.set(
        (double) state.configuration().map(RouteConfiguration::version).orElse(0L));
    for (PublishedTopic topic : PublishedTopic.values()) {
      String name = topic.label();
      publishedAge.labelValues(name).set(state.readAgeMillis(topic) / MILLIS_PER_SECOND);
      platformContact.labelValues(name).set(state.isPlatformUnreachable(topic) ? 0 : 1);
    }
    backendServers.clear();
    backlog.clear();
    slowedEngines.clear();
    lowestPrefillShare.clear();
    rateLimitedServers.clear();
    speedRatio.clear();
    statedRate.clear();
    Map<String, Double> lowestPrefillShares = new HashMap<>();
    coldServers.clear();
    coldRate.clear();
    rampingServers.clear();
    rampUpWindow.clear();
    Map<String, DoubleSummaryStatistics> ratios =
        state.allServers().stream()
            .collect(
                Collectors.groupingBy(
                    server -> server.entry().service(),
                    Collectors.summarizingDouble(server -> server.speed().ratio())));
    ratios.forEach(
        (service, ratio) -> {
          speedRatio.labelValues(service, "slowest").set(ratio.getMax());
          speedRatio.labelValues(service, "fastest").set(ratio.getMin());
        });
    for (TrackedServer server : state.allServers()) {
      String service = server.entry().service();
      backendServers.labelValues(service, availability(server, nowMillis)).inc();
      backlog.labelValues(service).inc(server.backlogMillis(nowMillis) / MILLIS_PER_SECOND);
      slowedEngines.labelValues(service).inc(server.isPrefillSlowed() ? 1 : 0);
      lowestPrefillShares.merge(service, server.prefillShare(), Math::min);
      double requestsPerSecond = state.statedRate(server.entry());
      if (requestsPerSecond < RateObservation.NO_LIMIT) {
        rateLimitedServers.labelValues(service).inc();
        statedRate.labelValues(service).inc(requestsPerSecond);
      }
      double coldRequestsPerSecond =
          state.coldStarts().requestsPerSecond(server.entry().id(), nowMillis);
      if (coldRequestsPerSecond < RateObservation.NO_LIMIT) {
        coldServers.labelValues(service).inc();
        coldRate.labelValues(service).inc(coldRequestsPerSecond);
      }
      RampUp rampUp = state.rampUps().active(server.entry().id(), nowMillis);
      if (rampUp != null) {
        rampingServers.labelValues(service).inc();
        rampUpWindow.labelValues(service).inc(rampUp.window());
      }
    }
    lowestPrefillShares.forEach(
        (service, share) -> lowestPrefillShare.labelValues(service).set(share));
    backendConnections.set(state.connections());
  }

  /** Updates the gauges of requests in flight, queued requests and retries. */
  void updateRequests(Forwarder forwarder, long nowMillis) {
    openRequests.set(forwarder.openRequestCount());
    MemoryBudget memory = forwarder.memory();
    bufferBytes.labelValues("used").set((double) memory.usedBytes());
    bufferBytes.labelValues("peak").set((double) memory.peakBytes());
    bufferBytes.labelValues("limit").set((double) memory.limitBytes());
    RequestMemoryBudget requests = forwarder.requestMemory();
    requestMemory.labelValues("peak").set((double) requests.peakBytes());
    requestMemory.labelValues("limit").set((double) requests.limitBytes());
    sendPermits.set(forwarder.rateLimits().permits());
    restrictedParts.clear();
    forwarder
        .promptParts()
        .restrictedStandings()
        .forEach(standing -> restrictedParts.labelValues(standing).inc());
    partTrials.set(forwarder.promptParts().runningTrials());
    forwarder
        .queues()
        .forEach(
            (service, queue) -> {
              waitingRequests.labelValues(service).set(queue.waitingCount());
              demandedEngines.labelValues(service).set(queue.demandedEngines());
              usableEngines.labelValues(service).set(queue.usableEngines());
            });
    forwarder
        .retryBudgets()
        .forEach(
            (service, budget) ->
                retries.labelValues(service).set(budget.retriesInWindow(nowMillis)));
  }

  /** Updates the gauges of the memory that callers' requests occupy. */
  void updateRequestMemory(Map<RequestMemoryState, Long> bytesByState) {
    for (RequestMemoryState state : RequestMemoryState.values()) {
      requestMemory
          .labelValues(state.name().toLowerCase(Locale.ROOT))
          .set((double) bytesByState.getOrDefault(state, 0L));
    }
  }

  /**
   * Updates the gauges of peers, callers and the log.
   *
   * @param gatewayCount live gateways, including this one
   * @param peerUpdateAgeMillis age of the oldest of the peers' latest updates; 0 without peers
   * @param callerConnectionCount open connections from callers
   * @param droppedLogLines log lines dropped since the process started
   */
  void updateProcess(
      int gatewayCount, long peerUpdateAgeMillis, int callerConnectionCount, long droppedLogLines) {
    liveGateways.set(gatewayCount);
    peerUpdateAge.set(peerUpdateAgeMillis / MILLIS_PER_SECOND);
    callerConnections.set(callerConnectionCount);
    logLinesDropped.set((double) droppedLogLines);
  }

  private static String availability(TrackedServer server, long nowMillis) {
    if (server.isLeaving()) {
      return "leaving";
    }
    if (server.isEvacuated()) {
      return "evacuated";
    }
    return server.isSuspended(nowMillis) ? "unreachable" : "ready";
  }
}
