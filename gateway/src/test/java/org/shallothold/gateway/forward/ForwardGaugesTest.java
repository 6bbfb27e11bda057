package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.runtime.metrics.Metrics;

/** Values of the gauges for the platform, the servers and the peers. */
class ForwardGaugesTest {

  private final EventLoop eventLoop = new DefaultEventLoop();
  private final Metrics metrics = Metrics.create();
  private final ForwardGauges gauges = ForwardGauges.register(metrics);
  private final RoutingState state =
      new RoutingState(
          eventLoop,
          new TestDecoder(),
          new TestTranslation(),
          StructuredLog.start(System.out, "gauges-test"),
          ForwardMetrics.create(),
          4_000);

  @AfterEach
  void stop() {
    eventLoop.shutdownGracefully();
  }

  private void publishServers(String... ids) {
    state.itemsRead(
        PublishedTopic.SERVERS,
        List.of(ids).stream().map(id -> PublishedItem.of(id, new byte[0], 1)).toList(),
        PublishedPosition.withoutEra(1));
  }

  /** Guards against an outage of the platform that is visible in no metric. */
  @Test
  void lostPlatformContactIsShown() {
    publishServers("one");
    state.readFailed(PublishedTopic.SERVERS, "reset");
    gauges.updateRoutingState(state, MonotonicClock.millis());
    String text = metrics.toPrometheusText();
    assertTrue(text.contains("shallothold_platform_contact{topic=\"servers\"} 0"), text);
    assertTrue(text.contains("shallothold_published_age_seconds{topic=\"servers\"}"), text);
  }

  /** Guards against counting servers as ready to which the gateway sends nothing. */
  @Test
  void unreachableServersAreNotCountedAsReady() {
    publishServers("one", "two", "three");
    state.allServers().iterator().next().recordUnreachable(MonotonicClock.millis());
    gauges.updateRoutingState(state, MonotonicClock.millis());
    String text = metrics.toPrometheusText();
    assertTrue(
        text.contains("shallothold_backend_servers{service=\"desk\",state=\"ready\"} 2"), text);
    assertTrue(
        text.contains("shallothold_backend_servers{service=\"desk\",state=\"unreachable\"} 1"),
        text);
  }

  @Test
  void ageOfPeerUpdatesIsShown() {
    gauges.updateProcess(2, 1_500, 3, 4);
    String text = metrics.toPrometheusText();
    assertTrue(text.contains("shallothold_gateways 2"), text);
    assertTrue(text.contains("shallothold_peer_news_age_seconds 1.5"), text);
    assertTrue(text.contains("shallothold_log_lines_dropped 4"), text);
  }

  private static final class TestDecoder implements PublishedDecoder {

    @Override
    public Optional<RouteConfiguration> configuration(PublishedItem item) {
      return Optional.empty();
    }

    @Override
    public Optional<String> evacuatedDomain(PublishedItem item) {
      return Optional.empty();
    }

    @Override
    public Optional<ServerEntry> server(PublishedItem item) {
      return Optional.of(new ServerEntry(item.key(), "desk", "10.0.0.1", 80, "north", 6, false, 1));
    }
  }
}
