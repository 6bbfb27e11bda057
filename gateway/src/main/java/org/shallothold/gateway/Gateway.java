package org.shallothold.gateway;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.net.http.HttpClient;
import java.time.Duration;
import java.util.Map;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.random.RandomGenerator;
import org.shallothold.gateway.http.HttpFrontEnd;
import org.shallothold.gateway.peer.OperatorListener;
import org.shallothold.gateway.peer.SidecarLinks;
import org.shallothold.gateway.request.GatewayEvent;
import org.shallothold.gateway.request.RequestMetrics;
import org.shallothold.gateway.request.RequestRouter;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.http.SingleUseHttpClient;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.operator.OperatorEndpoint;
import org.shallothold.runtime.platform.ConfigurationSource;
import org.shallothold.runtime.platform.HttpConfigurationSource;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.runtime.sync.SyncOptions;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Role;

/**
 * Creates and connects the components of a gateway process: request router, sidecar connections,
 * configuration sync, HTTP front end and operators' interface. Shut down with {@link #drain}
 * followed by {@link #close}.
 */
public final class Gateway implements AutoCloseable {

  // Resolution of deadlines. An idle gateway uses 2.0% of a core at 10 ms and 1.6% at 25 ms.
  private static final long TICK_MILLIS = 25;
  private static final int PEER_THREADS = 2;
  private static final long DRAIN_POLL_MILLIS = 10;
  private static final Duration PLATFORM_CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final GatewaySettings settings;
  private final AuditOutput audit;
  private final AtomicBoolean draining;
  private final EventLoopGroup eventLoopGroup;
  private final ScheduledExecutorService timer;
  private final ConfigurationSync sync;
  private final SidecarLinks sidecarLinks;
  private final RequestQueue queue;
  private final PeerServer operatorServer;
  private final HttpFrontEnd httpFrontEnd;

  private Gateway(
      GatewaySettings settings,
      AuditOutput audit,
      AtomicBoolean draining,
      EventLoopGroup eventLoopGroup,
      ScheduledExecutorService timer,
      ConfigurationSync sync,
      SidecarLinks sidecarLinks,
      RequestQueue queue,
      PeerServer operatorServer,
      HttpFrontEnd httpFrontEnd) {
    this.settings = settings;
    this.audit = audit;
    this.draining = draining;
    this.eventLoopGroup = eventLoopGroup;
    this.timer = timer;
    this.sync = sync;
    this.sidecarLinks = sidecarLinks;
    this.queue = queue;
    this.operatorServer = operatorServer;
    this.httpFrontEnd = httpFrontEnd;
  }

  /**
   * Starts a gateway that reads its configuration from the platform over HTTP.
   *
   * @throws IllegalStateException if a listen address can't be bound
   */
  public static Gateway start(GatewaySettings settings, AuditOutput audit) {
    return start(
        settings,
        audit,
        HttpConfigurationSource.of(
            settings.platformUrl(),
            SingleUseHttpClient.of(
                () -> HttpClient.newBuilder().connectTimeout(PLATFORM_CONNECT_TIMEOUT).build())));
  }

