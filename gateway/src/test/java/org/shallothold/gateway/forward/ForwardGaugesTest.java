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
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;
import org.shallothold.runtime.metrics.Metrics;

/** What the metrics tell of a gateway's beliefs. */
class ForwardGaugesTest {

  private final EventLoop eventLoop = new DefaultEventLoop();
  private final Metrics metrics = Metrics.create();
  private final ForwardGauges gauges = ForwardGauges.in(metrics);
  private final RoutingState state =
      new RoutingState(
          eventLoop,
          new Decoder(),
          new TestTranslation(),
          StructuredLog.start(System.out, "gauges-test"));

  @AfterEach
  void stop() {
    eventLoop.shutdownGracefully();
  }

  private void list(String... keys) {
    state.itemsRead(
        PublishedTopic.SERVERS,
        List.of(keys).stream().map(key -> new PublishedItem(key, new byte[0], 1)).toList(),
        1);
  }

  /** Guards against an outage of the platform that no metric shows. */
  @Test
  void showALostPlatform() {
    list("one");
    state.readFailed(PublishedTopic.SERVERS, "reset");
    gauges.read(state, Clock.millis());
    String text = metrics.toPrometheusText();
    assertTrue(text.contains("shallothold_platform_contact{topic=\"servers\"} 0"), text);
    assertTrue(text.contains("shallothold_published_age_seconds{topic=\"servers\"}"), text);
  }

  /** Guards against servers that count as ready though the gateway leaves them alone. */
  @Test
  void showWhatIsBelievedOfServers() {
    list("one", "two", "three");
    state.allServers().iterator().next().recordUnreachable(Clock.millis());
    gauges.read(state, Clock.millis());
    String text = metrics.toPrometheusText();
    assertTrue(
        text.contains("shallothold_backend_servers{service=\"desk\",state=\"ready\"} 2"), text);
    assertTrue(
        text.contains("shallothold_backend_servers{service=\"desk\",state=\"unreachable\"} 1"),
        text);
  }

  @Test
  void showHowOldPeersNewsIs() {
    gauges.read(2, 1_500, 3, 4);
    String text = metrics.toPrometheusText();
    assertTrue(text.contains("shallothold_gateways 2"), text);
    assertTrue(text.contains("shallothold_peer_news_age_seconds 1.5"), text);
    assertTrue(text.contains("shallothold_log_lines_dropped 4"), text);
  }

  private static final class Decoder implements PublishedDecoder {

    @Override
    public Optional<RouteConfiguration> configuration(PublishedItem item) {
      return Optional.empty();
    }

    @Override
    public Optional<ServerEntry> server(PublishedItem item) {
      return Optional.of(new ServerEntry(item.key(), "desk", "10.0.0.1", 80, "north", 6, false, 1));
    }
  }
}
