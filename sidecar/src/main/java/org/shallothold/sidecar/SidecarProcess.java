package org.shallothold.sidecar;

import io.netty.channel.EventLoopGroup;
import io.netty.channel.nio.NioEventLoopGroup;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadPoolExecutor;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Consumer;
import org.shallothold.core.config.BackendServer;
import org.shallothold.core.config.Configuration;
import org.shallothold.core.order.TicketKey;
import org.shallothold.core.queue.SchedulerOptions;
import org.shallothold.core.queue.SchedulingPolicy;
import org.shallothold.runtime.ProcessIdentity;
import org.shallothold.runtime.duty.Duty;
import org.shallothold.runtime.http.SingleUseHttpClient;
import org.shallothold.runtime.logging.AuditOutput;
import org.shallothold.runtime.logging.LogContext;
import org.shallothold.runtime.metrics.Metrics;
import org.shallothold.runtime.operator.OperatorEndpoint;
import org.shallothold.runtime.platform.HttpConfigurationSource;
import org.shallothold.runtime.sync.ConfigurationSync;
import org.shallothold.runtime.sync.SyncOptions;
import org.shallothold.sidecar.backend.EngineCommander;
import org.shallothold.sidecar.backend.EngineLoadReader;
import org.shallothold.sidecar.backend.HttpBackend;
import org.shallothold.sidecar.backend.HttpClients;
import org.shallothold.sidecar.settings.SidecarSettings;
import org.shallothold.sidecar.work.LeavingSource;
import org.shallothold.sidecar.work.SidecarController;
import org.shallothold.sidecar.work.SidecarEvent;
import org.shallothold.wire.connection.ConnectionLimits;
import org.shallothold.wire.connection.PeerConnection;
import org.shallothold.wire.connection.PeerServer;
import org.shallothold.wire.proto.Envelope;
import org.shallothold.wire.proto.Role;

/**
 * Connects the sidecar's state machine with the network, the platform and the timers. Made once per
 * process by {@link SidecarMain}; may be shared between threads; ends with {@link #close}.
 */
public final class SidecarProcess implements AutoCloseable {

  private static final int RING_CAPACITY = 8_192;
  private static final long TICK_MILLIS = 50;
  private static final long LOAD_REPORT_MILLIS = 1_000;
  private static final long ENGINE_LOAD_MILLIS = 500;
  private static final int HTTP_THREADS = 2;
  private static final int AUDIT_CAPACITY = 1_024;
  private static final long NANOS_PER_MILLI = 1_000_000;
  // Time for the last frames to leave before the connections are closed.
  private static final long FLUSH_MILLIS = 100;

  private final ProcessIdentity identity;
  private final EventLoopGroup group = new NioEventLoopGroup(1, DaemonThreads.named("peers"));
  private final ExecutorService http =
      Executors.newFixedThreadPool(HTTP_THREADS, DaemonThreads.named("http"));
  // Standard output may block; audit events beyond the bound are then dropped.
  private final ExecutorService audit =
      new ThreadPoolExecutor(
          1,
          1,
          0,
          TimeUnit.SECONDS,
          new ArrayBlockingQueue<>(AUDIT_CAPACITY),
          DaemonThreads.named("audit"),
          new ThreadPoolExecutor.DiscardPolicy());
  private final ScheduledExecutorService timer =
      Executors.newSingleThreadScheduledExecutor(DaemonThreads.named("timer"));
  private final AtomicBoolean leaving = new AtomicBoolean();
  private final CountDownLatch done = new CountDownLatch(1);
  private final AtomicReference<List<String>> models = new AtomicReference<>(List.of());

  private final Duty<SidecarEvent> duty;
  private final ConfigurationSync sync;
  private final PeerServer server;
  private final MetricsServer metricsServer;
  private final EngineCommander commander;

  private SidecarProcess(SidecarSettings settings) {
    long startMillis = System.currentTimeMillis();
    identity =
        ProcessIdentity.create(
            settings.serverId(), Role.ROLE_SIDECAR, settings.failureDomain(), settings.serverId());
    Metrics metrics = Metrics.create();
    LogContext.put("process", identity.processId());
    LogContext.put("incarnation", identity.incarnationText());
    AuditOutput auditOutput = AuditOutput.to(System.out, identity.processId());
    SingleUseHttpClient client =
        HttpClients.createSingleUse(settings.backend().connectTimeoutMillis(), http);
    AtomicReference<Consumer<SidecarEvent>> owner = new AtomicReference<>(event -> {});
    duty = Duty.start("sidecar", RING_CAPACITY, event -> owner.get().accept(event));
    SidecarController controller =
        SidecarController.create(
            identity,
            options(settings),
            HttpBackend.of(settings.backend().url(), client, http),
            TicketKey.of(identity.serverId(), identity.incarnationText(), ticketKey()),
            metrics,
            new SidecarController.Surroundings(
                duty::put,
                () -> System.nanoTime() / NANOS_PER_MILLI,
                (action, fields) -> audit.execute(() -> auditOutput.record(action, fields)),
                () -> leaving.set(true),
                done::countDown));
    sync =
        ConfigurationSync.start(
            identity,
            HttpConfigurationSource.of(settings.platform(), client),
            auditOutput,
            metrics,
            SyncOptions.DEFAULT);
    OperatorEndpoint operators =
        OperatorEndpoint.of(
            identity,
            auditOutput,
            () -> sync.current().version(),
            leaving::get,
            controller::load,
            controller::details,
            controller::explain);
    owner.set(event -> handle(event, controller, operators));
    // The port is bound before the first command: holding it proves that no other sidecar of this
    // VM is alive.
    server =
        PeerServer.bind(
            group,
            settings.listen(),
            ConnectionLimits.DEFAULT,
            () -> sync.hello(leaving.get()),
            PeerEvents.of(duty, sync, operators),
            settings.tls().server());
    metricsServer = MetricsServer.start(settings.metricsListen(), metrics);
    commander =
        EngineCommander.start(
            settings.backend().url(),
            client,
            startMillis,
            number -> duty.put(new SidecarEvent.Fenced(number)));
    watch(settings, client);
    auditOutput.record(
        "sidecar_started",
        Map.of(
            "server", identity.serverId(),
            "incarnation", identity.incarnationText(),
            "port", Integer.toString(server.port())));
  }