  /** Starts a gateway with the given source of the configuration; tests supply their own. */
  static Gateway start(GatewaySettings settings, AuditOutput audit, ConfigurationSource source) {
    ProcessIdentity identity =
        ProcessIdentity.create(
            settings.processId(), Role.ROLE_GATEWAY, settings.failureDomain(), "");
    Metrics metrics = Metrics.create();
    RequestMetrics requestMetrics = RequestMetrics.registerIn(metrics);
    AtomicBoolean draining = new AtomicBoolean();
    EventLoopGroup eventLoopGroup = new NioEventLoopGroup(PEER_THREADS);
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());
    ConfigurationSync sync =
        ConfigurationSync.start(identity, source, audit, metrics, SyncOptions.DEFAULT);
    ConnectionLimits limits = limits(settings.silenceMillis());
    RequestQueue queue = new RequestQueue();
    SidecarLinks sidecarLinks =
        SidecarLinks.create(eventLoopGroup, limits, sync, queue::put, settings.tls().client());
    RequestRouter router =
        RequestRouter.create(
            identity,
            settings.router(),
            sidecarLinks,
            requestMetrics,
            () -> System.nanoTime() / 1_000_000,
            RandomGenerator.getDefault());
    OperatorEndpoint operators =
        OperatorEndpoint.of(
            identity,
            audit,
            () -> sync.current().version(),
            draining::get,
            () -> new OperatorEndpoint.Load(router.inFlight(), 0),
            router::status,
            router::explain);
    // Operator messages are handled on the request thread, which owns the state that they query.
    queue.setConsumer(
        event -> {
          if (event instanceof GatewayEvent.OperatorMessage(var connection, var envelope)) {
            operators.received(connection, envelope);
          } else {
            router.accept(event);
          }
        });
    sync.onChange(changed -> queue.put(new GatewayEvent.ConfigurationChanged(changed)));
    sync.onMembers(members -> queue.put(new GatewayEvent.MembersChanged(members)));
    // The configuration and the members may have been read before the listeners were added.
    queue.put(new GatewayEvent.ConfigurationChanged(sync.current()));
    queue.put(new GatewayEvent.MembersChanged(sync.members()));
    queue.tickEvery(timer, TICK_MILLIS);
    PeerServer operatorServer =
        PeerServer.bind(
            eventLoopGroup,
            settings.operatorListen(),
            limits,
            () -> sync.hello(draining.get()),
            OperatorListener.of(sync, queue::put),
            settings.tls().server());
    HttpFrontEnd httpFrontEnd =
        HttpFrontEnd.start(
            settings.http(),
            identity,
            sync::current,
            () -> !draining.get() && sync.current().version().number() > 0,
            queue,
            requestMetrics,
            metrics);
    return new Gateway(
        settings,
        audit,
        draining,
        eventLoopGroup,
        timer,
        sync,
        sidecarLinks,
        queue,
        operatorServer,
        httpFrontEnd);
  }

  /** Returns the bound port of the callers' HTTP interface. */
  public int httpPort() {
    return httpFrontEnd.port();
  }

  /** Returns the bound port of the operators' interface. */
  public int operatorPort() {
    return operatorServer.port();
  }

  /**
   * Drains the gateway: reports it as not ready, keeps serving for the grace period, then refuses
   * new requests and blocks until those in flight have finished or the drain limit has passed.
   *
   * @return true if all requests finished, false if some were still open at the drain limit
   */
  public boolean drain() {
    draining.set(true);
    audit.record("gateway_leaving", Map.of("grace_ms", Long.toString(settings.drainGraceMillis())));
    sleep(settings.drainGraceMillis());
    httpFrontEnd.refuseNew();
    long deadlineNanos =
        System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.drainLimitMillis());
    while (httpFrontEnd.openRequests() > 0 && System.nanoTime() < deadlineNanos) {
      sleep(DRAIN_POLL_MILLIS);
    }
    int unfinished = httpFrontEnd.openRequests();
    audit.record("gateway_left", Map.of("requests_cut", Integer.toString(unfinished)));
    return unfinished == 0;
  }

  @Override
  public void close() {
    httpFrontEnd.close();
    operatorServer.close();
    sidecarLinks.close();
    sync.close();
    timer.shutdownNow();
    queue.close();
    eventLoopGroup.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** Limits the heartbeat interval to a third of the silence, so two heartbeats may be lost. */
  private static ConnectionLimits limits(int silenceMillis) {
    ConnectionLimits defaults = ConnectionLimits.DEFAULT;
    return new ConnectionLimits(
        defaults.maxFrameBytes(),
        Math.min(defaults.heartbeatMillis(), silenceMillis / 3),
        silenceMillis,
        defaults.connectMillis());
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
