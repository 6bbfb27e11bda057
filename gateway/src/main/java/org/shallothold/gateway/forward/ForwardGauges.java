package org.shallothold.gateway.forward;

import io.prometheus.metrics.core.metrics.Gauge;
import java.util.Locale;
import org.shallothold.core.placement.TrackedServer;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.metrics.Metrics;

/**
 * What a gateway believes and holds at the moment at which its metrics are asked for. Series are by
 * service and not by backend server, as there may be thousands of servers. Owned by the event loop.
 */
final class ForwardGauges {

  private static final double MILLIS_PER_SECOND = 1_000;

  private final Gauge configurationVersion;
  private final Gauge publishedAge;
  private final Gauge platformContact;
  private final Gauge servers;
  private final Gauge backlog;
  private final Gauge connections;
  private final Gauge waiting;
  private final Gauge repeats;
  private final Gauge gateways;
  private final Gauge peerNewsAge;
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
    servers =
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
    connections =
        metrics.gauge("shallothold_backend_connections", "Open connections to backend servers.");
    waiting =
        metrics.gauge(
            "shallothold_waiting_requests", "Requests that wait in the gateway.", "service");
    repeats =
        metrics.gauge(
            "shallothold_repeats_in_window",
            "Repeats that this gateway took from the shared budget within its window.",
            "service");
    gateways = metrics.gauge("shallothold_gateways", "Gateways heard of lately, with this one.");
    peerNewsAge =
        metrics.gauge(
            "shallothold_peer_news_age_seconds",
            "Time since the news of the peer that was heard longest ago.");
    openRequests =
        metrics.gauge("shallothold_forwarded_open_requests", "Requests without an end yet.");
    callerConnections =
        metrics.gauge("shallothold_caller_connections", "Open connections of callers.");
    logLinesDropped =
        metrics.gauge("shallothold_log_lines_dropped", "Log lines that did not fit the ring.");
  }

  static ForwardGauges in(Metrics metrics) {
    return new ForwardGauges(metrics);
  }

  /** Reads what the gateway knows of the platform and of its backend servers. */
  void read(RoutingState state, long nowMillis) {
    configurationVersion.set(
        (double) state.configuration().map(RouteConfiguration::version).orElse(0L));
    for (PublishedTopic topic : PublishedTopic.values()) {
      String name = topic.name().toLowerCase(Locale.ROOT);
      publishedAge.labelValues(name).set(state.readAgeMillis(topic) / MILLIS_PER_SECOND);
      platformContact.labelValues(name).set(state.isOutOfContact(topic) ? 0 : 1);
    }
    servers.clear();
    backlog.clear();
    for (TrackedServer server : state.allServers()) {
      String service = server.entry().service();
      servers.labelValues(service, belief(server, nowMillis)).inc();
      backlog.labelValues(service).inc(server.backlogMillis(nowMillis) / MILLIS_PER_SECOND);
    }
    connections.set(state.connections());
  }

  /** Reads the requests under way. */
  void read(Forwarder forwarder, long nowMillis) {
    openRequests.set(forwarder.openRequests());
    forwarder
        .queues()
        .forEach((service, queue) -> waiting.labelValues(service).set(queue.waiting()));
    forwarder
        .budgets()
        .forEach(
            (service, budget) ->
                repeats.labelValues(service).set(budget.retriesInWindow(nowMillis)));
  }

  /** Sets what this process has to do with others. */
  void read(int gatewayCount, long peerNewsAgeMillis, int callers, long droppedLines) {
    gateways.set(gatewayCount);
    peerNewsAge.set(peerNewsAgeMillis / MILLIS_PER_SECOND);
    callerConnections.set(callers);
    logLinesDropped.set((double) droppedLines);
  }

  private static String belief(TrackedServer server, long nowMillis) {
    if (server.isLeaving()) {
      return "leaving";
    }
    return server.isSuspended(nowMillis) ? "unreachable" : "ready";
  }
}