  /**
   * Starts a sidecar.
   *
   * @throws IllegalStateException if an address can't be bound
   */
  public static SidecarProcess start(SidecarSettings settings) {
    return new SidecarProcess(settings);
  }

  /** Returns the port that gateways connect to. */
  public int port() {
    return server.port();
  }

  /** Makes the sidecar leave: finish what runs, take nothing new. Returns at once. */
  public void leave() {
    duty.put(new SidecarEvent.LeavingLearnt(LeavingSource.SIGNAL));
  }

  /** Returns whether the sidecar has left. */
  public boolean isDone() {
    return done.getCount() == 0;
  }

  /** Waits until the sidecar has left. */
  public void awaitDone() throws InterruptedException {
    done.await();
  }

  /** Waits until the sidecar has left, or for a time; returns whether it has left. */
  public boolean awaitDone(Duration limit) throws InterruptedException {
    return done.await(limit.toMillis(), TimeUnit.MILLISECONDS);
  }

  @Override
  public void close() {
    timer.shutdownNow();
    commander.close();
    server.close();
    group
        .shutdownGracefully(FLUSH_MILLIS, 10 * FLUSH_MILLIS, TimeUnit.MILLISECONDS)
        .awaitUninterruptibly();
    sync.close();
    duty.close();
    metricsServer.close();
    http.shutdownNow();
    audit.shutdown();
  }

  /** Runs on the sidecar's thread; operators read the state there too. */
  private static void handle(
      SidecarEvent event, SidecarController controller, OperatorEndpoint operators) {
    if (event instanceof SidecarEvent.Received(PeerConnection connection, Envelope envelope)
        && operators.received(connection, envelope)) {
      return;
    }
    controller.handle(event);
  }

  private void watch(SidecarSettings settings, SingleUseHttpClient client) {
    sync.onChange(this::configurationChanged);
    configurationChanged(sync.current());
    sync.onMembers(
        members -> {
          if (members.isLeaving(identity.processId())) {
            duty.offer(new SidecarEvent.LeavingLearnt(LeavingSource.MEMBERS));
          }
        });
    duty.offerEvery(timer, TICK_MILLIS, new SidecarEvent.Tick());
    duty.offerEvery(timer, LOAD_REPORT_MILLIS, new SidecarEvent.LoadReportDue());
    EngineLoadReader load =
        EngineLoadReader.of(
            settings.backend().url(),
            client,
            running -> duty.offer(new SidecarEvent.EngineLoad(running)),
            () -> commander.reload(models.get()));
    timer.scheduleWithFixedDelay(
        () -> {
          if (!models.get().isEmpty()) {
            load.read();
          }
        },
        ENGINE_LOAD_MILLIS,
        ENGINE_LOAD_MILLIS,
        TimeUnit.MILLISECONDS);
  }

  private void configurationChanged(Configuration configuration) {
    List<String> wanted =
        configuration
            .server(identity.serverId())
            .filter(item -> item.kind() == BackendServer.Kind.ENGINE)
            .map(BackendServer::models)
            .orElse(List.of());
    if (!wanted.equals(models.getAndSet(wanted))) {
      commander.load(wanted);
    }
    duty.put(new SidecarEvent.ConfigurationChanged(configuration));
  }

  private static SidecarController.Options options(SidecarSettings settings) {
    SchedulerOptions scheduler =
        new SchedulerOptions(
            SchedulingPolicy.valueOf(settings.queue().policy().name()),
            settings.queue().floorIntervalMillis(),
            settings.queue().maxPreemptions(),
            settings.queue().protectedRunMillis());
    return new SidecarController.Options(
        scheduler,
        settings.backend().silenceMillis(),
        settings.versionWaitMillis(),
        settings.drainLimitMillis());
  }

  private static byte[] ticketKey() {
    byte[] key = new byte[TicketKey.LENGTH_BYTES];
    new SecureRandom().nextBytes(key);
    return key;
  }
}
