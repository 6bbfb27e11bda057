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
 * The parts of one gateway process. Made once at start; ends with {@link #drain} and {@link
 * #close}.
 */
public final class Gateway implements AutoCloseable {

  // Deadlines are kept to this. An idle gateway used 2.0% of a core with 10 ms, 1.6% with 25 ms.
  private static final long TICK_MILLIS = 25;
  private static final int PEER_THREADS = 2;
  private static final long DRAIN_POLL_MILLIS = 10;
  private static final Duration PLATFORM_CONNECT_TIMEOUT = Duration.ofSeconds(2);

  private final GatewaySettings settings;
  private final AuditOutput audit;
  private final AtomicBoolean leaving;
  private final EventLoopGroup group;
  private final ScheduledExecutorService timer;
  private final ConfigurationSync sync;
  private final SidecarLinks links;
  private final RequestQueue queue;
  private final PeerServer operatorServer;
  private final HttpFrontEnd http;

  private Gateway(
      GatewaySettings settings,
      AuditOutput audit,
      AtomicBoolean leaving,
      EventLoopGroup group,
      ScheduledExecutorService timer,
      ConfigurationSync sync,
      SidecarLinks links,
      RequestQueue queue,
      PeerServer operatorServer,
      HttpFrontEnd http) {
    this.settings = settings;
    this.audit = audit;
    this.leaving = leaving;
    this.group = group;
    this.timer = timer;
    this.sync = sync;
    this.links = links;
    this.queue = queue;
    this.operatorServer = operatorServer;
    this.http = http;
  }

  /**
   * Starts all parts.
   *
   * @throws IllegalStateException if an address can't be bound
   */
  public static Gateway start(GatewaySettings settings, AuditOutput audit) {
    return start(
        settings,
        audit,
        HttpConfigurationSource.of(
            settings.platformUrl(),
            HttpClient.newBuilder().connectTimeout(PLATFORM_CONNECT_TIMEOUT).build()));
  }

  /** Starts all parts with another source of the configuration, as tests do. */
  static Gateway start(GatewaySettings settings, AuditOutput audit, ConfigurationSource source) {
    ProcessIdentity identity =
        ProcessIdentity.create(
            settings.processId(), Role.ROLE_GATEWAY, settings.failureDomain(), "");
    Metrics metrics = Metrics.create();
    RequestMetrics requestMetrics = RequestMetrics.registerIn(metrics);
    AtomicBoolean leaving = new AtomicBoolean();
    EventLoopGroup group = new NioEventLoopGroup(PEER_THREADS);
    ScheduledExecutorService timer =
        Executors.newSingleThreadScheduledExecutor(Thread.ofPlatform().daemon().factory());
    ConfigurationSync sync =
        ConfigurationSync.start(identity, source, audit, metrics, SyncOptions.DEFAULT);
    ConnectionLimits limits = limits(settings.silenceMillis());
    RequestQueue queue = new RequestQueue();
    SidecarLinks links =
        SidecarLinks.create(group, limits, sync, queue::put, settings.tls().client());
    RequestRouter router =
        RequestRouter.create(
            identity,
            settings.router(),
            links,
            requestMetrics,
            () -> System.nanoTime() / 1_000_000,
            RandomGenerator.getDefault());
    OperatorEndpoint operators =
        OperatorEndpoint.of(
            identity,
            audit,
            () -> sync.current().version(),
            leaving::get,
            () -> new OperatorEndpoint.Load(router.inFlight(), 0),
            router::status,
            router::explain);
    // Operators' questions are answered on the requests' thread, which owns what they ask about.
    queue.consumer(
        event -> {
          if (event instanceof GatewayEvent.OperatorMessage(var connection, var envelope)) {
            operators.received(connection, envelope);
          } else {
            router.accept(event);
          }
        });
    sync.onChange(changed -> queue.put(new GatewayEvent.ConfigurationChanged(changed)));
    sync.onMembers(members -> queue.put(new GatewayEvent.MembersChanged(members)));
    // Both may have been read before the listeners were added.
    queue.put(new GatewayEvent.ConfigurationChanged(sync.current()));
    queue.put(new GatewayEvent.MembersChanged(sync.members()));
    queue.tickEvery(timer, TICK_MILLIS);
    PeerServer operatorServer =
        PeerServer.bind(
            group,
            settings.operatorListen(),
            limits,
            () -> sync.hello(leaving.get()),
            OperatorListener.of(sync, queue::put),
            settings.tls().server());
    HttpFrontEnd http =
        HttpFrontEnd.start(
            settings.http(),
            identity,
            sync::current,
            () -> !leaving.get() && sync.current().version().number() > 0,
            queue,
            requestMetrics,
            metrics);
    return new Gateway(
        settings, audit, leaving, group, timer, sync, links, queue, operatorServer, http);
  }

  /** Returns the port of the callers' interface. */
  public int httpPort() {
    return http.port();
  }

  /** Returns the port of the operators' interface. */
  public int operatorPort() {
    return operatorServer.port();
  }

  /**
   * Leaves: reports itself as not ready, serves on for the grace period, then refuses new requests
   * and returns once those in flight are done or the limit has passed.
   *
   * @return whether no request was cut
   */
  public boolean drain() {
    leaving.set(true);
    audit.record("gateway_leaving", Map.of("grace_ms", Long.toString(settings.graceMillis())));
    sleep(settings.graceMillis());
    http.refuseNew();
    long end = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(settings.limitMillis());
    while (http.openRequests() > 0 && System.nanoTime() < end) {
      sleep(DRAIN_POLL_MILLIS);
    }
    int cut = http.openRequests();
    audit.record("gateway_left", Map.of("requests_cut", Integer.toString(cut)));
    return cut == 0;
  }

  @Override
  public void close() {
    http.close();
    operatorServer.close();
    links.close();
    sync.close();
    timer.shutdownNow();
    queue.close();
    group.shutdownGracefully(0, 0, TimeUnit.MILLISECONDS);
  }

  /** The silence leaves room for two lost heartbeats. */
  private static ConnectionLimits limits(int silenceMillis) {
    ConnectionLimits base = ConnectionLimits.DEFAULT;
    return new ConnectionLimits(
        base.maxFrameBytes(),
        Math.min(base.heartbeatMillis(), silenceMillis / 3),
        silenceMillis,
        base.connectMillis());
  }

  private static void sleep(long millis) {
    try {
      Thread.sleep(millis);
    } catch (InterruptedException e) {
      Thread.currentThread().interrupt();
    }
  }
}
