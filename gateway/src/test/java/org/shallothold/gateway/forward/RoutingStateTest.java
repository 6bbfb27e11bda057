package org.shallothold.gateway.forward;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import io.netty.channel.DefaultEventLoop;
import io.netty.channel.EventLoop;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.shallothold.core.membership.ServerEntry;
import org.shallothold.core.publish.PublishedItem;
import org.shallothold.core.publish.PublishedPosition;
import org.shallothold.core.publish.PublishedState;
import org.shallothold.core.publish.RestoreRules;
import org.shallothold.core.route.CallerLimits;
import org.shallothold.core.route.RouteConfiguration;
import org.shallothold.gateway.forward.port.PublishedDecoder;
import org.shallothold.gateway.forward.port.PublishedSource;
import org.shallothold.gateway.forward.port.PublishedTopic;
import org.shallothold.runtime.logging.StructuredLog;

/** Which servers a gateway uses while the platform comes and goes. */
class RoutingStateTest {

  private static final String SERVER = "one";
  private static final long ITEM_LIFETIME_MILLIS = 300;

  private final EventLoop eventLoop = new DefaultEventLoop();
  private final ForwardMetrics metrics = ForwardMetrics.create();
  private final ByteArrayOutputStream output = new ByteArrayOutputStream();
  private final StructuredLog log =
      StructuredLog.start(new PrintStream(output, true, StandardCharsets.UTF_8), "routing-test");
  private final RoutingState state =
      new RoutingState(
          eventLoop,
          new SingleServerDecoder(),
          new TestTranslation(),
          log,
          metrics,
          ITEM_LIFETIME_MILLIS);

  @AfterEach
  void stop() {
    eventLoop.shutdownGracefully();
  }

  private void onEventLoop(Runnable action) {
    eventLoop.submit(action).syncUninterruptibly();
  }

  private boolean isListed() {
    return eventLoop.submit(() -> state.server(SERVER) != null).syncUninterruptibly().getNow();
  }

  private void remove(long revision) {
    state.itemsChanged(
        PublishedTopic.SERVERS,
        List.of(),
        List.of(new PublishedSource.Removal(SERVER, PublishedPosition.withoutEra(revision))),
        PublishedPosition.withoutEra(revision));
  }

  /** Guards against a configuration that isn't taken and leaves no line. */
  @Test
  void configurationWithALowerVersionIsLogged() {
    onEventLoop(
        () -> {
          state.itemsRead(
              PublishedTopic.CONFIGURATION,
              List.of(configuration(7, 1, 5)),
              PublishedPosition.of(1, 5));
          state.itemsChanged(
              PublishedTopic.CONFIGURATION,
              List.of(configuration(6, 1, 6)),
              List.of(),
              PublishedPosition.of(1, 6));
        });
    log.flush();
    String text = output.toString(StandardCharsets.UTF_8);
    assertTrue(text.contains("\"event\":\"configuration_not_taken\",\"version\":6"), text);
  }

  private static PublishedItem configuration(int version, long era, long revision) {
    return new PublishedItem(
        "configuration", new byte[] {(byte) version}, PublishedPosition.of(era, revision));
  }

  /** Guards against counters whose topics are named otherwise than those of the gauges. */
  @Test
  void restoresAreCountedByTheTopicOfTheGauges() {
    onEventLoop(
        () -> {
          state.itemsRead(PublishedTopic.SERVERS, List.of(), PublishedPosition.of(1, 5));
          state.itemsRead(PublishedTopic.SERVERS, List.of(), PublishedPosition.of(2, 4));
          assertEquals(1, metrics.platformRestores.labelValues("servers").get());
        });
  }

  @Nested
  class AfterAnOutage {

    /**
     * Guards against requests to a server that left shortly after an outage ended, because its
     * grace period began with its removal, or ended only with the next round of maintenance.
     */
    @Test
    void removedServerIsUsedNoLongerThanTheGracePeriodAfterContact() throws InterruptedException {
      onEventLoop(
          () -> {
            state.itemsRead(
                PublishedTopic.SERVERS,
                List.of(PublishedItem.of(SERVER, new byte[0], 1)),
                PublishedPosition.withoutEra(1));
            state.readFailed(PublishedTopic.SERVERS, "reset");
          });
      long contactMillis = MonotonicClock.millis();
      onEventLoop(
          () ->
              state.itemsChanged(
                  PublishedTopic.SERVERS, List.of(), List.of(), PublishedPosition.withoutEra(1)));
      Thread.sleep(400);
      onEventLoop(() -> remove(2));
      assertTrue(isListed());
      long goneByMillis = contactMillis + PublishedState.REPUBLISH_GRACE_MILLIS + 150;
      Thread.sleep(goneByMillis - MonotonicClock.millis());
      assertFalse(isListed());
    }
  }

  @Nested
  class RampingUp {

    private boolean rampsUp(String server) {
      return state.rampUps().active(server, MonotonicClock.millis()) != null;
    }

    private void list(long revision, String... servers) {
      state.itemsRead(
          PublishedTopic.SERVERS,
          List.of(servers).stream()
              .map(server -> PublishedItem.of(server, new byte[0], revision))
              .toList(),
          PublishedPosition.withoutEra(revision));
    }

    /** Guards against a gateway that slows all servers down when it starts. */
    @Test
    void serversOfTheFirstListDoNotRampUp() {
      onEventLoop(
          () -> {
            state.rampUps().enable();
            list(1, SERVER);
            assertFalse(rampsUp(SERVER));
            list(2, SERVER, "two");
            assertFalse(rampsUp(SERVER));
            assertTrue(rampsUp("two"));
            list(3, "two");
            list(4, SERVER, "two");
            assertFalse(rampsUp(SERVER), "a server that is listed again did not start");
          });
    }

    /** Guards against windows for all servers after a fault of the gateway's own network. */
    @Test
    void serverThatIsUnreachableAloneForATimeRampsUp() throws InterruptedException {
      onEventLoop(
          () -> {
            state.rampUps().enable();
            list(1, SERVER, "two", "three");
            state.recordUnreachable(Objects.requireNonNull(state.server(SERVER)));
            assertFalse(rampsUp(SERVER), "one failure");
          });
      // The first suspension is over.
      Thread.sleep(450);
      onEventLoop(
          () -> {
            state.recordUnreachable(Objects.requireNonNull(state.server(SERVER)));
            assertTrue(rampsUp(SERVER));
            state.recordUnreachable(Objects.requireNonNull(state.server("two")));
          });
      Thread.sleep(450);
      onEventLoop(
          () -> {
            state.recordUnreachable(Objects.requireNonNull(state.server("two")));
            assertFalse(rampsUp("two"), "two of three servers are unreachable");
          });
    }
  }

  private static final class SingleServerDecoder implements PublishedDecoder {

    @Override
    public Optional<RouteConfiguration> configuration(PublishedItem item) {
      return Optional.of(
          RouteConfiguration.of(
              item.value()[0], List.of(), List.of(), false, Map.of(), CallerLimits.DEFAULT));
    }

    @Override
    public long version(PublishedItem item) {
      return item.value().length == 0 ? RestoreRules.NO_VERSION : item.value()[0];
    }

    @Override
    public Optional<String> evacuatedDomain(PublishedItem item) {
      return Optional.empty();
    }

    @Override
    public Optional<ServerEntry> server(PublishedItem item) {
      return Optional.of(new ServerEntry(item.key(), "desk", "127.0.0.1", 9, "north", 6, false, 1));
    }
  }
}
